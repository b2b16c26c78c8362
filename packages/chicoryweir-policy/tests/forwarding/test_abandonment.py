"""Tests of when callers leave, and of how long a request counts as on time."""

import dataclasses

from chicoryweir_policy.forwarding import abandonment
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import selection


def test_caller_of_a_stream_leaves_after_a_time_without_an_event(route):
    assert abandonment.compute_abandon_at(route, 5.0, 60.0) == 7.0
    assert abandonment.compute_abandon_at(route, 5.0, 6.5) == 6.5
    plain = dataclasses.replace(route, kind=configuration.RouteKind.IDEMPOTENT)
    assert abandonment.compute_abandon_at(plain, 5.0, 60.0) == 60.0


# Guards against streams that are broken off because the group is saturated.
def test_broken_stream_is_queued_again_while_late_requests_are_rejected(
    route, service, make_endpoint, make_request
):
    endpoint_table = endpoints.EndpointTable()
    endpoint_table.replace_all([make_endpoint("e0")], 0.0)
    load_table = loads.LoadTable()
    dispatcher = dispatching.Dispatcher(
        endpoint_table,
        load_table,
        selection.create_selector("telavi"),
        queueing.create_request_queue(),
    )
    for number in range(40):
        now = 0.1 * number
        load_table.set_peer("other", {"e0": loads.Load(6)}, now)
        dispatcher.submit(make_request(f"r{number}", now), service, now)
    for retried, expected in (
        (True, dispatching.Enqueued),
        (False, queueing.Rejection),
    ):
        abandon_at = abandonment.compute_abandon_at(route, now, now + 6.0)
        objective_at = abandonment.compute_objective_at(
            route, now - 2.0, abandon_at, retried
        )
        request = make_request(
            f"broken-{retried}", objective_at=objective_at, abandon_at=abandon_at
        )
        outcomes = dispatcher.submit(request, service, now)
        (own,) = [o for o in outcomes if o.request.request_id == request.request_id]
        assert isinstance(own, expected)
