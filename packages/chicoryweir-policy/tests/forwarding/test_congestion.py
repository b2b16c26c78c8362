"""Tests of the concurrency limit under uneven expert load and slow ranks."""

import dataclasses

import pytest

from chicoryweir_policy.forwarding import congestion

MAX_GAP_S = 0.12


def _measure_inflation(engine, factor):
    inflation = congestion.StepInflation()
    gap_s = congestion.compute_event_interval_s(engine, 3.0) * factor
    now = 0.0
    for _ in range(60):
        now += gap_s
        inflation = congestion.record_gap(
            inflation, engine, gap_s, MAX_GAP_S, 3.0, 1.0, now
        )
    return inflation, now


def test_all_slots_are_used_under_even_load(engine):
    inflation, now = _measure_inflation(engine, 1.0)
    limit = congestion.compute_concurrency_limit(inflation, engine, MAX_GAP_S, 1.0, now)
    assert limit == engine.slots


@pytest.mark.parametrize("factor", [1.7, 2.0, 3.0])
def test_limit_keeps_steps_within_target_gap(engine, factor):
    inflation, now = _measure_inflation(engine, factor)
    limit = congestion.compute_concurrency_limit(inflation, engine, MAX_GAP_S, 1.0, now)
    assert congestion.MIN_LIMIT <= limit < engine.slots
    step_s = congestion.compute_event_interval_s(engine, limit) * factor
    if limit > congestion.MIN_LIMIT:
        assert step_s <= congestion.TARGET_GAP_SHARE * MAX_GAP_S * 1.05


def test_outdated_measurement_is_ignored(engine):
    inflation, now = _measure_inflation(engine, 3.0)
    later = now + congestion.MAX_AGE_S + 0.1
    limit = congestion.compute_concurrency_limit(
        inflation, engine, MAX_GAP_S, 1.0, later
    )
    assert limit == engine.slots


def test_route_without_gap_limit_is_not_limited(engine):
    inflation, now = _measure_inflation(engine, 3.0)
    assert (
        congestion.compute_concurrency_limit(inflation, engine, 0.0, 1.0, now)
        == engine.slots
    )


def test_limit_drops_within_half_a_second_of_load_shift(engine):
    inflation, now = _measure_inflation(engine, 1.0)
    gap_s = congestion.compute_event_interval_s(engine, 3.0) * 2.5
    shifted_at = now
    while now - shifted_at < 0.5:
        now += gap_s
        inflation = congestion.record_gap(
            inflation, engine, gap_s, MAX_GAP_S, 3.0, 1.0, now
        )
    assert (
        congestion.compute_concurrency_limit(inflation, engine, MAX_GAP_S, 1.0, now)
        < 4.0
    )


# Guards against requests admitted between two shifts that are late at the next.
def test_limit_stays_low_between_two_shifts_in_demand(engine):
    inflation, now = _measure_inflation(engine, 2.2)
    during = congestion.compute_concurrency_limit(
        inflation, engine, MAX_GAP_S, 1.0, now
    )
    even_gap_s = congestion.compute_event_interval_s(engine, 3.0) * 1.2
    shifted_at = now
    while now - shifted_at < 2.4:
        now += even_gap_s
        inflation = congestion.record_gap(
            inflation, engine, even_gap_s, MAX_GAP_S, 3.0, 1.0, now
        )
    after = congestion.compute_concurrency_limit(inflation, engine, MAX_GAP_S, 1.0, now)
    assert after <= 1.35 * during


def test_stall_of_the_group_does_not_lower_the_limit(engine):
    inflation, now = _measure_inflation(engine, 1.3)
    before = congestion.compute_concurrency_limit(
        inflation, engine, MAX_GAP_S, 1.0, now
    )
    inflation = congestion.record_gap(
        inflation, engine, 0.64, MAX_GAP_S, 3.0, 1.0, now + 0.64
    )
    limit = congestion.compute_concurrency_limit(
        inflation, engine, MAX_GAP_S, 1.0, now + 0.64
    )
    assert limit == before


@pytest.mark.parametrize("slowdown", [1.3, 2.0, 6.0, 12.0])
def test_slow_rank_does_not_count_as_uneven_load(engine, slowdown):
    inflation = congestion.StepInflation()
    gap_s = congestion.compute_event_interval_s(engine, 3.0, slowdown) * 1.2
    now = 0.0
    for _ in range(60):
        now += gap_s
        inflation = congestion.record_gap(
            inflation, engine, gap_s, MAX_GAP_S, 3.0, slowdown, now
        )
    assert inflation.factor == pytest.approx(1.2, rel=0.01)


@pytest.mark.parametrize(
    ("slowdown", "on_time"), [(1.3, True), (2.0, True), (6.0, False)]
)
def test_all_slots_are_used_when_no_limit_keeps_streams_on_time(
    engine, slowdown, on_time
):
    inflation = congestion.StepInflation(1.2, 0.0)
    limit = congestion.compute_concurrency_limit(
        inflation, engine, MAX_GAP_S, slowdown, 0.1
    )
    if on_time:
        step_s = congestion.compute_event_interval_s(engine, limit, slowdown) * 1.2
        assert limit >= congestion.MIN_LIMIT
        assert step_s <= congestion.TARGET_GAP_SHARE * MAX_GAP_S * 1.05
    else:
        assert limit == engine.slots


@pytest.mark.parametrize(
    "missing",
    [{"steps_per_event": 0}, {"sequence_s": 0.0, "context_s": 0.0}, {"step_s": 0.0}],
)
def test_limit_is_within_bounds_without_engine_speed(engine, missing):
    engine = dataclasses.replace(engine, **missing)
    inflation = congestion.record_gap(
        congestion.StepInflation(), engine, MAX_GAP_S, MAX_GAP_S, 2.0, 1.0, 0.0
    )
    limit = congestion.compute_concurrency_limit(inflation, engine, MAX_GAP_S, 1.0, 0.1)
    assert congestion.MIN_LIMIT <= limit <= engine.slots
