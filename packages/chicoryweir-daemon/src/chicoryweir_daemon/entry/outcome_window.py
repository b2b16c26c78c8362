"""Outcomes of recent requests, by priority class and by workspace."""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy import requests

SLICE_S = 30.0
MAX_SLICES = 10
MAX_WORKSPACES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeCount:
    """Requests that ended, and how many of them were answered in time."""

    on_time: int
    total: int

    @property
    def on_time_share(self) -> float:
        """Share answered in time; 1 when there were none."""
        return self.on_time / self.total if self.total else 1.0


@dataclasses.dataclass(slots=True)
class _Slice:
    number: int
    classes: dict[requests.PriorityClass, list[int]] = dataclasses.field(
        default_factory=dict
    )
    workspaces: dict[str, list[int]] = dataclasses.field(default_factory=dict)


class OutcomeWindow:
    """Counts over the last minutes, in slices of time."""

    def __init__(self) -> None:
        self._slices: collections.deque[_Slice] = collections.deque(maxlen=MAX_SLICES)

    def record(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        on_time: bool,
        now: float,
    ) -> None:
        """A request ended."""
        number = int(now // SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        current = self._slices[-1]
        _add(current.classes.setdefault(priority, [0, 0]), on_time)
        known = workspace in current.workspaces
        if known or len(current.workspaces) < MAX_WORKSPACES:
            _add(current.workspaces.setdefault(workspace, [0, 0]), on_time)

    def count_by_class(
        self, priority: requests.PriorityClass, now: float
    ) -> OutcomeCount:
        """Returns the count of a priority class."""
        counts = [
            recent.classes.get(priority, [0, 0])
            for recent in self._list_recent_slices(now)
        ]
        return _sum(counts)

    def count_small_workspaces(self, small_share: float, now: float) -> OutcomeCount:
        """Returns the count of the workspaces below a share of all requests."""
        totals: dict[str, list[int]] = {}
        for recent in self._list_recent_slices(now):
            for workspace, counts in recent.workspaces.items():
                total = totals.setdefault(workspace, [0, 0])
                total[0] += counts[0]
                total[1] += counts[1]
        request_count = sum(total[1] for total in totals.values())
        small = [
            total for total in totals.values() if total[1] < small_share * request_count
        ]
        return _sum(small)

    def _list_recent_slices(self, now: float) -> list[_Slice]:
        oldest = int(now // SLICE_S) - MAX_SLICES
        return [recent for recent in self._slices if recent.number > oldest]


def _add(counts: list[int], on_time: bool) -> None:
    counts[0] += on_time
    counts[1] += 1


def _sum(counts: list[list[int]]) -> OutcomeCount:
    return OutcomeCount(
        sum(on_time for on_time, _ in counts), sum(total for _, total in counts)
    )
