"""Tests of eras that rise, fall back or aren't stated."""

from chicoryweir_policy import storeeras


def test_first_era_is_no_restore():
    tracker = storeeras.EraTracker()
    assert tracker.observe(4) is storeeras.Observation.CURRENT
    assert tracker.current == 4


def test_higher_era_is_a_restore_once():
    tracker = storeeras.EraTracker()
    tracker.observe(4)
    assert tracker.observe(5) is storeeras.Observation.RESTORED
    assert tracker.observe(5) is storeeras.Observation.CURRENT
    assert tracker.observe(None) is storeeras.Observation.CURRENT


def test_late_answer_of_an_earlier_era_is_outdated():
    tracker = storeeras.EraTracker()
    tracker.observe(4)
    tracker.observe(6)
    assert tracker.observe(5) is storeeras.Observation.OUTDATED
    assert tracker.current == 6


# Guards against a store that states its era only once it was restored.
def test_first_era_after_answers_without_one_is_a_restore():
    tracker = storeeras.EraTracker()
    assert tracker.observe(None) is storeeras.Observation.CURRENT
    assert tracker.observe(1) is storeeras.Observation.RESTORED
