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

    def run(watch, instance, fingerprints, now, restarts=True):
        one = make_endpoint(instance, born_ms=int(now * 1000))
        for fingerprint in fingerprints:
            watch.note_sent(one, fingerprint)
            watch.note_ended(one, fingerprint, True, now)
        successor = dataclasses.replace(one, born_ms=one.born_ms + 1)
        return watch.note_crash(instance, successor if restarts else None, now + 2.0)

    return run


def test_request_is_refused_after_its_third_crash(crash):
    watch = crashes.CrashWatch()
    for number in range(3):
        assert watch.judge(POISON, 10.0 * number) is None
        crash(watch, f"i-{number}", [POISON], 10.0 * number)
    guilt = watch.judge(POISON, 30.0)
    assert guilt is not None
    assert guilt.retry_after_s > 60.0


def test_crashes_of_one_endpoint_that_starts_anew_count_each(crash):
    watch = crashes.CrashWatch()
    for number in range(3):
        crash(watch, "i-1", [POISON], 10.0 * number)
    assert watch.judge(POISON, 30.0) is not None


def test_one_crash_that_is_told_several_ways_counts_once(crash):
    watch = crashes.CrashWatch()
    crash(watch, "i-1", [POISON], 0.0, restarts=False)
    for _ in range(5):
        watch.note_crash("i-1", None, 3.0)
    assert watch.judge(POISON, 4.0) is None


def test_request_that_shared_endpoints_and_ended_well_is_not_blamed(crash):
    watch = crashes.CrashWatch()
    for number in range(3):
        crash(watch, f"i-{number}", [POISON, INNOCENT], 10.0 * number)
        watch.note_finished(INNOCENT, 10.0 * number + 3.0)
    assert watch.judge(POISON, 30.0) is not None
    assert watch.judge(INNOCENT, 30.0) is None


def test_attempt_that_broke_without_a_crash_charges_nothing(make_endpoint):
    watch = crashes.CrashWatch()
    for number in range(9):
        one = make_endpoint(f"i-{number}")
        watch.note_sent(one, POISON)
        watch.note_ended(one, POISON, True, float(number))
    assert watch.judge(POISON, 9.0) is None


def test_request_under_way_at_a_silent_endpoint_is_charged(make_endpoint):
    watch = crashes.CrashWatch()
    for number in range(3):
        one = make_endpoint(f"i-{number}")
        watch.note_sent(one, POISON)
        assert watch.note_crash(one.instance, None, float(number))
        watch.note_ended(one, POISON, True, number + 0.5)
    assert watch.judge(POISON, 9.0) is not None


def test_request_on_the_new_process_is_not_charged_for_the_old_one(make_endpoint):
    watch = crashes.CrashWatch()
    new = make_endpoint("i-1", born_ms=2)
    watch.note_sent(new, INNOCENT)
    assert watch.note_crash("i-1", new, 1.0) == ()


def test_broken_attempt_long_before_a_crash_is_not_charged(make_endpoint):
    watch = crashes.CrashWatch()
    one = make_endpoint("i-1")
    watch.note_sent(one, INNOCENT)
    watch.note_ended(one, INNOCENT, True, 0.0)
    assert watch.note_crash("i-1", None, crashes.LOOKBACK_S + 1.0) == ()


def test_entries_that_saw_one_crash_each_refuse_together(crash):
    watches = [crashes.CrashWatch() for _ in range(3)]
    for number, watch in enumerate(watches):
        crash(watch, f"i-{number}", [POISON], 10.0 * number)
    for watch in watches:
        for other in watches:
            other.merge(watch.select_news([("e", 1)], 30.0), 30.0)
    assert all(watch.judge(POISON, 31.0) is not None for watch in watches)


def test_news_is_told_again_for_a_while_and_then_no_more(crash):
    watch = crashes.CrashWatch()
    heard = [("e", 1)]
    watch.select_news(heard, 0.0)
    crash(watch, "i-1", [POISON], 20.0)
    assert watch.select_news(heard, 22.0).losses
    assert watch.select_news(heard, 22.0 + crashes.SPREAD_S).losses
    assert not watch.select_news(heard, 22.1 + crashes.SPREAD_S).losses


def test_entry_that_comes_later_is_told_everything(crash):
    watch = crashes.CrashWatch()
    watch.select_news([("e", 1)], 0.0)
    crash(watch, "i-1", [POISON], 1.0)
    assert not watch.select_news([("e", 1)], 30.0).losses[1:]
    watch.select_news([("e", 1)], 60.0)
    assert watch.select_news([("e", 2)], 61.0).losses


@hypothesis.given(strategies.lists(strategies.integers(0, 5), max_size=40))
def test_request_is_never_refused_before_three_endpoints_crashed(steps):
    watch = crashes.CrashWatch()
    crashed = 0
    for number, step in enumerate(steps):
        one = dataclasses.replace(_ENDPOINT, instance=f"i-{number}")
        watch.note_sent(one, POISON)
        watch.note_ended(one, POISON, step % 2 == 0, float(number))
        if step == 0:
            crashed += bool(watch.note_crash(one.instance, None, float(number)))
        assert (watch.judge(POISON, number + 0.1) is not None) == (crashed >= 3)


_ENDPOINT = crashes.endpoints.Endpoint(
    "i", "model", "10.0.0.1", 80, "telavi", 6, False, 0.0, 1
)


def test_fingerprint_tells_path_caller_and_body_apart():
    parts = ("w", "h", b"/a", b"body")
    one = crashes.compute_fingerprint(*parts)
    assert one == crashes.compute_fingerprint(*parts)
    others = [("v", "h", b"/a", b"body"), ("w", "h", b"/b", b"body")]
    others += [("w", "h", b"/a", b"bodz"), ("w", "h/", b"a", b"body")]
    assert all(crashes.compute_fingerprint(*other) != one for other in others)
