"""Detects requests that crash the endpoints that run them.

A request that crashes every endpoint that starts it may be sent to any entry
repeatedly. An endpoint counts as crashed when its registration disappears or shows a
new start time, or when another endpoint reports it as failed. A broken connection alone
is no proof of a crash.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import hashlib

from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.forwarding import promptparts
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion

# Crashes after which a request is rejected; the user documentation limits the effects
# of a request after its third crash.
QUARANTINE_CRASHES = 3
# Maximum time from a broken attempt to the detection of the crash behind it. A
# registration lapses, or the endpoint registers again, some seconds after the crash.
LOOKBACK_S = 10.0
# Maximum number of broken attempts in memory.
MAX_BROKEN = 1024
# Each record is repeated in all announcements for this time, since single datagrams may
# be lost.
SPREAD_S = 5.0
# Maximum number of records of each type per announcement, to keep datagrams small.
MAX_RECORDS = 64

# Meanings of endpoint transitions that indicate an unplanned end of the process.
CRASH_MEANINGS = frozenset({"restarted", "removed", "lapsed", "displaced"})


@dataclasses.dataclass(frozen=True, slots=True)
class _BrokenAttempt:
    """An attempt whose endpoint may have crashed.

    Attributes:
        process: Process that the request was sent to.
        fingerprint: Fingerprint of the request.
        unproven_parts: Shared parts of the prompt, if the attempt broke before the
            endpoint proved them; otherwise empty.
        at: Time of the end of the attempt, monotonic seconds.
    """

    process: records.LossId
    fingerprint: int
    unproven_parts: tuple[str, ...]
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingUpdate:
    """Records after `position`, announced since the time `since`."""

    position: int
    since: float


def compute_fingerprint(workspace: str, host: str, target: bytes, body: bytes) -> int:
    """Returns a 64-bit hash that is equal for two submissions of the same request."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (workspace.encode(), host.encode(), target):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


def make_process_id(endpoint: endpoints.Endpoint) -> records.LossId:
    """Returns the identifier of an endpoint's process: instance and start time."""
    return records.LossId(endpoint.instance, str(endpoint.born_ms))


class CrashTracker:
    """Tracks which requests run at each endpoint and charges them if it crashes.

    Attributes:
        parts: Parts of prompts that crash endpoints.
    """

    def __init__(self, entry: str = "") -> None:
        """Initializes the tracker of the entry with that name."""
        self.parts = promptparts.PartTracker(entry, SPREAD_S)
        self._suspicions = suspicion.SuspicionTracker(QUARANTINE_CRASHES)
        self._running: dict[records.LossId, collections.Counter[int]] = {}
        self._broken: collections.deque[_BrokenAttempt] = collections.deque(
            maxlen=MAX_BROKEN
        )
        self._pending: collections.deque[_PendingUpdate] = collections.deque()
        self._announced_position = 0
        self._receivers: frozenset[tuple[str, int]] = frozenset()

    def find_quarantine(
        self, fingerprint: int, now: float
    ) -> records.Quarantined | None:
        """Returns the quarantine of a request, or None if it may run."""
        match self._suspicions.get_verdict(fingerprint, now):
            case records.Quarantined() as quarantined:
                return quarantined
            case _:
                return None

    def record_sent(self, endpoint: endpoints.Endpoint, fingerprint: int) -> None:
        """Records that a request is sent to an endpoint."""
        running = self._running.setdefault(
            make_process_id(endpoint), collections.Counter()
        )
        running[fingerprint] += 1

    def record_ended(
        self,
        endpoint: endpoints.Endpoint,
        fingerprint: int,
        broke: bool,
        now: float,
        unproven_parts: tuple[str, ...] = (),
    ) -> None:
        """Records the end of an attempt.

        Args:
            endpoint: Endpoint that the attempt was sent to.
            fingerprint: Fingerprint of the request.
            broke: Whether the endpoint may have crashed during the attempt.
            now: Present time, monotonic seconds.
            unproven_parts: Shared parts of the prompt, if the endpoint didn't go on
                writing an answer on them; otherwise empty.
        """
        process = make_process_id(endpoint)
        running = self._running.get(process)
        if running is not None:
            running[fingerprint] -= 1
            if running[fingerprint] <= 0:
                del running[fingerprint]
            if not running:
                del self._running[process]
        if broke:
            self._broken.append(
                _BrokenAttempt(process, fingerprint, unproven_parts, now)
            )

    def record_finished(self, fingerprint: int, now: float) -> None:
        """Records that an endpoint completed the request, which clears the request."""
        self._suspicions.record_finished(fingerprint, now)

    def record_crash(
        self, instance: str, successor: endpoints.Endpoint | None, now: float
    ) -> tuple[records.Loss, ...]:
        """Charges the requests that ran on a crashed endpoint.

        Args:
            instance: Instance whose process crashed.
            successor: Its new process, if one registered under the same name.
            now: Present time, monotonic seconds.

        Returns:
            The crashed processes, each with this entry's requests that ran there.
        """
        while self._broken and now - self._broken[0].at > LOOKBACK_S:
            self._broken.popleft()
        alive = None if successor is None else make_process_id(successor)
        suspects: dict[records.LossId, set[int]] = {}
        for process, running in self._running.items():
            if process.instance == instance and process != alive:
                suspects.setdefault(process, set()).update(running)
        for broken in self._broken:
            if broken.process.instance == instance and broken.process != alive:
                suspects.setdefault(broken.process, set()).add(broken.fingerprint)
        losses = [
            records.Loss(process, frozenset(found))
            for process, found in sorted(suspects.items())
        ]
        for loss in losses:
            process = loss.loss_id
            self._suspicions.record_loss(
                process.instance, process.incarnation, loss.fingerprints, now
            )
            unproven = [
                partattribution.Suspect(broken.fingerprint, broken.unproven_parts)
                for broken in self._broken
                if broken.process == process and broken.unproven_parts
            ]
            self.parts.record_crash(process, unproven, now)
        return tuple(losses)

    def merge(self, update: records.News, now: float) -> None:
        """Merges the records announced by another entry."""
        self._suspicions.merge(update, now)

    @property
    def position(self) -> int:
        """Position in the sequence of records; increases with each new record."""
        return self._suspicions.cursor

    def select_update(
        self, receivers: collections.abc.Iterable[tuple[str, int]], now: float
    ) -> records.News:
        """Returns the records to include in an announcement sent at `now`.

        Args:
            receivers: Names and incarnations of the receiving entries. If one is new
                since the last call, the update contains all records.
            now: Present time, monotonic seconds.
        """
        current = frozenset(receivers)
        if current - self._receivers:
            self._pending.append(_PendingUpdate(0, now))
        elif self._suspicions.cursor > self._announced_position:
            self._pending.append(_PendingUpdate(self._announced_position, now))
        self._receivers, self._announced_position = current, self._suspicions.cursor
        while self._pending and now - self._pending[0].since > SPREAD_S:
            self._pending.popleft()
        after = min(
            (pending.position for pending in self._pending),
            default=self._announced_position,
        )
        update = self._suspicions.export_update(now, after)
        return records.News(
            update.cursor,
            update.losses[-MAX_RECORDS:],
            update.clearances[-MAX_RECORDS:],
        )
