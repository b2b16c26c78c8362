"""Tests of the book of suspected requests."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from chicoryweir_policy.quarantine import records
from chicoryweir_policy.quarantine import suspicion

POISON = 666


def make_book(*losses):
    book = suspicion.SuspicionTracker()
    for instance, fingerprints in losses:
        book.record_loss(instance, "1", frozenset(fingerprints), 0.0)
    return book


def test_all_that_ran_on_a_lost_endpoint_are_suspects() -> None:
    book = make_book(("x", {POISON, 1}))
    for fingerprint in (POISON, 1):
        verdict = book.get_verdict(fingerprint, 0.0)
        assert isinstance(verdict, records.Suspected)
        assert verdict.lost_on == {"x"}
    assert book.get_verdict(2, 0.0) == records.Unsuspected()


def test_second_loss_convicts_and_those_that_shared_an_endpoint_may_run() -> None:
    book = make_book(("x", {POISON, 1, 2}), ("y", {POISON, 3}))
    verdict = book.get_verdict(POISON, 10.0)
    assert isinstance(verdict, records.Quarantined)
    assert [loss.instance for loss in verdict.losses] == ["x", "y"]
    assert all(
        isinstance(book.get_verdict(f, 10.0), records.Suspected) for f in (1, 2, 3)
    )
    for fingerprint in (1, 2, 3):
        book.record_finished(fingerprint, 11.0)
        assert book.get_verdict(fingerprint, 11.0) == records.Unsuspected()


def test_request_lost_beside_one_convicted_by_chance_stays_a_suspect() -> None:
    unlucky = 7
    book = make_book(("x", {unlucky}), ("y", {unlucky, POISON}))
    assert isinstance(book.get_verdict(unlucky, 10.0), records.Quarantined)
    assert isinstance(book.get_verdict(POISON, 10.0), records.Suspected)


def test_further_losses_of_the_convict_free_those_that_shared_one() -> None:
    book = make_book(("x", {POISON, 1}), ("y", {POISON}), ("z", {POISON}))
    assert book.get_verdict(1, 10.0) == records.Unsuspected()


def test_same_incarnation_reported_twice_counts_once() -> None:
    book = make_book(("x", {POISON}), ("x", {POISON}))
    assert isinstance(book.get_verdict(POISON, 0.0), records.Suspected)


def test_run_to_the_end_clears_a_suspect_and_even_a_convict() -> None:
    book = make_book(("x", {1}))
    book.record_finished(1, 1.0)
    assert book.get_verdict(1, 1.0) == records.Unsuspected()
    book = make_book(("x", {1}), ("y", {1}))
    book.record_finished(1, 1.0)
    assert book.get_verdict(1, 1.0) == records.Unsuspected()


def test_failure_of_many_instances_at_once_makes_no_suspects() -> None:
    book = make_book(*((name, {POISON if name == "z" else 1}) for name in "wxyz"))
    assert book.get_verdict(POISON, 0.0) == records.Unsuspected()
    assert book.list_lost_instances(POISON) == {"z"}
    assert isinstance(book.get_verdict(1, 0.0), records.Quarantined)
    book.record_loss("v", "1", frozenset({POISON}), 10.0)
    assert isinstance(book.get_verdict(POISON, 10.0), records.Quarantined)


def test_losses_of_few_instances_or_far_apart_are_no_common_failure() -> None:
    book = suspicion.SuspicionTracker()
    for index in range(8):
        book.record_loss("x", str(index), frozenset({100 + index}), 0.0)
        book.record_loss(f"i-{index}", "1", frozenset({200 + index}), 20.0 + 4 * index)
    assert isinstance(book.get_verdict(100, 60.0), records.Suspected)
    assert isinstance(book.get_verdict(207, 60.0), records.Suspected)


def test_request_that_ran_here_shortly_before_is_no_suspect() -> None:
    book = suspicion.SuspicionTracker()
    book.record_finished(1, 0.0)
    book.record_loss("x", "1", frozenset({POISON, 1}), 10.0)
    book.record_loss("y", "1", frozenset({POISON, 1}), 20.0)
    assert book.get_verdict(1, 20.0) == records.Unsuspected()
    assert isinstance(book.get_verdict(POISON, 20.0), records.Quarantined)
    book.record_loss("z", "1", frozenset({1}), suspicion.RECENT_FINISH_S + 1.0)
    assert isinstance(
        book.get_verdict(1, suspicion.RECENT_FINISH_S + 1.0), records.Suspected
    )


def test_innocent_that_shared_endpoints_with_two_crashing_requests_is_retried() -> None:
    book = make_book(("x", {POISON, 1}), ("y", {POISON}), ("z", {7, 1}), ("w", {7}))
    assert isinstance(book.get_verdict(POISON, 0.0), records.Quarantined)
    assert isinstance(book.get_verdict(7, 0.0), records.Quarantined)
    assert isinstance(book.get_verdict(1, 0.0), records.Suspected)


def test_requests_that_cannot_be_told_apart_cost_no_third_endpoint() -> None:
    book = make_book(("x", {POISON, 1}), ("y", {POISON, 1}))
    assert isinstance(book.get_verdict(POISON, 0.0), records.Quarantined)
    assert isinstance(book.get_verdict(1, 0.0), records.Quarantined)


def test_innocent_convicted_by_chance_frees_no_suspect_of_its_other_loss() -> None:
    innocent, other_poison = 1, 667
    book = make_book(
        ("x", {POISON}), ("y", {POISON, innocent}), ("z", {innocent, other_poison})
    )
    assert isinstance(book.get_verdict(POISON, 0.0), records.Quarantined)
    assert isinstance(book.get_verdict(other_poison, 0.0), records.Suspected)


def test_evidence_expires_also_when_peers_send_it_again() -> None:
    book = make_book(("x", {POISON}))
    news = book.export_update(suspicion.RETENTION_S - 1.0)
    other = suspicion.SuspicionTracker()
    assert other.merge(news, 50.0)
    assert other.get_verdict(POISON, 50.5) != records.Unsuspected()
    assert other.get_verdict(POISON, 51.5) == records.Unsuspected()
    assert book.get_verdict(POISON, suspicion.RETENTION_S) == records.Unsuspected()


def test_memory_stays_bounded_and_keeps_what_convicts() -> None:
    book = make_book(("x", {POISON}), ("y", {POISON}))
    unknown = frozenset({records.LossId("q", "1")})
    for index in range(1000, 2000):
        ran = frozenset(range(index * 1000, index * 1000 + 400))
        book.record_loss(f"i-{index}", "1", ran, 1.0)
        clearances = tuple(
            records.Clearance(index * 10 + offset, unknown) for offset in range(10)
        )
        book.merge(records.News(0, clearances=clearances), 1.0)
    news = book.export_update(1.0)
    assert len(news.losses) == suspicion.MAX_LOSSES
    assert len(news.clearances) <= suspicion.MAX_CLEARANCES
    assert isinstance(book.get_verdict(POISON, 1.0), records.Quarantined)
    assert book.export_update(1.0, news.cursor) == records.News(news.cursor)


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
NEWS = strategies.builds(
    records.News,
    strategies.just(1),
    strategies.lists(LOSSES, max_size=2).map(tuple),
    strategies.lists(CLEARANCES, max_size=2).map(tuple),
)


@hypothesis.given(strategies.lists(NEWS, max_size=6), strategies.data())
def test_news_in_any_order_and_doubled_gives_the_same_verdicts(news, data) -> None:
    again = data.draw(strategies.lists(strategies.sampled_from(news))) if news else []
    shuffled = data.draw(strategies.permutations(news + again))
    books = [suspicion.SuspicionTracker(), suspicion.SuspicionTracker()]
    for book, messages in zip(books, (news, shuffled), strict=True):
        for message in messages:
            book.merge(message, 0.0)
    relayed = suspicion.SuspicionTracker()
    relayed.merge(books[1].export_update(0.0), 0.0)
    for fingerprint in range(6):
        verdict = books[0].get_verdict(fingerprint, 0.0)
        assert verdict == books[1].get_verdict(fingerprint, 0.0)
        assert verdict == relayed.get_verdict(fingerprint, 0.0)
