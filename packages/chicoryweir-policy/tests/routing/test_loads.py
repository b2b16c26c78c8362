"""Tests of the account of load."""

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.routing import loads
from chicoryweir_policy.routing import views

STANDARD = requests.PriorityClass.STANDARD
URGENT = requests.PriorityClass.URGENT
BULK = requests.PriorityClass.BULK


@hypothesis.given(strategies.data())
def test_each_own_attempt_is_counted_once(data: strategies.DataObject) -> None:
    book = loads.LoadTracker("telavi", {})
    book.add_endpoint("agent-1", "telavi", "model-desk")
    book.record_link_state("agent-1", True, 0.0)
    unfinished: dict[str, int] = {}
    sent = reported = 0
    on_report: set[str] = set()
    for _ in range(data.draw(strategies.integers(0, 30))):
        step = data.draw(strategies.sampled_from(["send", "finish", "report"]))
        if step == "send":
            sent += 1
            unfinished[str(sent)] = sent
            book.record_sent("agent-1", str(sent), sent, 10.0, STANDARD)
        elif step == "finish" and unfinished:
            attempt = data.draw(strategies.sampled_from(sorted(unfinished)))
            del unfinished[attempt]
            book.record_finished("agent-1", attempt)
        elif step == "report":
            reported = data.draw(strategies.integers(reported, sent))
            on_report = {a for a, number in unfinished.items() if number <= reported}
            book.record_report("agent-1", _report(reported, 10.0 * len(on_report)), 1.0)
    view = book.get_view("agent-1")
    assert view is not None
    assert view.estimate_tokens(1.0) == pytest.approx(10.0 * len(unfinished))


def _report(acknowledged: int, tokens: float) -> messages.LoadReport:
    return messages.LoadReport(
        sequence=1,
        acknowledged=acknowledged,
        running=0,
        waiting=0,
        unfinished_tokens=tokens,
        slots=16,
        tokens_per_s=1000.0,
        wait_s=(0.0, 0.0, 0.0),
        leaving=False,
        serving=True,
        endpoint_incarnation="one",
        models=(),
    )


def test_new_link_starts_a_new_account(make_book) -> None:
    book = make_book(1)
    book.record_sent("agent-0", "a", 1, 50.0, STANDARD)
    book.record_link_state("agent-0", False, 1.0)
    book.record_link_state("agent-0", True, 2.0)
    book.record_finished("agent-0", "a")
    view = book.get_view("agent-0")
    assert sum(view.own_tokens) == 0.0
    assert view.own_attempts == 0


def test_own_bulk_work_does_not_delay_urgent_work(make_book) -> None:
    book = make_book(1)
    for number in range(1, 40):
        book.record_sent("agent-0", str(number), number, 100.0, BULK)
    view = book.get_view("agent-0")
    assert view.predict_wait(BULK, 0.0, 0.0) > 3.0
    assert view.predict_wait(URGENT, 0.0, 0.0) <= views.OCCUPANCY_COST_S


def test_aging_report_loses_weight_towards_the_mean(make_book, make_report) -> None:
    book = make_book(2)
    book.record_report("agent-0", make_report(wait_s=2.0), 0.0)
    mean_s = book.compute_mean_wait("model-desk", STANDARD)
    waits = [
        book.get_view("agent-0").predict_wait(STANDARD, mean_s, t) for t in (0, 1, 9)
    ]
    assert mean_s == pytest.approx(1.0)
    assert waits[0] == pytest.approx(2.0)
    assert waits[0] > waits[1] > waits[2] > 1.0


def test_mean_wait_follows_members_and_links(make_book, make_report) -> None:
    book = make_book(3)
    book.record_report("agent-0", make_report(wait_s=3.0), 0.0)
    book.record_link_state("agent-1", False, 1.0)
    assert book.compute_mean_wait("model-desk", STANDARD) == pytest.approx(1.5)
    book.remove_endpoint("agent-0")
    assert book.compute_mean_wait("model-desk", STANDARD) == pytest.approx(0.0)
    assert [m.instance for m in book.list_members("model-desk")] == [
        "agent-1",
        "agent-2",
    ]


def test_endpoint_without_fresh_reports_takes_no_work(make_book) -> None:
    view = make_book(1).get_view("agent-0")
    assert view.is_available("kakheti-1", views.MAX_REPORT_AGE_S)
    assert not view.is_available("kakheti-1", views.MAX_REPORT_AGE_S + 0.1)
    assert not view.is_available("other", 0.0)


def test_leaving_ejected_or_disconnected_endpoint_takes_no_work(make_book) -> None:
    book = make_book(3)
    book.record_leaving("agent-0")
    book.record_ejection("agent-1", until=2.0)
    book.record_link_state("agent-2", False, 0.0)
    assert not any(book.get_view(f"agent-{n}").is_available("", 1.0) for n in range(3))
    assert book.get_view("agent-1").is_available("", 2.0)


def test_leaving_stays_known_until_the_endpoint_is_back(make_book, make_report) -> None:
    book = make_book(1)
    book.record_leaving("agent-0")
    book.record_report("agent-0", make_report(), 0.5)
    assert book.get_view("agent-0").leaving
    book.record_link_state("agent-0", True, 1.0)
    assert not book.get_view("agent-0").leaving
