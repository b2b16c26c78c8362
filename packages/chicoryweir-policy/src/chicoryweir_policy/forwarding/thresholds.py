"""Computes the load of a service below which each request may start.

The threshold of a request is a share of the concurrency limit. It falls with the number
of more urgent classes in demand, with the size of the request and with the recent use
of its workspace, and rises while the request waits. Late requests have the lowest.
"""

from __future__ import annotations

import math

from chicoryweir_policy.forwarding import floorcredits
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import returns
from chicoryweir_policy.forwarding import usage

# Thresholds of an on-time request on arrival and at its latest start on time, by the
# number of more urgent classes in demand. The limit keeps events well within the
# allowed gap, so that the most urgent class may exceed it. Where the next class may
# start up to the limit as well, steps become too long when the demand for experts
# shifts, and the most urgent class is late by its gaps.
ON_TIME_SHARES = ((1.0, 1.15), (0.86, 0.96), (0.74, 0.9))
# Thresholds of a late request when its caller first sent it and at the caller's
# deadline. Lower ones leave more of the most urgent class on time and reject more of
# the least urgent one; see docs/measurements/shedding.md.
LATE_SHARES = (0.75, 0.98)
# Time after the last on-time request at an entry for which late ones leave capacity. An
# entry of 48 gets a request each 0.4 s, and each 0.8 s in the trough of a wave.
ON_TIME_MEMORY_S = 3.0
# Time after its last request for which a class counts as in demand.
DEMAND_MEMORY_S = 4.0
# Threshold of late requests while no on-time ones arrive.
WHOLE_SHARE = 1.0
# Reductions of the threshold by size; waived while the size is owed starts.
SIZE_PENALTIES = {
    usage.Size.USUAL: 0.0,
    usage.Size.LARGE: 0.05,
    usage.Size.LARGEST: 0.1,
}
# Reduction for each doubling of the use of a workspace above its share, and the
# greatest reduction; waived while the workspace is owed starts.
WORKSPACE_PENALTY = 0.05
MAX_WORKSPACE_PENALTY = 0.15


class Thresholds:
    """Computes thresholds from what this entry saw of classes, sizes and workspaces."""

    def __init__(self) -> None:
        self._requested_at: dict[int, float] = {}
        self._on_time_at = -math.inf
        self._credits = floorcredits.FloorCredits()
        self._sizes = usage.SizeRanks()
        self._workspaces = usage.WorkspaceUse()
        self._mix = usage.ClassMix()

    def record_request(self, request: queueing.PendingRequest, now: float) -> None:
        """Records that a request arrived."""
        priority = queueing.convert_priority(request.priority)
        self._requested_at[priority] = now
        self._mix.record(priority, now)
        if not is_late(request, now):
            self._on_time_at = now
        if now - get_first_sent_at(request) <= returns.EARLY_TOLERANCE_S:
            self._sizes.record(request.estimate.cost)
            self._credits.record_request(self._list_groups(request))

    def record_start(self, request: queueing.PendingRequest, now: float) -> None:
        """Records that a request was sent to an endpoint."""
        self._credits.record_start(self._list_groups(request))
        self._workspaces.record(request.workspace, request.estimate.cost, now)

    def compute(self, request: queueing.PendingRequest, now: float) -> float:
        """Returns the load, as a share of the limit, below which a request starts."""
        if is_late(request, now):
            if now - self._on_time_at > ON_TIME_MEMORY_S:
                return WHOLE_SHARE
            begin_at = get_first_sent_at(request)
            end_at = get_deadline_at(request)
            lowest, highest = LATE_SHARES
        else:
            begin_at = request.arrived_at
            end_at = get_latest_on_time_start_at(request)
            lowest, highest = ON_TIME_SHARES[self._count_more_urgent(request, now)]
        used_share = (now - begin_at) / max(1e-3, end_at - begin_at)
        share = lowest + (highest - lowest) * min(1.0, max(0.0, used_share))
        return share - self._compute_penalty(request, now)

    def compute_highest(self, request: queueing.PendingRequest, now: float) -> float:
        """Returns the threshold that a request has at the end of its wait."""
        if not is_late(request, now):
            return ON_TIME_SHARES[self._count_more_urgent(request, now)][1]
        is_alone = now - self._on_time_at > ON_TIME_MEMORY_S
        return WHOLE_SHARE if is_alone else LATE_SHARES[1]

    def measure_urgent_share(self, priority: int) -> float:
        """Returns the share of the recent requests that are more urgent."""
        return self._mix.measure_share(priority)

    def _compute_penalty(self, request: queueing.PendingRequest, now: float) -> float:
        penalty = 0.0
        size = self._sizes.rank(request.estimate.cost)
        if not self._credits.is_owed(_name_size(size)):
            penalty += SIZE_PENALTIES[size]
        if not self._credits.is_owed(_name_workspace(request.workspace)):
            excess = self._workspaces.measure_excess(request.workspace, now)
            penalty += min(MAX_WORKSPACE_PENALTY, WORKSPACE_PENALTY * excess)
        return penalty

    def _count_more_urgent(self, request: queueing.PendingRequest, now: float) -> int:
        """Returns the number of more urgent classes in demand; 0 if it is owed."""
        priority = queueing.convert_priority(request.priority)
        if self._credits.is_owed(_name_class(priority)):
            return 0
        return sum(
            other < priority and now - at <= DEMAND_MEMORY_S
            for other, at in self._requested_at.items()
        )

    def _list_groups(self, request: queueing.PendingRequest) -> tuple[str, ...]:
        return (
            _name_class(queueing.convert_priority(request.priority)),
            _name_size(self._sizes.rank(request.estimate.cost)),
            _name_workspace(request.workspace),
        )


def get_first_sent_at(request: queueing.PendingRequest) -> float:
    """Returns when the caller sent its first attempt, as far as it is known."""
    if request.origin is None:
        return request.arrived_at
    return request.origin.first_sent_at


def get_deadline_at(request: queueing.PendingRequest) -> float:
    """Returns when the caller leaves, as far as it is known."""
    return request.abandon_at if request.origin is None else request.origin.deadline_at


def get_latest_on_time_start_at(request: queueing.PendingRequest) -> float:
    """Returns the latest start for the objective, counted from the first attempt."""
    age_s = request.arrived_at - get_first_sent_at(request)
    return request.latest_on_time_start_at - age_s


def is_late(request: queueing.PendingRequest, now: float) -> bool:
    """Returns whether a request can't meet its objective any more."""
    return now > get_latest_on_time_start_at(request)


def _name_class(priority: int) -> str:
    return f"class {priority}"


def _name_size(size: usage.Size) -> str:
    return f"size {size.value}"


def _name_workspace(workspace: str) -> str:
    return f"workspace {workspace}"
