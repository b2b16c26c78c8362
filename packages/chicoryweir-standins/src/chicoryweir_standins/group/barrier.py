"""Decides when the ranks of a group enter a step, and checks their maps."""

from __future__ import annotations

import dataclasses

_MAX_RECORDED_VIOLATIONS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A rank is ready to enter a step.

    Attributes:
        step: Number of the step.
        map_version: Version of the expert map that the rank would use.
        work_ms: Time that the rank needs for the step.
        busy: Whether the rank has requests to process.
    """

    step: int
    map_version: int
    work_ms: float
    busy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Go:
    """All ranks enter a step.

    Attributes:
        step: Number of the step.
        step_ms: Time of the step, which is that of the slowest rank.
        step_ms_by_rank: Time of each rank.
    """

    step: int
    step_ms: float
    step_ms_by_rank: dict[int, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Evict:
    """Ranks that did not arrive in time are removed from the group."""

    ranks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """No action is due before `until`, or before the next message if None."""

    until: float | None


Decision = Go | Evict | Wait


@dataclasses.dataclass
class _Member:
    arrival: Arrival | None = None
    is_holding: bool = False


class Barrier:
    """Barrier of one group."""

    def __init__(self, idle_step_s: float, arrival_timeout_s: float) -> None:
        """Creates a barrier without ranks.

        Args:
            idle_step_s: Time between steps while no rank is busy.
            arrival_timeout_s: Time after the first arrival at which ranks that
                neither arrived nor hold are evicted.
        """
        self.step = 1
        self.steps_done = 0
        self.violations: list[dict[str, object]] = []
        self._idle_step_s = idle_step_s
        self._arrival_timeout_s = arrival_timeout_s
        self._members: dict[int, _Member] = {}
        self._first_arrival_at: float | None = None

    def join(self, rank: int) -> int:
        """Adds a rank; returns the first step that it enters."""
        self._members[rank] = _Member()
        return self.step

    def leave(self, rank: int) -> None:
        """Removes a rank; ignores an unknown one."""
        self._members.pop(rank, None)
        if not self._members:
            self._first_arrival_at = None

    def arrive(self, rank: int, arrival: Arrival, now: float) -> None:
        """Records that a rank is ready, or has become busy while it waits."""
        member = self._members.get(rank)
        if member is None or arrival.step != self.step:
            return
        member.arrival = arrival
        member.is_holding = False
        if self._first_arrival_at is None:
            self._first_arrival_at = now

    def hold(self, rank: int) -> None:
        """Records that a rank waits for the release of a new map."""
        if rank in self._members:
            self._members[rank].is_holding = True

    def decide(self, now: float) -> Decision:
        """Returns the action that is due at `now`."""
        if self._first_arrival_at is None:
            return Wait(None)
        missing = [r for r, m in self._members.items() if m.arrival is None]
        if missing:
            return self._decide_missing(missing, now)
        arrivals = {r: m.arrival for r, m in self._members.items() if m.arrival}
        due = self._first_arrival_at + self._idle_step_s
        if not any(a.busy for a in arrivals.values()) and now < due:
            return Wait(due)
        return self._enter(arrivals)

    def _decide_missing(self, missing: list[int], now: float) -> Decision:
        late = tuple(r for r in missing if not self._members[r].is_holding)
        if not late:
            return Wait(None)
        assert self._first_arrival_at is not None
        due = self._first_arrival_at + self._arrival_timeout_s
        return Evict(late) if now >= due else Wait(due)

    def _enter(self, arrivals: dict[int, Arrival]) -> Go:
        versions = {rank: a.map_version for rank, a in sorted(arrivals.items())}
        if (
            len(set(versions.values())) > 1
            and len(self.violations) < _MAX_RECORDED_VIOLATIONS
        ):
            self.violations.append({"step": self.step, "map_versions": versions})
        by_rank = {rank: a.work_ms for rank, a in sorted(arrivals.items())}
        go = Go(self.step, max(by_rank.values()), by_rank)
        self.step += 1
        self.steps_done += 1
        self._first_arrival_at = None
        for member in self._members.values():
            member.arrival = None
        return go
