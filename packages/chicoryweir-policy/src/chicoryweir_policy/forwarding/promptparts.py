"""Tracks crashes of endpoints and the prompt parts that may have caused them.

Entries exchange two kinds of records: crashes, with the requests that were unproven at
the endpoint, and proofs, which say that an endpoint went on writing an answer on a
part. `partattribution` finds the parts to hold. Once the time of a hold is over, single
requests with the part run as trials.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math

from chicoryweir_policy import hashing
from chicoryweir_policy.forwarding import partattribution
from chicoryweir_policy.quarantine import records

# Crashes are forgotten after this time, in seconds.
RETENTION_S = partattribution.MAX_HOLD_S
# Time between the first trials of two entries, in seconds; the result of a trial is
# known to all entries sooner.
TRIAL_SPACING_S = 2.0
# Maximum number of crashes, of their requests, and of proven parts in memory.
MAX_CRASHES = 64
MAX_SUSPECTS = 8
MAX_PROVEN_PARTS = 4096
# Maximum numbers of crashes and of proofs per announcement, to keep datagrams small.
MAX_ANNOUNCED_CRASHES = 16
MAX_ANNOUNCED_PROOFS = 128


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crashed process with its unproven requests; `age_s` is in seconds."""

    process: records.LossId
    suspects: frozenset[partattribution.Suspect]
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """A part on which an endpoint wrote an answer, `age_s` seconds ago."""

    part: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """Records for other entries; merging them is commutative and idempotent."""

    crashes: tuple[Crash, ...] = ()
    proofs: tuple[Proof, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """A part that is no longer held."""

    part: str


class PartTracker:
    """Tracks crashes and proofs of prompt parts known to one entry."""

    def __init__(self, entry: str, spread_s: float) -> None:
        """Initializes the tracker.

        Args:
            entry: Name of this entry.
            spread_s: Time for which a record is included in announcements, in seconds.
        """
        self._entry = entry
        self._entries: frozenset[str] = frozenset((entry,))
        self._spread_s = spread_s
        self._crashes: dict[records.LossId, partattribution.KnownCrash] = {}
        self._crashes_by_part: dict[str, set[records.LossId]] = {}
        self._proven_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._proof_changed_at: dict[str, float] = {}
        self._tried_at: dict[str, float] = {}
        self._held: dict[str, partattribution.Held] = {}
        self._reported: dict[str, partattribution.Held] = {}
        self._is_attributed = True
        self._revision = 0
        self._receivers: frozenset[tuple[str, int]] = frozenset()
        self._full_update_until = -math.inf

    @property
    def revision(self) -> int:
        """Number that increases with each new record."""
        return self._revision

    def set_entries(self, names: collections.abc.Iterable[str]) -> None:
        """Sets the names of the other entries that are alive."""
        self._entries = frozenset((self._entry, *names))

    def find_hold(
        self, parts: collections.abc.Iterable[str], now: float
    ) -> partattribution.Held | None:
        """Returns the hold because of which a request is rejected, or None."""
        if not self._crashes:
            return None
        self._expire(now)
        held_parts = self._attribute()
        for part in parts:
            held = held_parts.get(part)
            if held is not None and now < self._find_trial_at(held):
                return held
        return None

    def count_held(self) -> int:
        """Returns the number of held parts."""
        return len(self._attribute())

    def has_unproven(self, parts: collections.abc.Iterable[str]) -> bool:
        """Returns whether no request known here has proven one of the parts."""
        return any(part not in self._proven_at for part in parts)

    def record_sent(self, parts: collections.abc.Iterable[str], now: float) -> None:
        """Records that a request is sent, which is the trial of its held parts."""
        for part in parts:
            if part in self._attribute():
                self._tried_at[part] = now

    def record_proof(self, parts: collections.abc.Iterable[str], now: float) -> None:
        """Records that an endpoint goes on writing an answer on the parts."""
        for part in parts:
            self._add_proof(part, now, now)

    def record_crash(
        self,
        process: records.LossId,
        suspects: collections.abc.Iterable[partattribution.Suspect],
        now: float,
    ) -> None:
        """Records a crash and the requests that were unproven there."""
        self._expire(now)
        self._add_crash(process, frozenset(suspects), now, now)

    def merge(self, update: Update, now: float) -> None:
        """Merges the records announced by another entry."""
        self._expire(now)
        for crash in update.crashes:
            self._add_crash(crash.process, crash.suspects, now - crash.age_s, now)
        for proof in update.proofs:
            self._add_proof(proof.part, now - proof.age_s, now)

    def select_update(
        self, receivers: collections.abc.Iterable[tuple[str, int]], now: float
    ) -> Update:
        """Returns the records to include in an announcement sent at `now`.

        Args:
            receivers: Names and incarnations of the receiving entries. A new one gets
                all records.
            now: Present time, monotonic seconds.
        """
        current = frozenset(receivers)
        if current - self._receivers:
            self._full_update_until = now + self._spread_s
        self._receivers = current
        since = now - self._spread_s
        if now <= self._full_update_until:
            since = -math.inf
        held = self._list_held_crashes()
        recent = sorted(
            (process in held, crash.changed_at, process)
            for process, crash in self._crashes.items()
            if crash.changed_at >= since
        )
        crashes = [
            self._export_crash(process, now)
            for _, _, process in recent[-MAX_ANNOUNCED_CRASHES:]
        ]
        proofs = [
            Proof(part, now - self._proven_at[part])
            for part, changed_at in self._proof_changed_at.items()
            if changed_at >= since and part in self._proven_at
        ]
        return Update(tuple(crashes), tuple(proofs[-MAX_ANNOUNCED_PROOFS:]))

    def take_transitions(self, now: float) -> list[partattribution.Held | Released]:
        """Returns the parts that were held or released since the last call."""
        self._expire(now)
        held = self._attribute()
        transitions: list[partattribution.Held | Released] = [
            Released(part) for part in sorted(self._reported.keys() - held.keys())
        ]
        transitions += [
            hold for part, hold in held.items() if self._reported.get(part) != hold
        ]
        self._reported = dict(held)
        return transitions

    def _add_crash(
        self,
        process: records.LossId,
        suspects: frozenset[partattribution.Suspect],
        at: float,
        now: float,
    ) -> None:
        with_parts = frozenset(s for s in suspects if s.parts)
        if not with_parts or now - at >= RETENTION_S:
            return
        known = self._crashes.get(process)
        before = frozenset() if known is None else known.suspects
        merged = frozenset(sorted(before | with_parts)[:MAX_SUSPECTS])
        if merged == before:
            return
        if known is not None:
            at = min(at, known.at)
        # Suspects of the record before may have been dropped.
        self._remove_from_index(process, _list_parts(before) - _list_parts(merged))
        self._crashes[process] = partattribution.KnownCrash(at, merged, now)
        for part in _list_parts(merged):
            self._crashes_by_part.setdefault(part, set()).add(process)
            if part in self._proven_at:
                self._proof_changed_at[part] = now
        self._mark_changed()
        if len(self._crashes) > MAX_CRASHES:
            self._remove_crash(self._select_crash_to_evict())

    def _add_proof(self, part: str, at: float, now: float) -> None:
        proven_at = self._proven_at.get(part, -math.inf)
        if at <= proven_at:
            return
        self._proven_at[part] = at
        self._proven_at.move_to_end(part)
        if len(self._proven_at) > MAX_PROVEN_PARTS:
            self._proven_at.popitem(last=False)
        crashes = self._crashes_by_part.get(part)
        if not crashes:
            return
        is_first = proven_at == -math.inf
        if is_first or any(
            proven_at < self._crashes[process].at <= at for process in crashes
        ):
            self._proof_changed_at[part] = now
            self._mark_changed()

    def _mark_changed(self) -> None:
        self._revision += 1
        self._is_attributed = False

    def _find_trial_at(self, held: partattribution.Held) -> float:
        """Returns the time from which this entry may try a held part."""
        order = sorted(
            self._entries, key=lambda name: hashing.hash_to_unit(f"{held.part}/{name}")
        )
        trial_at = held.until + TRIAL_SPACING_S * order.index(self._entry)
        tried_at = self._tried_at.get(held.part, -math.inf)
        return max(trial_at, tried_at + TRIAL_SPACING_S * len(order))

    def _attribute(self) -> dict[str, partattribution.Held]:
        """Returns the held parts."""
        if not self._is_attributed:
            self._held = partattribution.attribute(self._crashes, self._proven_at)
            self._tried_at = {
                part: at for part, at in self._tried_at.items() if part in self._held
            }
            self._is_attributed = True
        return self._held

    def _list_held_crashes(self) -> frozenset[records.LossId]:
        """Returns the crashes that parts are held for."""
        holds = self._attribute().values()
        return frozenset(process for held in holds for process in held.crashes)

    def _export_crash(self, process: records.LossId, now: float) -> Crash:
        crash = self._crashes[process]
        return Crash(process, crash.suspects, now - crash.at)

    def _select_crash_to_evict(self) -> records.LossId:
        held = self._list_held_crashes()
        return min(
            self._crashes,
            key=lambda process: (process in held, self._crashes[process].at, process),
        )

    def _expire(self, now: float) -> None:
        expired = [
            process
            for process, crash in self._crashes.items()
            if now - crash.at >= RETENTION_S
        ]
        for process in expired:
            self._remove_crash(process)

    def _remove_crash(self, process: records.LossId) -> None:
        crash = self._crashes.pop(process)
        self._remove_from_index(process, _list_parts(crash.suspects))
        self._is_attributed = False

    def _remove_from_index(
        self, process: records.LossId, parts: collections.abc.Iterable[str]
    ) -> None:
        for part in parts:
            processes = self._crashes_by_part[part]
            processes.discard(process)
            if not processes:
                del self._crashes_by_part[part]
                self._proof_changed_at.pop(part, None)


def _list_parts(
    suspects: collections.abc.Iterable[partattribution.Suspect],
) -> frozenset[str]:
    return frozenset(part for suspect in suspects for part in suspect.parts)
