"""Tests of the suspicion tracker."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion

POISON = 666


def make_tracker(*losses):
    tracker = suspicion.SuspicionTracker()
    for instance, fingerprints in losses:
        tracker.record_loss(instance, "1", frozenset(fingerprints), 0.0)
    return tracker


def test_all_requests_running_on_a_lost_endpoint_are_suspects() -> None:
    tracker = make_tracker(("x", {POISON, 1}))
    for fingerprint in (POISON, 1):
        verdict = tracker.get_verdict(fingerprint, 0.0)
        assert isinstance(verdict, records.Suspected)
        assert verdict.lost_on == {"x"}
    assert tracker.get_verdict(2, 0.0) == records.Unsuspected()


def test_second_loss_quarantines_and_co_runners_stay_suspects() -> None:
    tracker = make_tracker(("x", {POISON, 1, 2}), ("y", {POISON, 3}))
    verdict = tracker.get_verdict(POISON, 10.0)
    assert isinstance(verdict, records.Quarantined)
    assert [loss.instance for loss in verdict.losses] == ["x", "y"]
    assert all(
        isinstance(tracker.get_verdict(f, 10.0), records.Suspected) for f in (1, 2, 3)
    )
    for fingerprint in (1, 2, 3):
        tracker.record_finished(fingerprint, 11.0)
        assert tracker.get_verdict(fingerprint, 11.0) == records.Unsuspected()


def test_co_runner_of_a_coincidentally_quarantined_request_stays_a_suspect() -> None:
    unlucky = 7
    tracker = make_tracker(("x", {unlucky}), ("y", {unlucky, POISON}))
    assert isinstance(tracker.get_verdict(unlucky, 10.0), records.Quarantined)
    assert isinstance(tracker.get_verdict(POISON, 10.0), records.Suspected)


def test_further_losses_of_the_quarantined_request_clear_its_co_runners() -> None:
    tracker = make_tracker(("x", {POISON, 1}), ("y", {POISON}), ("z", {POISON}))
    assert tracker.get_verdict(1, 10.0) == records.Unsuspected()


def test_same_incarnation_reported_twice_counts_once() -> None:
    tracker = make_tracker(("x", {POISON}), ("x", {POISON}))
    assert isinstance(tracker.get_verdict(POISON, 0.0), records.Suspected)


def test_finished_run_clears_suspected_and_quarantined_requests() -> None:
    tracker = make_tracker(("x", {1}))
    tracker.record_finished(1, 1.0)
    assert tracker.get_verdict(1, 1.0) == records.Unsuspected()
    tracker = make_tracker(("x", {1}), ("y", {1}))
    tracker.record_finished(1, 1.0)
    assert tracker.get_verdict(1, 1.0) == records.Unsuspected()


def test_common_failure_of_many_instances_makes_no_suspects() -> None:
    tracker = make_tracker(*((name, {POISON if name == "z" else 1}) for name in "wxyz"))
    assert tracker.get_verdict(POISON, 0.0) == records.Unsuspected()
    assert tracker.list_lost_instances(POISON) == {"z"}
    assert isinstance(tracker.get_verdict(1, 0.0), records.Quarantined)
    tracker.record_loss("v", "1", frozenset({POISON}), 10.0)
    assert isinstance(tracker.get_verdict(POISON, 10.0), records.Quarantined)


def test_few_instances_or_losses_far_apart_are_no_common_failure() -> None:
    tracker = suspicion.SuspicionTracker()
    for index in range(8):
        tracker.record_loss("x", str(index), frozenset({100 + index}), 0.0)
        tracker.record_loss(
            f"i-{index}", "1", frozenset({200 + index}), 20.0 + 4 * index
        )
    assert isinstance(tracker.get_verdict(100, 60.0), records.Suspected)
    assert isinstance(tracker.get_verdict(207, 60.0), records.Suspected)


def test_request_that_recently_finished_here_is_no_suspect() -> None:
    tracker = suspicion.SuspicionTracker()
    tracker.record_finished(1, 0.0)
    tracker.record_loss("x", "1", frozenset({POISON, 1}), 10.0)
    tracker.record_loss("y", "1", frozenset({POISON, 1}), 20.0)
    assert tracker.get_verdict(1, 20.0) == records.Unsuspected()
    assert isinstance(tracker.get_verdict(POISON, 20.0), records.Quarantined)
    tracker.record_loss("z", "1", frozenset({1}), suspicion.RECENT_FINISH_S + 1.0)
    assert isinstance(
        tracker.get_verdict(1, suspicion.RECENT_FINISH_S + 1.0), records.Suspected
    )


def test_co_runner_of_two_quarantined_requests_stays_a_suspect() -> None:
    tracker = make_tracker(
        ("x", {POISON, 1}), ("y", {POISON}), ("z", {7, 1}), ("w", {7})
    )
    assert isinstance(tracker.get_verdict(POISON, 0.0), records.Quarantined)
    assert isinstance(tracker.get_verdict(7, 0.0), records.Quarantined)
    assert isinstance(tracker.get_verdict(1, 0.0), records.Suspected)


def test_indistinguishable_requests_are_all_quarantined() -> None:
    tracker = make_tracker(("x", {POISON, 1}), ("y", {POISON, 1}))
    assert isinstance(tracker.get_verdict(POISON, 0.0), records.Quarantined)
    assert isinstance(tracker.get_verdict(1, 0.0), records.Quarantined)


def test_coincidentally_quarantined_request_clears_no_other_suspect() -> None:
    innocent, other_poison = 1, 667
    tracker = make_tracker(
        ("x", {POISON}), ("y", {POISON, innocent}), ("z", {innocent, other_poison})
    )
    assert isinstance(tracker.get_verdict(POISON, 0.0), records.Quarantined)
    assert isinstance(tracker.get_verdict(other_poison, 0.0), records.Suspected)


def test_losses_expire_even_when_peers_resend_them() -> None:
    tracker = make_tracker(("x", {POISON}))
    update = tracker.export_update(suspicion.RETENTION_S - 1.0)
    other = suspicion.SuspicionTracker()
    assert other.merge(update, 50.0)
    assert other.get_verdict(POISON, 50.5) != records.Unsuspected()
    assert other.get_verdict(POISON, 51.5) == records.Unsuspected()
    assert tracker.get_verdict(POISON, suspicion.RETENTION_S) == records.Unsuspected()


def test_memory_is_bounded_and_keeps_losses_of_quarantined_requests() -> None:
    tracker = make_tracker(("x", {POISON}), ("y", {POISON}))
    unknown = frozenset({records.LossId("q", "1")})
    for index in range(1000, 2000):
        ran = frozenset(range(index * 1000, index * 1000 + 400))
        tracker.record_loss(f"i-{index}", "1", ran, 1.0)
        clearances = tuple(
            records.Clearance(index * 10 + offset, unknown) for offset in range(10)
        )
        tracker.merge(records.News(0, clearances=clearances), 1.0)
    update = tracker.export_update(1.0)
    assert len(update.losses) == suspicion.MAX_LOSSES
    assert len(update.clearances) <= suspicion.MAX_CLEARANCES
    assert isinstance(tracker.get_verdict(POISON, 1.0), records.Quarantined)
    assert tracker.export_update(1.0, update.cursor) == records.News(update.cursor)


LOSSES = strategies.builds(
    records.Loss,
    strategies.builds(
        records.LossId,
        strategies.sampled_from("wxyz"),
        strategies.sampled_from(["1", "2"]),
    ),
    strategies.frozensets(strategies.integers(0, 5), min_size=1),
)
CLEARANCES = strategies.builds(
    records.Clearance,
    strategies.integers(0, 5),
    strategies.frozensets(LOSSES.map(lambda loss: loss.loss_id), max_size=3),
)
UPDATES = strategies.builds(
    records.News,
    strategies.just(1),
    strategies.lists(LOSSES, max_size=2).map(tuple),
    strategies.lists(CLEARANCES, max_size=2).map(tuple),
)


@hypothesis.given(strategies.lists(UPDATES, max_size=6), strategies.data())
def test_verdicts_do_not_depend_on_order_or_duplication_of_updates(
    updates, data
) -> None:
    duplicates = (
        data.draw(strategies.lists(strategies.sampled_from(updates))) if updates else []
    )
    shuffled = data.draw(strategies.permutations(updates + duplicates))
    trackers = [suspicion.SuspicionTracker(), suspicion.SuspicionTracker()]
    for tracker, messages in zip(trackers, (updates, shuffled), strict=True):
        for message in messages:
            tracker.merge(message, 0.0)
    relayed = suspicion.SuspicionTracker()
    relayed.merge(trackers[1].export_update(0.0), 0.0)
    for fingerprint in range(6):
        verdict = trackers[0].get_verdict(fingerprint, 0.0)
        assert verdict == trackers[1].get_verdict(fingerprint, 0.0)
        assert verdict == relayed.get_verdict(fingerprint, 0.0)
