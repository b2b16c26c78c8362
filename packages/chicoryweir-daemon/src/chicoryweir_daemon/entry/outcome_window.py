"""Outcomes of recent requests, by priority class and by workspace."""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy import requests

SLICE_S = 30.0
SLICES = 10
MAX_WORKSPACES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """Requests that ended, and how many of them were answered in time."""

    in_time: int
    total: int

    @property
    def share(self) -> float:
        """Share answered in time; 1 when there were none."""
        return self.in_time / self.total if self.total else 1.0


@dataclasses.dataclass(slots=True)
class _Slice:
    number: int
    classes: dict[requests.PriorityClass, list[int]] = dataclasses.field(
        default_factory=dict
    )
    workspaces: dict[str, list[int]] = dataclasses.field(default_factory=dict)


class Window:
    """Counts over the last minutes, in slices of time."""

    def __init__(self) -> None:
        self._slices: collections.deque[_Slice] = collections.deque(maxlen=SLICES)

    def count(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        in_time: bool,
        now: float,
    ) -> None:
        """A request ended."""
        number = int(now // SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        current = self._slices[-1]
        _add(current.classes.setdefault(priority, [0, 0]), in_time)
        known = workspace in current.workspaces
        if known or len(current.workspaces) < MAX_WORKSPACES:
            _add(current.workspaces.setdefault(workspace, [0, 0]), in_time)

    def count_class(self, priority: requests.PriorityClass, now: float) -> Counted:
        """Returns the count of a priority class."""
        counts = [item.classes.get(priority, [0, 0]) for item in self._list_live(now)]
        return _sum(counts)

    def count_small(self, small_share: float, now: float) -> Counted:
        """Returns the count of the workspaces below a share of all requests."""
        totals: dict[str, list[int]] = {}
        for item in self._list_live(now):
            for workspace, counted in item.workspaces.items():
                total = totals.setdefault(workspace, [0, 0])
                total[0] += counted[0]
                total[1] += counted[1]
        everything = sum(total[1] for total in totals.values())
        small = [item for item in totals.values() if item[1] < small_share * everything]
        return _sum(small)

    def _list_live(self, now: float) -> list[_Slice]:
        oldest = int(now // SLICE_S) - SLICES
        return [item for item in self._slices if item.number > oldest]


def _add(counts: list[int], in_time: bool) -> None:
    counts[0] += in_time
    counts[1] += 1


def _sum(counts: list[list[int]]) -> Counted:
    return Counted(sum(item[0] for item in counts), sum(item[1] for item in counts))
