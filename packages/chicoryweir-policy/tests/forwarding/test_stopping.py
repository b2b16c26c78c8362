"""Tests of what a stopping entry can still finish."""

import math

import pytest

from chicoryweir_policy.forwarding import stopping


def _record(durations, duration_s, tokens, now, is_complete=True):
    durations.record_start(1, now - duration_s)
    durations.record_end(1, tokens, is_complete, now)


def test_longest_answer_of_the_last_minute_counts():
    durations = stopping.AnswerDurations()
    assert durations.predict_longest_s(100, 0.0) is None
    _record(durations, 4.0, 100, 10.0)
    _record(durations, 1.0, 100, 20.0)
    assert durations.predict_longest_s(100, 20.0) == 4.0
    _record(durations, 1.5, 100, 45.0)
    assert durations.predict_longest_s(100, 45.0) == 4.0
    _record(durations, 1.0, 100, 80.0)
    assert durations.predict_longest_s(100, 80.0) == 1.5


def test_answers_are_forgotten_after_two_periods():
    durations = stopping.AnswerDurations()
    _record(durations, 4.0, 100, 10.0)
    assert durations.predict_longest_s(100, 10.0 + 2 * stopping.PERIOD_S) is None


def test_incomplete_answers_do_not_count():
    durations = stopping.AnswerDurations()
    _record(durations, 0.1, 100, 10.0, is_complete=False)
    assert durations.predict_longest_s(100, 10.0) is None


# Guards against a pace that has fallen since the last complete answer.
def test_running_request_counts_by_its_age():
    durations = stopping.AnswerDurations()
    _record(durations, 1.0, 100, 10.0)
    durations.record_start(2, 10.0)
    durations.record_start(3, 12.0)
    assert durations.predict_longest_s(100, 13.0) == 3.0


def test_larger_answer_takes_longer_in_proportion():
    durations = stopping.AnswerDurations()
    _record(durations, 1.0, 100, 10.0)
    assert durations.predict_longest_s(400, 10.0) == 4.0
    assert durations.predict_longest_s(50, 10.0) == 1.0
    assert durations.predict_longest_s(0, 10.0) == 1.0


@pytest.mark.parametrize(
    ("arrived_at", "deadline_at", "longest_s", "latest_at"),
    [
        (92.0, 99.0, None, 99.0),
        (92.0, 110.0, None, -math.inf),
        (92.0, 110.0, 2.0, 96.7),
        (80.0, 110.0, 2.0, 96.7),
        (96.0, 99.0, 2.0, 99.0),
        # The longest answer known is no bound for a late request.
        (96.0, 110.0, 0.1, -math.inf),
        (95.6, 100.1, 0.1, -math.inf),
    ],
)
def test_request_must_be_over_before_the_stop(
    arrived_at, deadline_at, longest_s, latest_at
):
    stop = stopping.Stop(92.7, 100.0)
    found = stopping.compute_latest_start(stop, arrived_at, deadline_at, longest_s)
    assert found == pytest.approx(latest_at)
