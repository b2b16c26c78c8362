"""Tests of endpoints that want no request for some time, and of their trials."""

from chicoryweir_policy.forwarding import rests


def _create_rest(endpoint, rest_s=3.0, now=10.0):
    known = rests.Rests("dc-1")
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
    assert known.list_own(now) == ()
    assert known.count_available(make_endpoint("a"), now) is None


# Guards against a fleet whose entries each find out on their own, again and again, that
# an endpoint declines.
def test_endpoint_that_rests_for_another_entry_is_avoided(make_endpoint):
    endpoint = make_endpoint("a")
    announced = _create_rest(endpoint).list_own(11.0)
    assert [rest.left_s for rest in announced] == [2.0]
    other = rests.Rests("dc-1")
    other.merge(announced, "dc-1", 50.0)
    assert other.is_avoided(endpoint, 51.9)
    assert not other.is_avoided(endpoint, 52.0)
    assert not other.is_avoided(make_endpoint("a", born_ms=2), 51.0)


# Guards against an endpoint unused by all that declines the requests of some only.
def test_endpoint_that_accepts_the_requests_of_this_entry_is_not_avoided(make_endpoint):
    endpoint = make_endpoint("a")
    other = rests.Rests("dc-1")
    other.record(endpoint, 0.0, 49.8, 50.0)
    other.merge(_create_rest(endpoint).list_own(10.0), "dc-1", 51.0)
    assert not other.is_avoided(endpoint, 52.0)
    assert other.is_avoided(endpoint, 50.1 + rests.ANSWERED_S)


def test_number_of_announced_rests_is_bounded(make_endpoint):
    known = rests.Rests("dc-1")
    for number in range(rests.MAX_ANNOUNCED + 8):
        known.record(make_endpoint(f"e{number}"), 1.0 + number, 0.0, 0.0)
    announced = known.list_own(0.0)
    assert len(announced) == rests.MAX_ANNOUNCED
    assert announced[0].process.instance == f"e{rests.MAX_ANNOUNCED + 7}"


# Guards against an endpoint unused by all that declines those of one data centre only.
def test_endpoint_that_rests_for_another_data_centre_only_is_not_avoided(make_endpoint):
    endpoint = make_endpoint("a")
    announced = _create_rest(endpoint).list_own(10.0)
    other = rests.Rests("dc-1")
    other.merge(announced, "dc-2", 10.0)
    assert not other.is_avoided(endpoint, 11.0)
    other.merge(announced, "dc-3", 10.5)
    assert other.is_avoided(endpoint, 11.0)
    assert not other.is_avoided(endpoint, 13.2)
