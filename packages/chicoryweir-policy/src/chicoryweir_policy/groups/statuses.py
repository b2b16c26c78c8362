"""What the agents of one group last told of their ranks."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import messages


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """A status and when it came."""

    status: messages.RankStatus
    at: float


class RankStatuses:
    """Last status of each agent of a group."""

    def __init__(self, group: str, rank_count: int, ttl_s: float) -> None:
        """Creates an empty set.

        Args:
            group: The group.
            rank_count: Ranks in it.
            ttl_s: Age from which on a status no longer counts, in seconds.
        """
        self._group = group
        self._rank_count = rank_count
        self._ttl_s = ttl_s
        self._seen: dict[str, _Seen] = {}

    def record(
        self, instance: str, status: messages.RankStatus, now: float
    ) -> events.MapViolation | None:
        """Takes in a status; returns a violation that it reveals."""
        known = self._seen.get(instance)
        if known is not None and known.status.session == status.session:
            if status.sequence <= known.status.sequence:
                return None
        else:
            self._drop_replaced(instance, status)
        self._seen[instance] = _Seen(status, now)
        return self._check_step(instance, status, now)

    def items(self) -> tuple[tuple[str, messages.RankStatus], ...]:
        """Returns the last status of each agent."""
        return tuple((name, seen.status) for name, seen in self._seen.items())

    def covers_group(self, now: float) -> bool:
        """Tells whether every rank of the group has reported of late."""
        ranks: set[int] = set()
        for seen in self._seen.values():
            if now - seen.at <= self._ttl_s:
                ranks.update(seen.status.ranks)
        return len(ranks) == self._rank_count

    def all_match(
        self, test: collections.abc.Callable[[messages.RankStatus], bool], now: float
    ) -> bool:
        """Tells whether a test holds for every rank of the group."""
        return self.covers_group(now) and all(
            test(seen.status) for seen in self._seen.values()
        )

    def find_highest_fence(self) -> int:
        """Returns the highest fencing number that any agent has seen."""
        fences = (seen.status.highest_fence for seen in self._seen.values())
        return max(fences, default=0)

    def choose_hold_step(self, ahead_s: float, ahead_steps: int) -> int:
        """Returns a step that the ranks won't reach for a while.

        Args:
            ahead_s: Time until then by the fastest step reported, in seconds.
            ahead_steps: Steps until then at the least.
        """
        statuses = [seen.status for seen in self._seen.values()]
        step_s = min((s.step_s for s in statuses if s.step_s > 0), default=0.0)
        if step_s > 0:
            ahead_steps = max(ahead_steps, round(ahead_s / step_s))
        return max(status.step for status in statuses) + ahead_steps

    def _drop_replaced(self, instance: str, status: messages.RankStatus) -> None:
        """Forgets agents whose ranks another agent now reports."""
        for name, seen in tuple(self._seen.items()):
            if name != instance and set(seen.status.ranks) & set(status.ranks):
                del self._seen[name]

    def _check_step(
        self, instance: str, status: messages.RankStatus, now: float
    ) -> events.MapViolation | None:
        """Compares maps with the agents that report the same step."""
        for seen in self._seen.values():
            other = seen.status
            both = status.joined and other.joined and now - seen.at <= self._ttl_s
            if (
                both
                and other.step == status.step
                and other.map_version != status.map_version
            ):
                versions = (other.map_version, status.map_version)
                return events.MapViolation(self._group, status.step, versions, instance)
        return None
