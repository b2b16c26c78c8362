"""Tests of endpoints that want no request for some time, and of their trials."""

from chicoryweir_policy.forwarding import rests


def _create_rest(endpoint, rest_s=3.0, now=10.0):
    known = rests.Rests()
    known.record(endpoint, rest_s, now - 0.1, now)
    return known


def test_endpoint_gets_nothing_during_its_rest(make_endpoint):
    endpoint = make_endpoint("a")
    known = _create_rest(endpoint)
    assert known.count_available(endpoint, 10.0) == 0
    assert known.is_resting(endpoint, 12.9)
    assert not known.is_resting(endpoint, 13.0)
    assert known.count_available(make_endpoint("b"), 10.0) is None
    assert known.predict_wait_s([endpoint], 11.0) == 2.0


# Guards against a burst of requests to the endpoint with the least load.
def test_endpoint_gets_one_request_at_a_time_after_its_rest(make_endpoint):
    endpoint = make_endpoint("a")
    known = _create_rest(endpoint)
    assert known.count_available(endpoint, 13.0) == 1
    known.record_sent(endpoint, 13.0)
    assert known.count_available(endpoint, 13.5) == 0
    assert known.count_available(endpoint, 13.0 + rests.TRIAL_S) == 1
    known.record(endpoint, 0.0, 13.0, 13.6)
    assert known.count_available(endpoint, 13.6) is None


def test_answer_to_a_request_from_before_the_rest_does_not_end_it(make_endpoint):
    endpoint = make_endpoint("a")
    known = _create_rest(endpoint)
    known.record(endpoint, 0.0, 9.0, 11.0)
    assert known.is_resting(endpoint, 11.0)


def test_shorter_rest_does_not_end_a_longer_one(make_endpoint):
    endpoint = make_endpoint("a")
    known = _create_rest(endpoint)
    known.record(endpoint, 0.5, 9.9, 10.1)
    assert known.is_resting(endpoint, 12.9)


def test_declined_trial_begins_another_rest(make_endpoint):
    endpoint = make_endpoint("a")
    known = _create_rest(endpoint)
    known.record_sent(endpoint, 13.0)
    known.record(endpoint, 3.0, 13.0, 13.1)
    assert known.count_available(endpoint, 14.5) == 0
    assert known.is_resting(endpoint, 16.0)


def test_restarted_endpoint_does_not_rest(make_endpoint):
    known = _create_rest(make_endpoint("a"))
    assert known.count_available(make_endpoint("a", born_ms=2), 11.0) is None


def test_rest_of_an_endpoint_that_is_gone_is_forgotten(make_endpoint):
    known = _create_rest(make_endpoint("a"))
    now = 13.0 + rests.KEPT_S + 0.1
    known.record(make_endpoint("b"), 3.0, now, now)
    assert known.count_available(make_endpoint("a"), now) is None
