"""Computes the stall timeout of an attempt.

If one connection stalls without a reset, its answer is lost and the request is retried.
If all endpoints of a group stall together, a retry doesn't help and the attempt waits.
"""

from __future__ import annotations

from chicoryweir_policy.forwarding import configuration

# Stall timeout between events. Callers leave a stream after 2 s without an event, and
# half of that is reserved for a resume.
EVENT_TIMEOUT_S = 0.9
# Time without data from any endpoint of the service after which the whole service
# counts as stalled; a retry at another endpoint would not be faster.
SERVICE_STALL_S = 0.4
# Interval of checks while the whole service is stalled.
RECHECK_S = 0.2
# Stall timeout of the first event, in objectives; the request may wait in the
# endpoint's own queue.
FIRST_EVENT_OBJECTIVES = 3.5


def compute_stall_timeout(
    route: configuration.Route,
    begun: bool,
    silent_s: float,
    service_silent_s: float,
) -> float:
    """Returns the remaining time to wait, in seconds; 0 if the answer is lost.

    Args:
        route: Route of the request.
        begun: Whether the endpoint has sent part of the answer.
        silent_s: Time since the endpoint last sent data, in seconds.
        service_silent_s: Time since any endpoint of the service sent data, in seconds.
    """
    if not route.retryable:
        return route.timeout_s
    timeout_s = EVENT_TIMEOUT_S
    if not begun:
        timeout_s = max(timeout_s, FIRST_EVENT_OBJECTIVES * route.objective_s)
    if silent_s < timeout_s:
        return timeout_s - silent_s
    if service_silent_s > SERVICE_STALL_S:
        return RECHECK_S
    return 0.0
