"""Finds requests that crash the endpoints that run them.

The load it answers: one request, brought again and again to any entry, ends the process
of each endpoint that begins it. An endpoint counts as crashed when its registration
vanished or names a new start, or when another endpoint blames it; a connection that
broke proves nothing by itself.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import hashlib

from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion

# Crashes after which a request is refused: the users' pages bound what follows the
# third.
CONVICTION_CRASHES = 3
# A broken attempt belongs to a crash that is known within this time, in seconds: a
# registration lapses, or an endpoint is back, some seconds after its process ended.
LOOKBACK_S = 10.0
# Broken attempts that are remembered.
MAX_BROKEN = 1024
# News goes into all announcements of this time, in seconds; single ones may be lost.
SPREAD_S = 5.0
# Records in one announcement, so that a datagram stays small.
MAX_RECORDS = 64

# Changes of an endpoint that tell of an end that was not planned.
CRASHED_MEANINGS = frozenset({"restarted", "removed", "lapsed", "displaced"})


@dataclasses.dataclass(frozen=True, slots=True)
class _Broken:
    process: records.LossId
    fingerprint: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Untold:
    """Records after a position of the book, which others lack since some time."""

    position: int
    since: float


def compute_fingerprint(workspace: str, host: str, target: bytes, body: bytes) -> int:
    """Returns what two sendings of one request have in common, in 64 bits."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (workspace.encode(), host.encode(), target):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


def identify(endpoint: endpoints.Endpoint) -> records.LossId:
    """Returns what names one process of an endpoint."""
    return records.LossId(endpoint.instance, str(endpoint.born_ms))


class CrashWatch:
    """Requests under way at each endpoint, and those found to crash it."""

    def __init__(self) -> None:
        self._book = suspicion.SuspicionTracker(CONVICTION_CRASHES)
        self._running: dict[records.LossId, collections.Counter[int]] = {}
        self._broken: collections.deque[_Broken] = collections.deque(maxlen=MAX_BROKEN)
        self._untold: collections.deque[_Untold] = collections.deque()
        self._told = 0
        self._listeners: frozenset[tuple[str, int]] = frozenset()

    def judge(self, fingerprint: int, now: float) -> records.Quarantined | None:
        """Returns why a request must not run, or None."""
        match self._book.get_verdict(fingerprint, now):
            case records.Quarantined() as quarantined:
                return quarantined
            case _:
                return None

    def note_sent(self, endpoint: endpoints.Endpoint, fingerprint: int) -> None:
        """Records that a request goes to an endpoint."""
        running = self._running.setdefault(identify(endpoint), collections.Counter())
        running[fingerprint] += 1

    def note_ended(
        self, endpoint: endpoints.Endpoint, fingerprint: int, broke: bool, now: float
    ) -> None:
        """Records the end of an attempt.

        Args:
            endpoint: Where it ran.
            fingerprint: Fingerprint of the request.
            broke: Whether the endpoint may have ended under it.
            now: Present time, monotonic seconds.
        """
        process = identify(endpoint)
        running = self._running.get(process)
        if running is not None:
            running[fingerprint] -= 1
            if running[fingerprint] <= 0:
                del running[fingerprint]
            if not running:
                del self._running[process]
        if broke:
            self._broken.append(_Broken(process, fingerprint, now))

    def note_finished(self, fingerprint: int, now: float) -> None:
        """Records that an endpoint outlived the request, which clears it."""
        self._book.record_finished(fingerprint, now)

    def note_crash(
        self, instance: str, successor: endpoints.Endpoint | None, now: float
    ) -> tuple[records.Loss, ...]:
        """Charges what ran on an endpoint that ended.

        Args:
            instance: Instance whose process ended.
            successor: Its new process, if it runs under the same name.
            now: Present time, monotonic seconds.

        Returns:
            The ended processes, with what this entry had there.
        """
        while self._broken and now - self._broken[0].at > LOOKBACK_S:
            self._broken.popleft()
        alive = None if successor is None else identify(successor)
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
            self._book.record_loss(
                process.instance, process.incarnation, loss.fingerprints, now
            )
        return tuple(losses)

    def merge(self, news: records.News, now: float) -> None:
        """Takes what another entry knows."""
        self._book.merge(news, now)

    @property
    def position(self) -> int:
        """Grows with each thing learned."""
        return self._book.cursor

    def select_news(
        self, listeners: collections.abc.Iterable[tuple[str, int]], now: float
    ) -> records.News:
        """Returns what goes into an announcement that is sent at `now`.

        Args:
            listeners: Names and starts of the entries that hear it; one that was not
                among them the last time is told everything.
            now: Present time, monotonic seconds.
        """
        heard = frozenset(listeners)
        if heard - self._listeners:
            self._untold.append(_Untold(0, now))
        elif self._book.cursor > self._told:
            self._untold.append(_Untold(self._told, now))
        self._listeners, self._told = heard, self._book.cursor
        while self._untold and now - self._untold[0].since > SPREAD_S:
            self._untold.popleft()
        after = min((one.position for one in self._untold), default=self._told)
        news = self._book.export_update(now, after)
        return records.News(
            news.cursor, news.losses[-MAX_RECORDS:], news.clearances[-MAX_RECORDS:]
        )
