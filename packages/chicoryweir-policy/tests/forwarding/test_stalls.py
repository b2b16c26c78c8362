"""Tests of stall timeouts and of the time at which callers leave."""

import dataclasses

from chicoryweir_policy.forwarding import abandonment
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import stalls


def test_stalled_stream_is_lost_before_its_caller_leaves(route):
    assert stalls.compute_stall_timeout(route, True, 0.5, 0.0) > 0.0
    assert stalls.compute_stall_timeout(route, True, 1.0, 0.0) == 0.0
    assert stalls.EVENT_TIMEOUT_S < abandonment.MIN_WAIT_S / 2


def test_stream_waits_while_whole_service_is_stalled(route):
    assert stalls.compute_stall_timeout(route, True, 1.5, 1.5) > 0.0


def test_non_idempotent_request_waits_until_its_timeout(route):
    payment = dataclasses.replace(route, kind=configuration.RouteKind.NON_IDEMPOTENT)
    assert stalls.compute_stall_timeout(payment, False, 5.0, 0.0) > 0.0


def test_stream_is_abandoned_after_longest_of_three_times(route):
    assert abandonment.compute_abandon_at(route, 1.0, 9.0) == 3.0
    slow = dataclasses.replace(route, objective_s=1.0)
    assert abandonment.compute_abandon_at(slow, 1.0, 9.0) == 5.0
    long_gap = dataclasses.replace(route, max_gap_s=0.5)
    assert abandonment.compute_abandon_at(long_gap, 1.0, 9.0) == 5.0
    assert abandonment.compute_abandon_at(route, 1.0, 2.0) == 2.0


def test_idempotent_request_is_abandoned_at_its_deadline(route):
    plain = dataclasses.replace(route, kind=configuration.RouteKind.IDEMPOTENT)
    assert abandonment.compute_abandon_at(plain, 1.0, 9.0) == 9.0
