"""Decides how long an endpoint may be silent before its answer is taken as lost.

The pattern it answers: a connection that goes mute without a reset, while the
endpoints of a group may also stall together, which only waiting mends.
"""

from __future__ import annotations

from chicoryweir_policy.forwarding import configuration

# Callers leave a stream after 2 s without an event; half of it is left for a resume.
EVENT_TIMEOUT_S = 0.9
# While all endpoints of the service are silent, another one would not be faster.
SERVICE_STALL_S = 0.4
# Looks again after this time when all are silent, in seconds.
RECHECK_S = 0.2
# A first event may wait in the endpoint's own queue for this many objectives.
FIRST_EVENT_OBJECTIVES = 3.5


def compute_stall_timeout(
    route: configuration.Route,
    begun: bool,
    silent_s: float,
    service_silent_s: float,
) -> float:
    """Returns the time for which to wait on; 0 when the answer is taken as lost.

    Args:
        route: Route of the request.
        begun: Whether the endpoint has sent a part of the answer.
        silent_s: Time since it sent something, in seconds.
        service_silent_s: Time since any endpoint of the service did, in seconds.
    """
    if not route.retryable:
        return route.timeout_s
    limit_s = EVENT_TIMEOUT_S
    if not begun:
        limit_s = max(limit_s, FIRST_EVENT_OBJECTIVES * route.objective_s)
    if silent_s < limit_s:
        return limit_s - silent_s
    if service_silent_s > SERVICE_STALL_S:
        return RECHECK_S
    return 0.0
