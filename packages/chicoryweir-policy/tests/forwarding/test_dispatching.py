"""Tests of the dispatcher, also with other entries that use the same endpoints."""

import dataclasses

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import evacuations
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import ratelimits
from chicoryweir_policy.forwarding import rests
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


def test_requests_are_spread_evenly(make_endpoint, make_request, service):
    _, load_table, dispatcher = _build(make_endpoint)
    for number in range(12):
        _submit(dispatcher, service, make_request(str(number)))
    assert {load_table.get_load(f"e{n}", 0.0).requests for n in range(4)} == {3}


def test_load_of_other_entries_is_included(make_endpoint, make_request, service):
    _, load_table, dispatcher = _build(make_endpoint, count=2)
    load_table.set_peer("other", {"e0": loads.Load(4, 0.0)}, 0.0)
    dispatched = _submit(dispatcher, service, make_request("a"))
    assert dispatched.endpoint.instance == "e1"


def test_load_of_silent_entry_expires(make_endpoint):
    _, load_table, _ = _build(make_endpoint)
    load_table.set_peer("other", {"e0": loads.Load(4, 0.0)}, 0.0)
    assert load_table.get_load("e0", 1.0).requests == 4
    assert load_table.get_load("e0", loads.EXPIRY_S + 0.1).requests == 0


