"""Admission control: checks load shedding and workspace limits before routing."""

from __future__ import annotations

import typing

from chicoryweir_policy import outcomes
from chicoryweir_policy.admission import limits
from chicoryweir_policy.admission import overload
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state


def admit_request(
    state: entry_state.EntryState, active: active_requests.ActiveRequest, now: float
) -> outcomes.Problem | None:
    """Returns the problem if the request is rejected, or None if it is admitted.

    An admitted request may count towards its workspace's limits until it ends.
    """
    request = active.request
    decided = state.throttle.decide(
        request.request_id, request.workspace, request.priority, now
    )
    match decided:
        case overload.Send():
            return _check_limits(state, active, now)
        case overload.Shed(_, retry_after_ms):
            return problems.make_shed(state.config.instance, retry_after_ms)
        case _:
            typing.assert_never(decided)


def _check_limits(
    state: entry_state.EntryState, active: active_requests.ActiveRequest, now: float
) -> outcomes.Problem | None:
    request = active.request
    effective = active.effective
    limit = limits.Limits(
        effective.rate_tokens_per_s, effective.burst_tokens, effective.max_inflight
    )
    decided = state.limiter.decide(
        request.request_id, request.workspace, limit, request.cost_tokens, now
    )
    match decided:
        case limits.Allowed():
            active.limited = (
                limit.rate_tokens_per_s is not None or limit.max_inflight is not None
            )
            return None
        case limits.OverLimit(reason, retry_after_ms):
            peer = state.config.instance
            return problems.make_over_limit(peer, reason.value, retry_after_ms)
        case _:
            typing.assert_never(decided)
