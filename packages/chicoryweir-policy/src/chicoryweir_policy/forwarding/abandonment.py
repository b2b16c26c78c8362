"""Predicts when a caller abandons a request for lack of progress."""

from __future__ import annotations

from chicoryweir_policy.forwarding import configuration

# Callers abandon a stream after a time without an event, also before the first one. As
# the platform documents, this time is the longest of 2 s, four objectives and eight
# maximum gaps.
MIN_WAIT_S = 2.0
WAIT_OBJECTIVES = 4.0
WAIT_GAPS = 8.0


def compute_objective_at(
    route: configuration.Route, arrived_at: float, abandon_at: float, retried: bool
) -> float:
    """Returns the time until which a request counts as on time.

    A request whose attempt failed keeps its turn until its caller leaves: other entries
    have counted it as running, and part of its answer may have been sent.

    Args:
        route: Route of the request.
        arrived_at: Time of arrival, monotonic seconds.
        abandon_at: Time at which its caller leaves, monotonic seconds.
        retried: Whether an attempt has reached an endpoint.
    """
    return abandon_at if retried else arrived_at + route.objective_s


def compute_abandon_at(
    route: configuration.Route, waited_since: float, deadline_at: float
) -> float:
    """Returns the time at which the caller leaves if nothing is sent until then.

    Args:
        route: Route of the request.
        waited_since: Time of arrival or of the last event, monotonic seconds.
        deadline_at: Deadline of the request, monotonic seconds.
    """
    if route.kind is not configuration.RouteKind.STREAM:
        return deadline_at
    wait_s = max(MIN_WAIT_S, WAIT_OBJECTIVES * route.objective_s)
    wait_s = max(wait_s, WAIT_GAPS * route.max_gap_s)
    return min(deadline_at, waited_since + wait_s)
