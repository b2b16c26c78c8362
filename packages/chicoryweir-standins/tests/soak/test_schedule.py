"""Tests of the faults generated from a seed."""

from chicoryweir_standins.soak import schedule

DAEMONS = ["entry-1", "agent-1"]
ENDPOINTS = ["engine-1"]


def test_same_seed_generates_the_same_faults() -> None:
    generated = [schedule.draw_faults(7, 60.0, DAEMONS, ENDPOINTS) for _ in range(2)]
    assert generated[0] == generated[1]
    assert generated[0] != schedule.draw_faults(8, 60.0, DAEMONS, ENDPOINTS)


def test_long_run_has_every_kind_of_fault_within_its_duration() -> None:
    faults = schedule.draw_faults(1, 600.0, DAEMONS, ENDPOINTS)
    assert {fault.kind for fault in faults} == set(schedule.Kind)
    assert all(0 < fault.at_s < 600.0 for fault in faults)


def test_only_daemons_are_drained() -> None:
    faults = schedule.draw_faults(2, 600.0, DAEMONS, ENDPOINTS)
    drained = {f.target for f in faults if f.kind is schedule.Kind.DRAIN}
    assert drained <= set(DAEMONS)
