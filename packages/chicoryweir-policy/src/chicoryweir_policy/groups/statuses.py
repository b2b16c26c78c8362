"""Latest rank statuses that the agents of one group have reported."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import messages


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedStatus:
    """A status and its time of receipt."""

    status: messages.RankStatus
    received_at: float


class RankStatuses:
    """Latest status of each agent of a group."""

    def __init__(self, group: str, rank_count: int, ttl_s: float) -> None:
        """Creates an empty registry.

        Args:
            group: Name of the group.
            rank_count: Number of ranks in the group.
            ttl_s: Age above which a status is ignored, in seconds.
        """
        self._group = group
        self._rank_count = rank_count
        self._ttl_s = ttl_s
        self._received: dict[str, _ReceivedStatus] = {}

    def record(
        self, instance: str, status: messages.RankStatus, now: float
    ) -> events.MapViolation | None:
        """Records a status; returns the map violation that it shows, if any."""
        previous = self._received.get(instance)
        if previous is not None and previous.status.session == status.session:
            if status.sequence <= previous.status.sequence:
                return None
        else:
            self._drop_replaced(instance, status)
        self._received[instance] = _ReceivedStatus(status, now)
        return self._check_step(instance, status, now)

    def items(self) -> tuple[tuple[str, messages.RankStatus], ...]:
        """Returns instance and latest status of each agent."""
        return tuple(
            (name, received.status) for name, received in self._received.items()
        )

    def covers_group(self, now: float) -> bool:
        """Returns whether every rank of the group has an unexpired status."""
        ranks: set[int] = set()
        for received in self._received.values():
            if now - received.received_at <= self._ttl_s:
                ranks.update(received.status.ranks)
        return len(ranks) == self._rank_count

    def all_match(
        self,
        predicate: collections.abc.Callable[[messages.RankStatus], bool],
        now: float,
    ) -> bool:
        """Returns whether a predicate holds for every rank of the group."""
        return self.covers_group(now) and all(
            predicate(received.status) for received in self._received.values()
        )

    def find_highest_fence(self) -> int:
        """Returns the highest fencing token that any agent has seen."""
        fences = (received.status.highest_fence for received in self._received.values())
        return max(fences, default=0)

    def choose_hold_step(self, ahead_s: float, ahead_steps: int) -> int:
        """Returns a future step at which the ranks can hold.

        Args:
            ahead_s: Time until that step, in seconds, at the shortest reported step
                time.
            ahead_steps: Minimum number of steps until that step.
        """
        statuses = [received.status for received in self._received.values()]
        step_s = min(
            (reported.step_s for reported in statuses if reported.step_s > 0),
            default=0.0,
        )
        if step_s > 0:
            ahead_steps = max(ahead_steps, round(ahead_s / step_s))
        return max(status.step for status in statuses) + ahead_steps

    def _drop_replaced(self, instance: str, status: messages.RankStatus) -> None:
        """Removes agents whose ranks another agent now reports."""
        for name, received in tuple(self._received.items()):
            if name != instance and set(received.status.ranks) & set(status.ranks):
                del self._received[name]

    def _check_step(
        self, instance: str, status: messages.RankStatus, now: float
    ) -> events.MapViolation | None:
        """Compares the map with those of agents that report the same step."""
        for received in self._received.values():
            other = received.status
            are_comparable = (
                status.joined
                and other.joined
                and now - received.received_at <= self._ttl_s
            )
            if (
                are_comparable
                and other.step == status.step
                and other.map_version != status.map_version
            ):
                versions = (other.map_version, status.map_version)
                return events.MapViolation(self._group, status.step, versions, instance)
        return None
