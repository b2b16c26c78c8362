"""Tests of the barrier between the ranks of a group."""

from chicoryweir_standins.group import barrier


def create_barrier(*ranks: int) -> barrier.Barrier:
    created = barrier.Barrier(idle_step_s=0.1, arrival_timeout_s=0.5)
    for rank in ranks:
        created.join(rank)
    return created


def arrive(
    group_barrier: barrier.Barrier, rank: int, version: int = 1, busy: bool = True
) -> None:
    arrival = barrier.Arrival(group_barrier.step, version, 10.0 + rank, busy)
    group_barrier.arrive(rank, arrival, now=0.0)


def test_step_takes_the_time_of_the_slowest_rank() -> None:
    group_barrier = create_barrier(0, 1)
    arrive(group_barrier, 0)
    assert group_barrier.decide(0.0) == barrier.Wait(0.5)
    arrive(group_barrier, 1)
    assert group_barrier.decide(0.0) == barrier.Go(1, 11.0, {0: 10.0, 1: 11.0})
    assert group_barrier.step == 2


def test_idle_group_steps_slowly() -> None:
    group_barrier = create_barrier(0)
    arrive(group_barrier, 0, busy=False)
    assert group_barrier.decide(0.0) == barrier.Wait(0.1)
    assert isinstance(group_barrier.decide(0.1), barrier.Go)


def test_late_rank_is_evicted_but_a_holding_rank_is_not() -> None:
    group_barrier = create_barrier(0, 1, 2)
    arrive(group_barrier, 0)
    group_barrier.hold(1)
    assert group_barrier.decide(0.5) == barrier.Evict((2,))
    group_barrier.leave(2)
    assert group_barrier.decide(9.0) == barrier.Wait(None)


def test_different_maps_in_one_step_are_recorded_as_a_violation() -> None:
    group_barrier = create_barrier(0, 1)
    arrive(group_barrier, 0, version=1)
    arrive(group_barrier, 1, version=2)
    group_barrier.decide(0.0)
    assert group_barrier.violations == [{"step": 1, "map_versions": {0: 1, 1: 2}}]
