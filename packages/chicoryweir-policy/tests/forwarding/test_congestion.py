"""Steps that stretch while the experts' load is uneven."""

import dataclasses

import pytest

from chicoryweir_policy.forwarding import congestion

PAUSE_S = 0.12


def _stretch(engine, factor):
    stretch = congestion.Stretch()
    pause_s = congestion.compute_pass_s(engine, 3.0) * factor
    now = 0.0
    for _ in range(60):
        now += pause_s
        stretch = congestion.note_pause(stretch, engine, pause_s, 3.0, 1.0, now)
    return stretch, now


def test_even_load_lets_all_slots_be_used(engine):
    stretch, now = _stretch(engine, 1.0)
    limit = congestion.compute_limit(stretch, engine, PAUSE_S, 1.0, now)
    assert limit == engine.slots


@pytest.mark.parametrize("factor", [1.7, 2.0, 3.0])
def test_limit_keeps_the_steps_within_the_target(engine, factor):
    stretch, now = _stretch(engine, factor)
    limit = congestion.compute_limit(stretch, engine, PAUSE_S, 1.0, now)
    assert congestion.MIN_LIMIT <= limit < engine.slots
    step_s = congestion.compute_pass_s(engine, limit) * factor
    if limit > congestion.MIN_LIMIT:
        assert step_s <= congestion.TARGET_SHARE * PAUSE_S * 1.05


def test_measurement_that_is_old_says_nothing(engine):
    stretch, now = _stretch(engine, 3.0)
    later = now + congestion.STALE_S + 0.1
    limit = congestion.compute_limit(stretch, engine, PAUSE_S, 1.0, later)
    assert limit == engine.slots


def test_route_without_a_bound_on_pauses_is_not_limited(engine):
    stretch, now = _stretch(engine, 3.0)
    assert congestion.compute_limit(stretch, engine, 0.0, 1.0, now) == engine.slots


def test_limit_falls_within_half_a_second_of_a_shift(engine):
    stretch, now = _stretch(engine, 1.0)
    pause_s = congestion.compute_pass_s(engine, 3.0) * 2.5
    began = now
    while now - began < 0.5:
        now += pause_s
        stretch = congestion.note_pause(stretch, engine, pause_s, 3.0, 1.0, now)
    assert congestion.compute_limit(stretch, engine, PAUSE_S, 1.0, now) < 4.0


@pytest.mark.parametrize("pace", [1.3, 2.0, 6.0, 12.0])
def test_slow_rank_is_told_from_uneven_load(engine, pace):
    stretch = congestion.Stretch()
    pause_s = congestion.compute_pass_s(engine, 3.0, pace) * 1.2
    now = 0.0
    for _ in range(60):
        now += pause_s
        stretch = congestion.note_pause(stretch, engine, pause_s, 3.0, pace, now)
    assert stretch.factor == pytest.approx(1.2, rel=0.01)


@pytest.mark.parametrize(("pace", "in_time"), [(1.3, True), (2.0, True), (6.0, False)])
def test_slots_are_used_in_full_where_no_limit_keeps_streams_in_time(
    engine, pace, in_time
):
    stretch = congestion.Stretch(1.2, 0.0)
    limit = congestion.compute_limit(stretch, engine, PAUSE_S, pace, 0.1)
    if in_time:
        step_s = congestion.compute_pass_s(engine, limit, pace) * 1.2
        assert limit >= congestion.MIN_LIMIT
        assert step_s <= congestion.TARGET_SHARE * PAUSE_S * 1.05
    else:
        assert limit == engine.slots


@pytest.mark.parametrize(
    "untold",
    [{"stride": 0}, {"sequence_s": 0.0, "context_s": 0.0}, {"step_s": 0.0}],
)
def test_engine_that_does_not_tell_its_speed_is_used_in_full_or_limited(engine, untold):
    engine = dataclasses.replace(engine, **untold)
    stretch = congestion.note_pause(
        congestion.Stretch(), engine, PAUSE_S, 2.0, 1.0, 0.0
    )
    limit = congestion.compute_limit(stretch, engine, PAUSE_S, 1.0, 0.1)
    assert congestion.MIN_LIMIT <= limit <= engine.slots
