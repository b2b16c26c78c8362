"""Several entries that send to the same endpoints."""

import dataclasses

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import selection


def _build(make_endpoint, count=4, data_centre="telavi"):
    endpoint_table = endpoints.EndpointTable()
    endpoint_table.replace_all([make_endpoint(f"e{n}") for n in range(count)], 0.0)
    load_table = loads.LoadTable()
    dispatcher = dispatching.Dispatcher(
        endpoint_table,
        load_table,
        selection.create_selector(data_centre),
        queueing.create_request_queue(),
    )
    return endpoint_table, load_table, dispatcher


def _submit(dispatcher, service, request, now=0.0):
    outcomes = dispatcher.submit(request, service, now)
    return [o for o in outcomes if o.request.request_id == request.request_id][-1]


def test_requests_spread_evenly(make_endpoint, make_request, service):
    _, load_table, dispatcher = _build(make_endpoint)
    for number in range(12):
        _submit(dispatcher, service, make_request(str(number)))
    assert {load_table.get_load(f"e{n}", 0.0).requests for n in range(4)} == {3}


def test_work_of_other_entries_counts(make_endpoint, make_request, service):
    _, load_table, dispatcher = _build(make_endpoint, count=2)
    load_table.set_peer("other", {"e0": loads.Load(4, 0.0)}, 0.0)
    dispatched = _submit(dispatcher, service, make_request("a"))
    assert dispatched.endpoint.instance == "e1"


def test_work_of_an_entry_that_fell_silent_is_forgotten(make_endpoint):
    _, load_table, _ = _build(make_endpoint)
    load_table.set_peer("other", {"e0": loads.Load(4, 0.0)}, 0.0)
    assert load_table.get_load("e0", 1.0).requests == 4
    assert load_table.get_load("e0", loads.EXPIRY_S + 0.1).requests == 0


def test_request_waits_while_all_are_full_and_starts_when_one_ends(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    dispatched = [_submit(dispatcher, service, make_request(str(n))) for n in range(6)]
    waits = _submit(dispatcher, service, make_request("waits"))
    assert isinstance(waits, dispatching.Enqueued)
    dispatcher.finish(dispatched[0])
    (started,) = dispatcher.dispatch_queued(service, 0.1)
    assert isinstance(started, dispatching.Dispatched)
    assert started.request.request_id == "waits"


def test_nothing_goes_to_an_endpoint_that_began_to_leave_meanwhile(
    make_endpoint, make_request, service
):
    endpoint_table, _, dispatcher = _build(make_endpoint, count=1)
    dispatched = [_submit(dispatcher, service, make_request(str(n))) for n in range(6)]
    _submit(dispatcher, service, make_request("waits"))
    endpoint_table.apply(endpoints.Registered(make_endpoint("e0", leaving=True)), 0.05)
    dispatcher.finish(dispatched[0])
    assert dispatcher.dispatch_queued(service, 0.1) == ()


def test_endpoint_that_failed_is_not_tried_again(make_endpoint, make_request, service):
    _, _, dispatcher = _build(make_endpoint, count=2)
    request = make_request("a", excluded=frozenset({"e0"}))
    assert _submit(dispatcher, service, request).endpoint.instance == "e1"


def test_room_is_left_to_timely_requests_of_other_entries(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    dispatched = [_submit(dispatcher, service, make_request(str(n))) for n in range(6)]
    _submit(dispatcher, service, make_request("late"))
    dispatcher.set_peer_on_time(1)
    dispatcher.finish(dispatched[0])
    assert dispatcher.dispatch_queued(service, 0.6) == ()
    dispatcher.set_peer_on_time(0)
    (started,) = dispatcher.dispatch_queued(service, 0.7)
    assert started.request.request_id == "late"


def test_near_endpoint_goes_first_among_equals(make_endpoint, make_request, service):
    endpoint_table, _, dispatcher = _build(make_endpoint, count=1)
    far = make_endpoint("far", data_centre="gurjaani")
    endpoint_table.apply(endpoints.Registered(far), 0.0)
    assert _submit(dispatcher, service, make_request("a")).endpoint.instance == "e0"
    assert _submit(dispatcher, service, make_request("b")).endpoint.instance == "far"


def test_plain_service_is_bounded_by_its_slots(make_endpoint, make_request):
    plain = configuration.Service("model", 100, None)
    _, load_table, dispatcher = _build(make_endpoint, count=1)
    for number in range(9):
        _submit(dispatcher, plain, make_request(str(number)))
    assert load_table.get_load("e0", 0.0).requests == 6


def test_prompts_that_fill_the_memory_are_not_sent_together(
    make_endpoint, make_request, service
):
    _, load_table, dispatcher = _build(make_endpoint, count=1)
    request = make_request("a")
    large = dataclasses.replace(request.estimate, memory_tokens=100_000.0)
    _submit(dispatcher, service, dataclasses.replace(request, estimate=large))
    second = make_request("b", estimate=large)
    assert isinstance(_submit(dispatcher, service, second), dispatching.Enqueued)
    assert load_table.get_load("e0", 0.0).requests == 1


def test_slow_endpoint_gets_nothing_until_it_works_as_usual(
    make_endpoint, make_request, service
):
    _, load_table, dispatcher = _build(make_endpoint)
    dispatcher.set_slowdowns({"e1": 6.0})
    for number in range(9):
        _submit(dispatcher, service, make_request(str(number)))
    assert load_table.get_load("e1", 0.0).requests == 0
    dispatcher.set_slowdowns({})
    dispatched = _submit(dispatcher, service, make_request("after"))
    assert dispatched.endpoint.instance == "e1"


def test_endpoints_are_used_where_most_are_slow(make_endpoint, make_request, service):
    _, load_table, dispatcher = _build(make_endpoint)
    dispatcher.set_slowdowns({"e0": 6.0, "e1": 6.0, "e2": 6.0})
    for number in range(8):
        _submit(dispatcher, service, make_request(str(number)))
    assert {load_table.get_load(f"e{n}", 0.0).requests for n in range(4)} == {2}


def test_request_goes_back_to_where_it_failed_only_if_nothing_else_is_left(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=2)
    some = make_request("a", excluded=frozenset({"e0"}))
    assert _submit(dispatcher, service, some).endpoint.instance == "e1"
    both = make_request("b", excluded=frozenset({"e0", "e1"}))
    assert isinstance(_submit(dispatcher, service, both), dispatching.Dispatched)
