"""Tests of the detection of requests that crash endpoints."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy.forwarding import crashes

POISON, HARMLESS = 1, 2


@pytest.fixture
def crash(make_endpoint):
    """Returns a function that runs requests on an endpoint and crashes it."""

    def crash_endpoint(tracker, instance, fingerprints, now, restarts=True):
        endpoint = make_endpoint(instance, born_ms=int(now * 1000))
        for fingerprint in fingerprints:
            tracker.record_sent(endpoint, fingerprint)
            tracker.record_ended(endpoint, fingerprint, True, now)
        successor = dataclasses.replace(endpoint, born_ms=endpoint.born_ms + 1)
        return tracker.record_crash(
            instance, successor if restarts else None, now + 2.0
        )

    return crash_endpoint


def test_request_is_quarantined_after_its_third_crash(crash):
    tracker = crashes.CrashTracker()
    for number in range(3):
        assert tracker.find_quarantine(POISON, 10.0 * number) is None
        crash(tracker, f"i-{number}", [POISON], 10.0 * number)
    quarantined = tracker.find_quarantine(POISON, 30.0)
    assert quarantined is not None
    assert quarantined.retry_after_s > 60.0


def test_each_crash_of_a_restarting_endpoint_counts(crash):
    tracker = crashes.CrashTracker()
    for number in range(3):
        crash(tracker, "i-1", [POISON], 10.0 * number)
    assert tracker.find_quarantine(POISON, 30.0) is not None


def test_crash_that_is_reported_repeatedly_counts_once(crash):
    tracker = crashes.CrashTracker()
    crash(tracker, "i-1", [POISON], 0.0, restarts=False)
    for _ in range(5):
        tracker.record_crash("i-1", None, 3.0)
    assert tracker.find_quarantine(POISON, 4.0) is None


def test_request_that_later_finished_is_not_quarantined(crash):
    tracker = crashes.CrashTracker()
    for number in range(3):
        crash(tracker, f"i-{number}", [POISON, HARMLESS], 10.0 * number)
        tracker.record_finished(HARMLESS, 10.0 * number + 3.0)
    assert tracker.find_quarantine(POISON, 30.0) is not None
    assert tracker.find_quarantine(HARMLESS, 30.0) is None


def test_broken_attempts_without_crash_are_not_charged(make_endpoint):
    tracker = crashes.CrashTracker()
    for number in range(9):
        endpoint = make_endpoint(f"i-{number}")
        tracker.record_sent(endpoint, POISON)
        tracker.record_ended(endpoint, POISON, True, float(number))
    assert tracker.find_quarantine(POISON, 9.0) is None


def test_request_still_running_at_crash_is_charged(make_endpoint):
    tracker = crashes.CrashTracker()
    for number in range(3):
        endpoint = make_endpoint(f"i-{number}")
        tracker.record_sent(endpoint, POISON)
        assert tracker.record_crash(endpoint.instance, None, float(number))
        tracker.record_ended(endpoint, POISON, True, number + 0.5)
    assert tracker.find_quarantine(POISON, 9.0) is not None


def test_request_at_new_process_is_not_charged_for_crash_of_old_one(make_endpoint):
    tracker = crashes.CrashTracker()
    new = make_endpoint("i-1", born_ms=2)
    tracker.record_sent(new, HARMLESS)
    assert tracker.record_crash("i-1", new, 1.0) == ()


def test_attempt_broken_before_lookback_is_not_charged(make_endpoint):
    tracker = crashes.CrashTracker()
    endpoint = make_endpoint("i-1")
    tracker.record_sent(endpoint, HARMLESS)
    tracker.record_ended(endpoint, HARMLESS, True, 0.0)
    assert tracker.record_crash("i-1", None, crashes.LOOKBACK_S + 1.0) == ()


def test_crashes_seen_by_different_entries_add_up(crash):
    trackers = [crashes.CrashTracker() for _ in range(3)]
    for number, tracker in enumerate(trackers):
        crash(tracker, f"i-{number}", [POISON], 10.0 * number)
    for tracker in trackers:
        for other in trackers:
            other.merge(tracker.select_update([("e", 1)], 30.0), 30.0)
    assert all(
        tracker.find_quarantine(POISON, 31.0) is not None for tracker in trackers
    )


def test_update_is_repeated_during_spread_time_only(crash):
    tracker = crashes.CrashTracker()
    receivers = [("e", 1)]
    tracker.select_update(receivers, 0.0)
    crash(tracker, "i-1", [POISON], 20.0)
    assert tracker.select_update(receivers, 22.0).losses
    assert tracker.select_update(receivers, 22.0 + crashes.SPREAD_S).losses
    assert not tracker.select_update(receivers, 22.1 + crashes.SPREAD_S).losses


def test_new_receiver_gets_all_records(crash):
    tracker = crashes.CrashTracker()
    tracker.select_update([("e", 1)], 0.0)
    crash(tracker, "i-1", [POISON], 1.0)
    assert not tracker.select_update([("e", 1)], 30.0).losses[1:]
    tracker.select_update([("e", 1)], 60.0)
    assert tracker.select_update([("e", 2)], 61.0).losses


@hypothesis.given(strategies.lists(strategies.integers(0, 5), max_size=40))
def test_request_is_quarantined_only_after_three_crashes(steps):
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


def test_fingerprint_differs_by_workspace_host_path_and_body():
    parts = ("w", "h", b"/a", b"body")
    fingerprint = crashes.compute_fingerprint(*parts)
    assert fingerprint == crashes.compute_fingerprint(*parts)
    others = [("v", "h", b"/a", b"body"), ("w", "h", b"/b", b"body")]
    others += [("w", "h", b"/a", b"bodz"), ("w", "h/", b"a", b"body")]
    assert all(crashes.compute_fingerprint(*other) != fingerprint for other in others)
