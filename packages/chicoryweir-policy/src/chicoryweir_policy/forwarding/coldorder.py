"""Orders the requests that only cold endpoints have room for.

The shared limit of a cold endpoint admits few requests, so that those of the highest
value go first: of those that can still be on time the most urgent ones, and among these
the ones with the least work.
"""

from __future__ import annotations

import collections.abc

from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import thresholds

Rank = tuple[bool, int, int, float, float]


def compute_rank(request: queueing.PendingRequest, now: float) -> Rank:
    """Returns the key by which requests are ordered, the most valuable first."""
    return (
        thresholds.is_late(request, now),
        request.priority,
        request.route_priority,
        request.estimate.cost,
        request.arrived_at,
    )


def sort_requests(
    waiting: collections.abc.Iterable[queueing.PendingRequest], now: float
) -> list[queueing.PendingRequest]:
    """Returns requests in the order in which they go, the most valuable first."""
    return sorted(waiting, key=lambda request: compute_rank(request, now))


def count_ahead(
    request: queueing.PendingRequest,
    waiting: collections.abc.Iterable[queueing.PendingRequest],
    now: float,
) -> int:
    """Returns how many waiting requests go before a request that arrives."""
    rank = compute_rank(request, now)
    return sum(compute_rank(other, now) <= rank for other in waiting)
