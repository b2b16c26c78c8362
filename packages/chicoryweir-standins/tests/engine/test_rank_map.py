"""Tests of changes of a rank's expert map."""

import pytest

from chicoryweir_standins.engine import rank_map

OLD = ((0,), (1,))
NEW = ((1,), (0,))
CHANGE = rank_map.MapChange("c1", 2, 10, NEW)


@pytest.fixture
def joined() -> rank_map.RankMap:
    joined = rank_map.RankMap()
    joined.join(1, OLD)
    joined.enter(5)
    return joined


def test_prepared_rank_holds_until_it_is_released(joined: rank_map.RankMap) -> None:
    joined.prepare(CHANGE)
    assert not joined.must_hold(9)
    assert joined.must_hold(10)
    joined.release("c1", commit=True)
    assert not joined.must_hold(10)


@pytest.mark.parametrize(("commit", "version"), [(True, 2), (False, 1)])
def test_decision_takes_effect_at_the_agreed_step(
    joined: rank_map.RankMap, commit: bool, version: int
) -> None:
    joined.prepare(CHANGE)
    joined.release("c1", commit)
    joined.enter(9)
    assert joined.map_version == 1
    joined.enter(10)
    assert joined.map_version == version
    assert joined.prepared is None


def test_prepare_after_abort_is_rejected(joined: rank_map.RankMap) -> None:
    joined.release("c1", commit=False)
    with pytest.raises(rank_map.RejectedError):
        joined.prepare(CHANGE)


def test_prepare_is_rejected_once_the_step_is_reached(joined: rank_map.RankMap) -> None:
    joined.enter(10)
    with pytest.raises(rank_map.RejectedError):
        joined.prepare(CHANGE)


@pytest.mark.parametrize(("commit", "version"), [(True, 2), (False, 1)])
def test_restarted_rank_joins_with_the_pending_change(
    commit: bool, version: int
) -> None:
    restarted = rank_map.RankMap()
    restarted.prepare(CHANGE)
    restarted.join(1, OLD)
    restarted.enter(9)
    assert restarted.map_version == 1
    assert restarted.must_hold(10)
    restarted.release("c1", commit)
    restarted.enter(10)
    assert restarted.map_version == version


def test_evicted_rank_applies_a_committed_change_after_rejoining(
    joined: rank_map.RankMap,
) -> None:
    joined.prepare(CHANGE)
    joined.release("c1", commit=True)
    joined.leave()
    joined.prepare(CHANGE)
    joined.join(1, OLD)
    joined.enter(10)
    assert joined.map_version == 2
