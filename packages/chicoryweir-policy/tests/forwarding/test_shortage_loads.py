"""Tests of the least-cost way with 38 to 48 entries, each load over 10 seeds."""

import dataclasses
import functools
import math

import groupload
import pytest
import shortageload

from chicoryweir_policy.forwarding import leastcost

SEEDS = range(10)
LOADS = shortageload.build_loads()
# Targets of the users for the day with both bursts.
URGENT_ON_TIME = 0.95
PATIENT_ANSWERED = 0.90
# Nobody is served less than this, relative to all.
FLOOR = 0.5
BURSTS = [name for name in LOADS if "burst" in name]


@functools.cache
def _run(name, way):
    scenario = LOADS[name]
    if way is not None:
        scenario = dataclasses.replace(scenario, shedding=lambda _: way())
    return [groupload.Simulation(scenario, seed).run() for seed in SEEDS]


def _list_calls(name, way=leastcost.LeastCost):
    return [call for result in _run(name, way) for call in result.calls]


def _measure(name, **facts):
    return shortageload.measure(
        call
        for call in _list_calls(name)
        if all(getattr(call, key) == value for key, value in facts.items())
    )


def _group(loads):
    """Runs all tests of a load in one worker, which simulates it once."""
    return [pytest.param(name, marks=pytest.mark.xdist_group(name)) for name in loads]


# Guards against urgent requests that wait behind a burst of patient ones.
@pytest.mark.parametrize("name", _group(BURSTS))
def test_urgent_class_is_on_time_in_a_burst(name):
    assert _measure(name, kind=shortageload.URGENT).on_time >= URGENT_ON_TIME


# Guards against keeping the urgent class on time by rejecting the patient one.
@pytest.mark.parametrize("name", _group(BURSTS))
def test_patient_class_is_answered_in_a_burst(name):
    assert _measure(name, kind=shortageload.PATIENT).answered >= PATIENT_ANSWERED


@pytest.mark.parametrize("name", _group([*BURSTS, "hot workspace"]))
def test_less_urgent_class_is_not_served_better(name):
    classes = [_measure(name, kind=kind) for kind in range(3)]
    assert classes == sorted(classes, key=lambda c: -c.answered)
    assert classes == sorted(classes, key=lambda c: -c.on_time)


# Guards against a class, data centre, workspace or size that the others starve.
@pytest.mark.parametrize("name", _group(LOADS))
def test_each_group_of_requests_has_its_floor(name):
    calls = sorted(_list_calls(name), key=lambda c: 5 * c.events + c.prompt_tokens / 30)
    tenth = len(calls) // 10
    groups = {"largest": calls[-tenth:], "large": calls[-3 * tenth : -tenth]}
    for key in ("kind", "data_centre", "workspace"):
        for call in calls:
            groups.setdefault((key, getattr(call, key)), []).append(call)
    floor = FLOOR * shortageload.measure(calls).answered
    for group, members in groups.items():
        assert shortageload.measure(members).answered >= floor, group


# Guards against late work that displaces on-time work where all classes are alike.
@pytest.mark.parametrize("name", _group(["wave"]))
def test_late_work_is_halved_where_classes_are_alike(name):
    default = shortageload.measure(_list_calls(name, None))
    new = _measure(name)
    assert new.late <= default.late / 2
    assert new.on_time >= default.on_time


@pytest.mark.parametrize("name", _group(["hot workspace"]))
def test_hot_workspace_is_not_served_better_than_others(name):
    others = shortageload.measure(c for c in _list_calls(name) if c.workspace != "hot")
    hot = _measure(name, workspace="hot")
    assert others.on_time >= hot.on_time
    assert others.answered >= hot.answered


@pytest.mark.parametrize("name", _group(["large among small"]))
def test_small_requests_come_first(name):
    assert _measure(name, kind=0).on_time > _measure(name, kind=1).on_time


# Guards against callers that learn to ignore the retry-after time.
@pytest.mark.parametrize("name", _group(["early returns"]))
def test_early_return_gains_nothing(name):
    early, other = (_measure(name, early=is_early) for is_early in (True, False))
    # Twice the standard error of the difference.
    error = 2 * math.sqrt(0.25 / early.calls + 0.25 / other.calls)
    assert early.on_time <= other.on_time + error
    assert early.answered <= other.answered


# Guards against rejected callers that return together, or not when they were told to.
@pytest.mark.parametrize("name", _group(["both bursts at once", "wave"]))
def test_retry_after_times_are_spread_within_a_third_of_the_time_left(name):
    told = [
        pair
        for result in _run(name, leastcost.LeastCost)
        for pair in result.retry_after_s
    ]
    # Endpoints whose own queue is full decline with a time of their own.
    assert all(told_s <= left_s / 3 + 1e-6 for told_s, left_s in told if told_s != 0.3)
    seconds = sorted(told_s for told_s, _ in told)
    assert seconds[9 * len(seconds) // 10] > 1.5 * seconds[len(seconds) // 10]
