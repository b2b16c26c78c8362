"""How long callers wait for the first part of an answer."""

from __future__ import annotations

from chicoryweir_policy.forwarding import configuration

# Callers leave a stream after the longest of this time, four objectives and eight
# pauses without an event, the first one included; the platform's pages say so.
MIN_WAIT_S = 2.0
OBJECTIVES = 4.0
PAUSES = 8.0


def compute_abandon_at(
    route: configuration.Route, waited_since: float, deadline_at: float
) -> float:
    """Returns the time by which a caller leaves if nothing comes.

    Args:
        route: Route of the request.
        waited_since: Arrival, or the time of the last event; monotonic seconds.
        deadline_at: Time by which the request must be answered.
    """
    if route.kind is not configuration.RouteKind.STREAM:
        return deadline_at
    longest_s = max(MIN_WAIT_S, OBJECTIVES * route.objective_s)
    longest_s = max(longest_s, PAUSES * route.max_gap_s)
    return min(deadline_at, waited_since + longest_s)