def test_request_is_queued_while_endpoints_are_full(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    dispatched = [_submit(dispatcher, service, make_request(str(n))) for n in range(6)]
    queued = _submit(dispatcher, service, make_request("queued"))
    assert isinstance(queued, dispatching.Enqueued)
    dispatcher.finish(dispatched[0])
    (started,) = dispatcher.dispatch_queued(service, 0.1)
    assert isinstance(started, dispatching.Dispatched)
    assert started.request.request_id == "queued"


def test_queued_request_is_not_sent_to_leaving_endpoint(
    make_endpoint, make_request, service
):
    endpoint_table, _, dispatcher = _build(make_endpoint, count=1)
    dispatched = [_submit(dispatcher, service, make_request(str(n))) for n in range(6)]
    _submit(dispatcher, service, make_request("queued"))
    endpoint_table.apply(endpoints.Registered(make_endpoint("e0", leaving=True)), 0.05)
    dispatcher.finish(dispatched[0])
    assert dispatcher.dispatch_queued(service, 0.1) == ()


def test_excluded_endpoint_is_not_selected(make_endpoint, make_request, service):
    _, _, dispatcher = _build(make_endpoint, count=2)
    request = make_request("a", excluded=frozenset({"e0"}))
    assert _submit(dispatcher, service, request).endpoint.instance == "e1"


def _limit(dispatcher, endpoint, max_rate):
    rate_limits = ratelimits.RateLimits("e-1")
    rate_limits.record(endpoint, max_rate, 0.0)
    dispatcher.set_rate_limits(rate_limits)


# Guards against sending an endpoint in need more requests because it has little load.
def test_endpoint_whose_rate_is_used_up_is_not_selected(
    make_endpoint, make_request, service
):
    _, load_table, dispatcher = _build(make_endpoint, count=2)
    _limit(dispatcher, make_endpoint("e0"), 0.0)
    for number in range(6):
        dispatched = _submit(dispatcher, service, make_request(str(number)))
        assert dispatched.endpoint.instance == "e1"
    assert load_table.get_load("e0", 0.0).requests == 0


def test_queued_request_is_sent_when_the_rate_of_its_endpoint_allows_it(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    _limit(dispatcher, make_endpoint("e0"), 10.0)
    assert isinstance(
        _submit(dispatcher, service, make_request("a"), 0.0), dispatching.Enqueued
    )
    assert dispatcher.dispatch_queued(service, 0.05) == ()
    (started,) = dispatcher.dispatch_queued(service, 0.11)
    assert started.request.request_id == "a"


# Guards against holding a request until its deadline that no rate allows to be sent.
def test_request_beyond_the_rates_of_all_endpoints_is_rejected_at_once(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    _limit(dispatcher, make_endpoint("e0"), 2.0)
    outcomes = [_submit(dispatcher, service, make_request(str(n))) for n in range(9)]
    waiting = [o for o in outcomes if isinstance(o, dispatching.Enqueued)]
    rejected = [o for o in outcomes if isinstance(o, queueing.Rejection)]
    patience_s = make_request("x").latest_start_at
    assert 0 < len(waiting) <= 2.0 * patience_s + 1
    assert len(waiting) + len(rejected) == 9
    assert all(r.predicted_wait_s > patience_s for r in rejected)
    assert all(r.retry_after_s > 0.5 for r in rejected)


def test_request_that_only_other_entries_may_send_is_rejected_at_once(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    _limit(dispatcher, make_endpoint("e0"), 0.0)
    rejected = _submit(dispatcher, service, make_request("a"))
    assert isinstance(rejected, queueing.Rejection)
    assert rejected.retry_after_s <= 1.5 * dispatching.OTHER_ENTRY_WAIT_S


def test_late_request_waits_for_on_time_requests_of_other_entries(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=1)
    dispatched = [_submit(dispatcher, service, make_request(str(n))) for n in range(6)]
    _submit(dispatcher, service, make_request("late"))
    dispatcher.set_peer_on_time(2)
    for finished in dispatched[:2]:
        dispatcher.finish(finished)
    assert dispatcher.dispatch_queued(service, 0.6) == ()
    dispatcher.set_peer_on_time(0)
    (started,) = dispatcher.dispatch_queued(service, 0.7)
    assert started.request.request_id == "late"


def test_endpoint_in_own_data_centre_is_preferred_on_a_tie(
    make_endpoint, make_request, service
):
    endpoint_table, _, dispatcher = _build(make_endpoint, count=1)
    far = make_endpoint("far", data_centre="gurjaani")
    endpoint_table.apply(endpoints.Registered(far), 0.0)
    assert _submit(dispatcher, service, make_request("a")).endpoint.instance == "e0"
    assert _submit(dispatcher, service, make_request("b")).endpoint.instance == "far"


def test_plain_service_is_limited_by_slots(make_endpoint, make_request):
    plain = configuration.Service("model", 100, None)
    _, load_table, dispatcher = _build(make_endpoint, count=1)
    for number in range(9):
        _submit(dispatcher, plain, make_request(str(number)))
    assert load_table.get_load("e0", 0.0).requests == 6


def test_requests_that_exceed_memory_do_not_run_together(
    make_endpoint, make_request, service
):
    _, load_table, dispatcher = _build(make_endpoint, count=1)
    request = make_request("a")
    large = dataclasses.replace(request.estimate, memory_tokens=100_000.0)
    _submit(dispatcher, service, dataclasses.replace(request, estimate=large))
    second = make_request("b", estimate=large)
    assert isinstance(_submit(dispatcher, service, second), dispatching.Enqueued)
    assert load_table.get_load("e0", 0.0).requests == 1


def test_slow_endpoint_gets_no_requests_until_it_recovers(
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


def test_slow_endpoints_are_used_if_most_are_slow(make_endpoint, make_request, service):
    _, load_table, dispatcher = _build(make_endpoint)
    dispatcher.set_slowdowns({"e0": 6.0, "e1": 6.0, "e2": 6.0})
    for number in range(8):
        _submit(dispatcher, service, make_request(str(number)))
    assert {load_table.get_load(f"e{n}", 0.0).requests for n in range(4)} == {2}


def test_excluded_endpoint_is_selected_only_if_all_are_excluded(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=2)
    one_excluded = make_request("a", excluded=frozenset({"e0"}))
    assert _submit(dispatcher, service, one_excluded).endpoint.instance == "e1"
    all_excluded = make_request("b", excluded=frozenset({"e0", "e1"}))
    assert isinstance(
        _submit(dispatcher, service, all_excluded), dispatching.Dispatched
    )


def test_inputs_of_an_admission_are_described(make_endpoint, make_request, service):
    _, load_table, dispatcher = _build(make_endpoint, count=1)
    load_table.set_peer("other", {"e0": loads.Load(5, 0.0)}, 0.0)
    dispatcher.set_peer_on_time(2)
    for number in range(3):
        _submit(dispatcher, service, make_request(str(number)), 0.1)
    assert dispatcher.describe_admission(0.1) == dispatching.AdmissionInputs(
        running=6, limit=6, loads_age_s=0.1, queued=2, peer_on_time=2
    )


def test_rejection_names_the_wait_that_it_was_decided_by(
    make_endpoint, make_request, service
):
    _, _, dispatcher = _build(make_endpoint, count=0)
    requests = [make_request(str(n), objective_at=0.1) for n in range(30)]
    outcomes = [_submit(dispatcher, service, request) for request in requests]
    rejected = [o for o in outcomes if isinstance(o, queueing.Rejection)]
    assert rejected
    assert all(o.predicted_wait_s > 0.0 for o in rejected)


def test_late_requests_are_rejected_at_once_while_on_time_ones_use_all_capacity(
    make_endpoint, make_request, service
):
    _, load_table, dispatcher = _build(make_endpoint, count=2)
    for number in range(40):
        now = 0.1 * number
        load_table.set_peer("other", {"e0": loads.Load(6), "e1": loads.Load(6)}, now)
        _submit(dispatcher, service, make_request(f"on-time-{number}", now), now)
    late = make_request("late", now, objective_at=now)
    rejection = _submit(dispatcher, service, late, now)
    assert isinstance(rejection, queueing.Rejection)
    assert 0.5 < rejection.retry_after_s <= queueing.MAX_RETRY_S


def test_late_request_is_not_rejected_while_half_of_the_slots_are_free(
    make_endpoint, make_request, service
):
    _, load_table, dispatcher = _build(make_endpoint, count=2)
    load_table.set_peer("other", {"e0": loads.Load(3), "e1": loads.Load(2)}, 0.0)
    late = make_request("late", objective_at=0.0)
    assert isinstance(_submit(dispatcher, service, late), dispatching.Dispatched)


# Guards against workspaces of low priority that starve in an overload.
def test_lowest_priorities_share_the_floor_of_their_class(
    make_endpoint, make_request, service
):
    endpoint_table, load_table, dispatcher = _build(make_endpoint, count=2)
    started = 0
    for number in range(400):
        now = 0.05 * number
        load_table.set_peer("other", {"e0": loads.Load(5), "e1": loads.Load(5)}, now)
        for priority in (0, 5):
            outcomes = dispatcher.submit(
                make_request(f"{number}-{priority}", now, priority=priority),
                service,
                now,
            )
            for outcome in outcomes:
                if isinstance(outcome, dispatching.Dispatched):
                    started += outcome.request.priority == 5
                    dispatcher.finish(outcome)
    assert started > 0


def _rest(dispatcher, endpoint_table, *names, rest_s=1.0):
    known = rests.Rests("telavi")
    for name in names:
        known.record(endpoint_table.get(name), rest_s, 0.0, 0.0)
    dispatcher.set_rests(known)
    return known


def test_request_goes_to_the_endpoints_that_do_not_rest(
    make_endpoint, make_request, service
):
    endpoint_table, _, dispatcher = _build(make_endpoint)
    _rest(dispatcher, endpoint_table, "e0", "e1", "e2")
    sent = [_submit(dispatcher, service, make_request(str(n))) for n in range(6)]
    assert {dispatched.endpoint.instance for dispatched in sent} == {"e3"}
    assert isinstance(
        _submit(dispatcher, service, make_request("queued")), dispatching.Enqueued
    )


def test_request_waits_for_the_end_of_a_rest_that_leaves_it_enough_time(
    make_endpoint, make_request, service
):
    endpoint_table, _, dispatcher = _build(make_endpoint, count=2)
    _rest(dispatcher, endpoint_table, "e0", "e1")
    outcome = _submit(dispatcher, service, make_request("a"))
    assert isinstance(outcome, dispatching.Enqueued)
    assert dispatcher.dispatch_queued(service, 0.9) == ()
    (started,) = dispatcher.dispatch_queued(service, 1.0)
    assert isinstance(started, dispatching.Dispatched)


# Guards against requests that wait for their deadline although no endpoint accepts any.
def test_queued_requests_are_rejected_when_all_endpoints_begin_a_long_rest(
    make_endpoint, make_request, service
):
    endpoint_table, _, dispatcher = _build(make_endpoint, count=1)
    for number in range(6):
        _submit(dispatcher, service, make_request(str(number)))
    for name in ("q1", "q2"):
        outcome = _submit(dispatcher, service, make_request(name))
        assert isinstance(outcome, dispatching.Enqueued)
    _rest(dispatcher, endpoint_table, "e0", rest_s=4.0)
    rejections = dispatcher.dispatch_queued(service, 0.1)
    assert {r.request.request_id for r in rejections} == {"q1", "q2"}
    for rejection in rejections:
        assert isinstance(rejection, queueing.Rejection)
        assert 3.9 <= rejection.retry_after_s <= 5.0
    assert not len(dispatcher)


def _build_evacuable(make_endpoint):
    """Returns a dispatcher with one endpoint in each of two data centres."""
    known = evacuations.Evacuations()
    endpoint_table = endpoints.EndpointTable(known_evacuations=known)
    registered = [make_endpoint(f"e-{name}", data_centre=name) for name in "ab"]
    endpoint_table.replace_all(registered, 0.0)
    dispatcher = dispatching.Dispatcher(
        endpoint_table,
        loads.LoadTable(),
        selection.create_selector("a"),
        queueing.create_request_queue(),
    )
    return known, dispatcher


def _evacuate(known, *names):
    rows = [evacuations.Record(name, 1, 5, True) for name in names]
    known.apply_listing(rows, 1, 9, 0.0)


def test_requests_of_an_evacuated_data_centre_go_elsewhere(
    make_endpoint, make_request, service
):
    known, dispatcher = _build_evacuable(make_endpoint)
    _evacuate(known, "a")
    outcomes = [_submit(dispatcher, service, make_request(str(n))) for n in range(7)]
    assert {o.endpoint.instance for o in outcomes[:6]} == {"e-b"}
    assert isinstance(outcomes[6], dispatching.Enqueued)


# Guards against requests that wait until their deadline for endpoints that get none.
def test_requests_without_an_endpoint_outside_evacuations_are_rejected_at_once(
    make_endpoint, make_request, service
):
    known, dispatcher = _build_evacuable(make_endpoint)
    outcomes = [_submit(dispatcher, service, make_request(str(n))) for n in range(15)]
    assert [isinstance(o, dispatching.Enqueued) for o in outcomes[12:]] == [True] * 3
    _evacuate(known, "a", "b")
    rejected = list(dispatcher.dispatch_queued(service, 0.1))
    rejected.append(_submit(dispatcher, service, make_request("late"), 0.1))
    assert [o.request.request_id for o in rejected] == ["12", "13", "14", "late"]
    assert all(0.1 <= o.retry_after_s <= queueing.MAX_RETRY_S for o in rejected)
    assert not len(dispatcher)
    known.apply_listing([], 1, 12, 0.2)
    assert isinstance(
        _submit(dispatcher, service, make_request("after"), 0.2), dispatching.Enqueued
    )
