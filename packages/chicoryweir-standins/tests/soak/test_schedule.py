"""Tests of the faults drawn from a seed."""

from chicoryweir_standins.soak import schedule

DAEMONS = ["entry-1", "agent-1"]
ENDPOINTS = ["engine-1"]


def test_same_seed_draws_the_same_faults() -> None:
    drawn = [schedule.draw_faults(7, 60.0, DAEMONS, ENDPOINTS) for _ in range(2)]
    assert drawn[0] == drawn[1]
    assert drawn[0] != schedule.draw_faults(8, 60.0, DAEMONS, ENDPOINTS)


def test_long_run_meets_every_kind_of_fault_in_time() -> None:
    faults = schedule.draw_faults(1, 600.0, DAEMONS, ENDPOINTS)
    assert {fault.kind for fault in faults} == set(schedule.Kind)
    assert all(0 < fault.at_s < 600.0 for fault in faults)


def test_only_daemons_are_drained() -> None:
    faults = schedule.draw_faults(2, 600.0, DAEMONS, ENDPOINTS)
    drained = {f.target for f in faults if f.kind is schedule.Kind.DRAIN}
    assert drained <= set(DAEMONS)
