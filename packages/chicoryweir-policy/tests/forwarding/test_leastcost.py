"""Tests of single decisions of the least-cost way."""

import dataclasses
import math

import pytest

from chicoryweir_policy.forwarding import leastcost
from chicoryweir_policy.forwarding import returns
from chicoryweir_policy.forwarding import shedding

FULL = shedding.ServiceLoad(100, 100, 300, 50, 0, 5, 0.2, 1.5)


def _observe(way, now=0.0, **changes):
    way.observe(dataclasses.replace(FULL, **changes), now)


@pytest.fixture
def way():
    decision = leastcost.LeastCost()
    _observe(decision)
    return decision


@pytest.fixture
def make_call(make_request):
    def make(request_id, now=0.0, sent_at=None, **changes):
        sent_at = now if sent_at is None else sent_at
        origin = returns.Origin(request_id, sent_at, sent_at + 8.1)
        return make_request(request_id, now, origin=origin, **changes)

    return make


# Guards against capacity that idles while a request waits.
@pytest.mark.parametrize("priority", range(3))
def test_waiting_request_may_use_the_whole_limit_alone(way, make_call, priority):
    way.push(make_call("a", priority=priority), 0.0)
    _observe(way, 1.5, running=99)
    assert way.pop(1.5).request_id == "a"


def test_urgent_request_passes_a_patient_one_that_can_wait(way, make_call):
    _observe(way, running=90)
    for request in (
        make_call("patient", priority=2, objective_at=1.0),
        make_call("urgent", priority=0),
    ):
        way.record_request(request, 0.0)
        way.push(request, 0.0)
    assert way.pop(0.1).request_id == "urgent"
    assert way.pop(0.1) is None
    _observe(way, 0.75, running=90)
    assert way.pop(0.75).request_id == "patient"


def test_request_whose_wait_would_pass_its_deadline_is_rejected_at_once(way, make_call):
    _observe(way, running=300)
    (rejection,) = way.push(make_call("a"), 0.0)
    assert rejection.reason == "the wait would pass its deadline"
    assert 8.1 / 6 <= rejection.retry_after_s <= 8.1 / 3


# Guards against rejections by what other entries said long ago.
def test_entry_that_hears_no_other_goes_by_its_own_load(way, make_call):
    _observe(way, heard_s=2.1)
    assert way.admits(make_call("a"), 0.0)
    _observe(way, heard_s=math.inf, own_running=100)
    assert not way.admits(make_call("b"), 0.0)


def test_return_outside_its_turn_is_rejected_until_its_turn(way, make_call):
    turn_s = make_call("a").origin.compute_wait_s(0.0)
    early = make_call("a", turn_s - 0.5, sent_at=0.0)
    (rejection,) = way.push(early, turn_s - 0.5)
    assert rejection.reason == "it returned before its time"
    assert rejection.retry_after_s == pytest.approx(0.5)
    assert way.push(make_call("a", turn_s, sent_at=0.0), turn_s) == ()


# Guards against a retry within the entry that counts as a caller's early return.
def test_request_that_failed_at_an_endpoint_is_no_return(way, make_call):
    retried = make_call("a", 0.0, objective_at=4.0, abandon_at=4.0)
    assert way.push(retried, 0.6) == ()


def test_basis_of_a_decision_is_kept_once(way, make_call):
    way.record_start(make_call("a"), 0.0)
    basis = way.take_basis("a")
    assert (basis.load_share, basis.late, basis.heard_s) == (1.0, False, 0.2)
    assert way.take_basis("a") is None


def test_age_is_known_only_where_callers_have_equal_deadlines():
    first_attempts = returns.FirstAttempts()
    for number in range(40):
        first_attempts.record(8.1 - 0.01 * (number % 3))
    assert first_attempts.estimate_age_s(8.07) == 0.0
    assert first_attempts.estimate_age_s(6.1) == pytest.approx(2.0)
    for number in range(64):
        first_attempts.record(0.6 + 0.1 * number)
    assert first_attempts.estimate_age_s(2.0) == 0.0
