"""Counts recent requests and on-time answers by priority class and workspace."""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy import requests

SLICE_S = 30.0
MAX_SLICES = 10
MAX_WORKSPACES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeCount:
    """Number of requests that ended, and how many were answered on time."""

    on_time: int
    total: int

    @property
    def on_time_share(self) -> float:
        """Share of requests answered on time; 1 without requests."""
        return self.on_time / self.total if self.total else 1.0


@dataclasses.dataclass(slots=True)
class _Slice:
    """Counts of one time slice, each as a list [on time, total]."""

    number: int
    classes: dict[requests.PriorityClass, list[int]] = dataclasses.field(
        default_factory=dict
    )
    workspaces: dict[str, list[int]] = dataclasses.field(default_factory=dict)


class OutcomeWindow:
    """Counts over the last `MAX_SLICES` time slices of `SLICE_S` each."""

    def __init__(self) -> None:
        self._slices: collections.deque[_Slice] = collections.deque(maxlen=MAX_SLICES)

    def record(
        self,
        workspace: str,
        priority: requests.PriorityClass,
        on_time: bool,
        now: float,
    ) -> None:
        """Records the end of a request.

        Requests of workspaces beyond `MAX_WORKSPACES` in a slice are counted only by
        class.
        """
        number = int(now // SLICE_S)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        current = self._slices[-1]
        _increment(current.classes.setdefault(priority, [0, 0]), on_time)
        known = workspace in current.workspaces
        if known or len(current.workspaces) < MAX_WORKSPACES:
            _increment(current.workspaces.setdefault(workspace, [0, 0]), on_time)

    def get_class_counts(
        self, priority: requests.PriorityClass, now: float
    ) -> OutcomeCount:
        """Returns the counts of a priority class."""
        counts = [
            recent.classes.get(priority, [0, 0])
            for recent in self._list_recent_slices(now)
        ]
        return _sum_counts(counts)

    def get_small_workspace_counts(
        self, small_share: float, now: float
    ) -> OutcomeCount:
        """Returns the total of the workspaces below a share of all requests."""
        totals: dict[str, list[int]] = {}
        for recent in self._list_recent_slices(now):
            for workspace, workspace_counts in recent.workspaces.items():
                total = totals.setdefault(workspace, [0, 0])
                total[0] += workspace_counts[0]
                total[1] += workspace_counts[1]
        request_count = sum(total[1] for total in totals.values())
        small = [
            counts
            for counts in totals.values()
            if counts[1] < small_share * request_count
        ]
        return _sum_counts(small)

    def _list_recent_slices(self, now: float) -> list[_Slice]:
        oldest = int(now // SLICE_S) - MAX_SLICES
        return [recent for recent in self._slices if recent.number > oldest]


def _increment(counts: list[int], on_time: bool) -> None:
    counts[0] += on_time
    counts[1] += 1


def _sum_counts(counts: list[list[int]]) -> OutcomeCount:
    return OutcomeCount(
        sum(count[0] for count in counts), sum(count[1] for count in counts)
    )
