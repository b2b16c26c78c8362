"""Tests of what makes endpoints cold, and of the limits of what they are sent."""

import math

import pytest

from chicoryweir_policy.forwarding import coldness
from chicoryweir_policy.forwarding import coldstarts
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import selection
from chicoryweir_policy.forwarding import shares
from chicoryweir_policy.forwarding import windowlimits

SERVICE = configuration.Service("model", 0, None, cold_start_s=3.0, cold_rate=4.0)
UNLIMITED = configuration.Service("model", 0, None, cold_start_s=3.0)


@pytest.fixture
def cold_endpoints():
    """Returns what an entry without others knows; it may send 4 requests at once."""
    known = coldstarts.ColdEndpoints("h0")
    known.set_services([SERVICE])
    known.participants.add_hosts([], 0.0)
    return known


def _record(known, source, endpoint, now):
    match source:
        case "registration":
            known.record_registration(endpoint, now)
        case "crash":
            known.record_restart(endpoint, now)
        case "evacuation":
            known.record_evacuation_end(endpoint.data_centre, now)
        case "answer":
            known.record_statement(endpoint, 3.0, now)


@pytest.mark.parametrize("source", ["registration", "crash", "evacuation", "answer"])
def test_endpoint_is_cold_after_each_event(make_endpoint, cold_endpoints, source):
    endpoint = make_endpoint("a", cold_s=3.0)
    assert not cold_endpoints.is_cold(endpoint, 10.0)
    _record(cold_endpoints, source, endpoint, 10.0)
    assert cold_endpoints.is_cold(endpoint, 12.9)
    assert cold_endpoints.count_available(endpoint, SERVICE, 12.9) == 4
    assert cold_endpoints.count_available(endpoint, UNLIMITED, 12.9) is None
    assert not cold_endpoints.is_cold(endpoint, 13.0)
    assert cold_endpoints.count_available(endpoint, SERVICE, 13.0) is None


# Guards against a registration that was written before the endpoint turned cold.
@pytest.mark.parametrize("source", ["crash", "evacuation", "answer"])
def test_only_later_registration_says_that_an_endpoint_is_warm(
    make_endpoint, cold_endpoints, source
):
    endpoint = make_endpoint("a")
    _record(cold_endpoints, source, endpoint, 10.0)
    cold_endpoints.record_registration(endpoint, 10.9)
    assert cold_endpoints.is_cold(endpoint, 11.0)
    later = 10.0 + coldness.REGISTRATION_AGE_S
    cold_endpoints.record_registration(endpoint, later, is_current=False)
    assert cold_endpoints.is_cold(endpoint, later)
    cold_endpoints.record_registration(endpoint, later)
    assert not cold_endpoints.is_cold(endpoint, later)


def test_requests_to_an_endpoint_count_before_it_turns_cold(
    make_endpoint, cold_endpoints
):
    endpoint = make_endpoint("a")
    for now in (9.5, 9.7, 9.9):
        cold_endpoints.record_sent(endpoint, now)
    cold_endpoints.record_restart(endpoint, 10.0)
    assert cold_endpoints.count_available(endpoint, SERVICE, 10.0) == 1
    later = 9.51 + windowlimits.WINDOW_S
    assert cold_endpoints.count_available(endpoint, SERVICE, later) == 2


def test_wait_follows_from_the_window_and_the_end_of_the_cold_time(
    make_endpoint, cold_endpoints
):
    candidates = [make_endpoint("a")]
    cold_endpoints.record_restart(candidates[0], 10.0)
    assert cold_endpoints.predict_wait_s(candidates, SERVICE, 0, 10.0) == 0.0
    for _ in range(4):
        cold_endpoints.record_sent(candidates[0], 10.0)
    wait_s = cold_endpoints.predict_wait_s(candidates, SERVICE, 0, 10.1)
    assert wait_s == pytest.approx(windowlimits.WINDOW_S - 0.1)
    wait_s = cold_endpoints.predict_wait_s(candidates, SERVICE, 90, 10.1)
    assert wait_s == pytest.approx(2.9)
    candidates.append(make_endpoint("b"))
    assert cold_endpoints.predict_wait_s(candidates, SERVICE, 0, 10.1) is None


def test_endpoints_that_turn_cold_and_warm_are_reported(make_endpoint, cold_endpoints):
    listed = [make_endpoint("a"), make_endpoint("b", service="other")]
    for endpoint in listed:
        cold_endpoints.record_restart(endpoint, 10.0)
    (cold,) = cold_endpoints.take_transitions(listed, 10.5)
    assert (cold.instance, cold.is_cold, cold.age_s) == ("a", True, 0.5)
    assert (cold.left_s, cold.max_requests) == (2.5, 4)
    assert cold_endpoints.take_transitions(listed, 11.0) == []
    (warm,) = cold_endpoints.take_transitions(listed, 13.0)
    assert (warm.is_cold, warm.reason) == (False, coldness.Reason.CRASHED)
    cold_endpoints.record_sent(listed[0], 13.0)
    assert cold_endpoints.take_transitions([], 13.0 + coldstarts.KEPT_S) == []
    assert not cold_endpoints.is_cold(listed[0], 13.0)


@pytest.mark.parametrize("total", [1, 24, 25, 31])
def test_parts_of_all_entries_add_up_to_the_limit(total):
    names = [f"h{number}" for number in range(38)]
    for count in (1, 3, 38):
        found = [shares.find_position(n, names[:count], "e", 8) for n in names[:count]]
        parts = [p.compute_count(total) for p in found if p is not None]
        assert sum(parts) == total


def _submit(cold_endpoints, make_endpoint, make_request, warm, service=SERVICE):
    """Submits to one cold endpoint and `warm` others; returns the outcomes."""
    listed = [make_endpoint("a"), *(make_endpoint(f"w{n}") for n in range(warm))]
    table, load_table = endpoints.EndpointTable(), loads.LoadTable()
    table.replace_all(listed, 10.0)
    dispatcher = dispatching.Dispatcher(
        table,
        load_table,
        selection.create_selector("telavi"),
        queueing.create_request_queue(),
    )
    dispatcher.set_cold_endpoints(cold_endpoints)
    cold_endpoints.record_restart(listed[0], 10.0)
    requests = [make_request(str(n), 10.0, abandon_at=10.8) for n in range(6)]
    return [dispatcher.submit(r, service, 10.0)[-1] for r in requests]


def test_request_beyond_the_limits_of_all_endpoints_is_rejected_at_once(
    make_endpoint, make_request, cold_endpoints
):
    outcomes = _submit(cold_endpoints, make_endpoint, make_request, 0)
    assert [type(o) for o in outcomes[:4]] == [dispatching.Dispatched] * 4
    assert isinstance(outcomes[4], queueing.Rejection)
    assert outcomes[4].predicted_wait_s == pytest.approx(windowlimits.WINDOW_S)
    assert cold_endpoints.held_back == 2


def test_entry_without_a_part_uses_other_endpoints(make_endpoint, make_request):
    known = coldstarts.ColdEndpoints("h0")
    outcomes = _submit(known, make_endpoint, make_request, 1)
    assert {o.endpoint.instance for o in outcomes} == {"w0"}
    (rejection, *_) = _submit(known, make_endpoint, make_request, 0)
    assert not math.isinf(rejection.predicted_wait_s)
    outcomes = _submit(known, make_endpoint, make_request, 0, UNLIMITED)
    assert {o.endpoint.instance for o in outcomes} == {"a"}
