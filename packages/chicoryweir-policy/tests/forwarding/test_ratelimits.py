"""Tests of the limits of what endpoints accept."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy.forwarding import ratelimits
from chicoryweir_policy.quarantine import records

PROCESS = records.LossId("i-1", "1")
# What the platform tolerates in each span: half of the rate and five requests more.
SPAN_S = 4.0
TOLERANCE = 1.5
TOLERATED_REQUESTS = 5


@pytest.fixture
def endpoint(make_endpoint):
    return make_endpoint("i-1")


def _create_entries(count):
    names = [f"e-{number}" for number in range(count)]
    entries = [ratelimits.RateLimits(name) for name in names]
    for entry in entries:
        entry.set_entries(names)
    return entries


def _send_all(entries, endpoint, rate, duration_s, step_s=0.01):
    """Sends as much as the entries allow; returns the times of the requests."""
    for entry in entries:
        entry.merge([ratelimits.Statement(PROCESS, rate, 0.0)], 0.0)
    sent_at = []
    for tick in range(int(duration_s / step_s)):
        now = tick * step_s
        for entry in entries:
            for _ in range(max(0, entry.count_available(endpoint, now))):
                entry.record_sent(endpoint)
                sent_at.append(now)
    return sent_at


def _find_most(sent_at):
    """Returns the most requests in a span."""
    most = first = 0
    for last, at in enumerate(sent_at):
        while at - sent_at[first] >= SPAN_S:
            first += 1
        most = max(most, last + 1 - first)
    return most


# Guards against entries that each keep to a limit that holds for all of them.
@hypothesis.given(
    count=strategies.integers(1, 60),
    rate=strategies.floats(0.0, 60.0),
)
@hypothesis.settings(max_examples=40)
def test_entries_together_stay_within_the_tolerance(count, rate):
    endpoint = ENDPOINT
    sent_at = _send_all(_create_entries(count), endpoint, rate, 12.0, 0.05)
    assert _find_most(sent_at) <= TOLERANCE * rate * SPAN_S + TOLERATED_REQUESTS


@pytest.mark.parametrize("count", [1, 7, 46, 380])
@pytest.mark.parametrize("rate", [0.5, 1.4, 20.0])
def test_entries_together_use_the_rate(endpoint, count, rate):
    sent_at = _send_all(_create_entries(count), endpoint, rate, 29.0, 0.1)
    assert len(sent_at) >= 0.8 * rate * 29.0


def test_first_requests_of_the_entries_are_spread(endpoint):
    entries = _create_entries(7)
    sent_at = _send_all(entries, endpoint, 1.0, 5.0)
    assert max(collections.Counter(sent_at).values()) == 1


def test_endpoint_without_a_statement_is_not_limited(endpoint):
    (entry,) = _create_entries(1)
    assert entry.count_available(endpoint, 0.0) is None
    entry.record(endpoint, None, 1.0)
    assert entry.count_available(endpoint, 1.0) is None
    assert entry.list_own(1.0) == ()


def test_answer_without_a_rate_lifts_the_limit_at_all_entries(endpoint):
    first, second = _create_entries(2)
    first.record(endpoint, 0.5, 0.0)
    second.merge(first.list_own(0.1), 0.1)
    assert second.count_available(endpoint, 0.2) == 0
    first.record(endpoint, None, 1.0)
    second.merge(first.list_own(1.1), 1.1)
    for entry in (first, second):
        assert entry.count_available(endpoint, 1.2) is None


def test_older_statement_of_another_entry_is_ignored(endpoint):
    (entry,) = _create_entries(1)
    entry.record(endpoint, None, 0.0)
    entry.record(endpoint, 2.0, 5.0)
    entry.merge([ratelimits.Statement(PROCESS, None, 3.0)], 6.0)
    assert entry.count_available(endpoint, 6.0) is not None


def test_limit_ends_with_the_process(endpoint):
    (entry,) = _create_entries(1)
    entry.record(endpoint, 0.0, 0.0)
    assert entry.count_available(endpoint, 1.0) == 0
    restarted = dataclasses.replace(endpoint, born_ms=endpoint.born_ms + 1)
    assert entry.count_available(restarted, 1.0) is None


@pytest.mark.parametrize(("rate", "valid_s"), [(2.0, 30.0), (0.1, 100.0), (0.0, 600.0)])
def test_statement_that_is_not_repeated_expires(endpoint, rate, valid_s):
    (entry,) = _create_entries(1)
    entry.record(endpoint, rate, 0.0)
    assert entry.count_available(endpoint, valid_s) is not None
    assert entry.count_available(endpoint, valid_s + 0.1) is None
    assert entry.list_own(valid_s + 0.1) == ()


def test_new_entry_starts_without_a_burst(endpoint):
    entries = _create_entries(3)
    _send_all(entries, endpoint, 1.0, 10.0)
    late = ratelimits.RateLimits("e-9")
    late.set_entries([f"e-{number}" for number in range(3)])
    late.merge([ratelimits.Statement(PROCESS, 1.0, 0.0)], 10.0)
    assert late.count_available(endpoint, 10.0) == 0


def test_changes_are_reported_once(endpoint):
    (entry,) = _create_entries(1)
    entry.record(endpoint, 1.5, 0.0)
    (stated,) = entry.take_transitions(0.5)
    assert (stated.process, stated.max_rate, stated.age_s) == (PROCESS, 1.5, 0.5)
    entry.record(endpoint, 1.5, 1.0)
    assert not entry.take_transitions(1.0)
    entry.record(endpoint, None, 2.0)
    (lifted,) = entry.take_transitions(2.0)
    assert lifted.max_rate is None


ENDPOINT = ratelimits.endpoints.Endpoint(
    "i-1", "model", "10.0.0.1", 80, "telavi", 6, False, 0.0, 1
)
