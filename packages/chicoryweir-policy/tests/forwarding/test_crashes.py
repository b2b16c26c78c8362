"""Requests that crash each endpoint that runs them, and innocent ones beside them."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy.forwarding import crashes

POISON, INNOCENT = 1, 2


@pytest.fixture
def crash(make_endpoint):
    """Runs requests on an endpoint that then crashes."""

    def run(tracker, instance, fingerprints, now, restarts=True):
        endpoint = make_endpoint(instance, born_ms=int(now * 1000))
        for fingerprint in fingerprints:
            tracker.record_sent(endpoint, fingerprint)
            tracker.record_ended(endpoint, fingerprint, True, now)
        successor = dataclasses.replace(endpoint, born_ms=endpoint.born_ms + 1)
        return tracker.record_crash(
            instance, successor if restarts else None, now + 2.0
        )

    return run


def test_request_is_refused_after_its_third_crash(crash):
    tracker = crashes.CrashTracker()
    for number in range(3):
        assert tracker.find_quarantine(POISON, 10.0 * number) is None
        crash(tracker, f"i-{number}", [POISON], 10.0 * number)
    guilt = tracker.find_quarantine(POISON, 30.0)
    assert guilt is not None
    assert guilt.retry_after_s > 60.0


def test_crashes_of_one_endpoint_that_starts_anew_count_each(crash):
    tracker = crashes.CrashTracker()
    for number in range(3):
        crash(tracker, "i-1", [POISON], 10.0 * number)
    assert tracker.find_quarantine(POISON, 30.0) is not None


def test_one_crash_that_is_told_several_ways_counts_once(crash):
    tracker = crashes.CrashTracker()
    crash(tracker, "i-1", [POISON], 0.0, restarts=False)
    for _ in range(5):
        tracker.record_crash("i-1", None, 3.0)
    assert tracker.find_quarantine(POISON, 4.0) is None


def test_request_that_shared_endpoints_and_ended_well_is_not_blamed(crash):
    tracker = crashes.CrashTracker()
    for number in range(3):
        crash(tracker, f"i-{number}", [POISON, INNOCENT], 10.0 * number)
        tracker.record_finished(INNOCENT, 10.0 * number + 3.0)
    assert tracker.find_quarantine(POISON, 30.0) is not None
    assert tracker.find_quarantine(INNOCENT, 30.0) is None


def test_attempt_that_broke_without_a_crash_charges_nothing(make_endpoint):
    tracker = crashes.CrashTracker()
    for number in range(9):
        endpoint = make_endpoint(f"i-{number}")
        tracker.record_sent(endpoint, POISON)
        tracker.record_ended(endpoint, POISON, True, float(number))
    assert tracker.find_quarantine(POISON, 9.0) is None


def test_request_under_way_at_a_silent_endpoint_is_charged(make_endpoint):
    tracker = crashes.CrashTracker()
    for number in range(3):
        endpoint = make_endpoint(f"i-{number}")
        tracker.record_sent(endpoint, POISON)
        assert tracker.record_crash(endpoint.instance, None, float(number))
        tracker.record_ended(endpoint, POISON, True, number + 0.5)
    assert tracker.find_quarantine(POISON, 9.0) is not None


def test_request_on_the_new_process_is_not_charged_for_the_old_one(make_endpoint):
    tracker = crashes.CrashTracker()
    new = make_endpoint("i-1", born_ms=2)
    tracker.record_sent(new, INNOCENT)
    assert tracker.record_crash("i-1", new, 1.0) == ()


def test_broken_attempt_long_before_a_crash_is_not_charged(make_endpoint):
    tracker = crashes.CrashTracker()
    endpoint = make_endpoint("i-1")
    tracker.record_sent(endpoint, INNOCENT)
    tracker.record_ended(endpoint, INNOCENT, True, 0.0)
    assert tracker.record_crash("i-1", None, crashes.LOOKBACK_S + 1.0) == ()


def test_entries_that_saw_one_crash_each_refuse_together(crash):
    trackers = [crashes.CrashTracker() for _ in range(3)]
    for number, tracker in enumerate(trackers):
        crash(tracker, f"i-{number}", [POISON], 10.0 * number)
    for tracker in trackers:
        for other in trackers:
            other.merge(tracker.select_update([("e", 1)], 30.0), 30.0)
    assert all(
        tracker.find_quarantine(POISON, 31.0) is not None for tracker in trackers
    )


def test_news_is_told_again_for_a_while_and_then_no_more(crash):
    tracker = crashes.CrashTracker()
    heard = [("e", 1)]
    tracker.select_update(heard, 0.0)
    crash(tracker, "i-1", [POISON], 20.0)
    assert tracker.select_update(heard, 22.0).losses
    assert tracker.select_update(heard, 22.0 + crashes.SPREAD_S).losses
    assert not tracker.select_update(heard, 22.1 + crashes.SPREAD_S).losses


def test_entry_that_comes_later_is_told_everything(crash):
    tracker = crashes.CrashTracker()
    tracker.select_update([("e", 1)], 0.0)
    crash(tracker, "i-1", [POISON], 1.0)
    assert not tracker.select_update([("e", 1)], 30.0).losses[1:]
    tracker.select_update([("e", 1)], 60.0)
    assert tracker.select_update([("e", 2)], 61.0).losses


@hypothesis.given(strategies.lists(strategies.integers(0, 5), max_size=40))
def test_request_is_never_refused_before_three_endpoints_crashed(steps):
    tracker = crashes.CrashTracker()
    crashed = 0
    for number, step in enumerate(steps):
        endpoint = dataclasses.replace(_ENDPOINT, instance=f"i-{number}")
        tracker.record_sent(endpoint, POISON)
        tracker.record_ended(endpoint, POISON, step % 2 == 0, float(number))
        if step == 0:
            crashed += bool(
                tracker.record_crash(endpoint.instance, None, float(number))
            )
        assert (tracker.find_quarantine(POISON, number + 0.1) is not None) == (
            crashed >= 3
        )


_ENDPOINT = crashes.endpoints.Endpoint(
    "i", "model", "10.0.0.1", 80, "telavi", 6, False, 0.0, 1
)


def test_fingerprint_tells_path_caller_and_body_apart():
    parts = ("w", "h", b"/a", b"body")
    endpoint = crashes.compute_fingerprint(*parts)
    assert endpoint == crashes.compute_fingerprint(*parts)
    others = [("v", "h", b"/a", b"body"), ("w", "h", b"/b", b"body")]
    others += [("w", "h", b"/a", b"bodz"), ("w", "h/", b"a", b"body")]
    assert all(crashes.compute_fingerprint(*other) != endpoint for other in others)
