"""Tests of load tracking."""

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
    tracker = loads.LoadTracker("telavi", {})
    tracker.add_endpoint("agent-1", "telavi", "model-desk")
    tracker.record_link_state("agent-1", True, 0.0)
    unfinished: dict[str, int] = {}
    sent = reported = 0
    in_report: set[str] = set()
    for _ in range(data.draw(strategies.integers(0, 30))):
        step = data.draw(strategies.sampled_from(["send", "finish", "report"]))
        if step == "send":
            sent += 1
            unfinished[str(sent)] = sent
            tracker.record_sent("agent-1", str(sent), sent, 10.0, STANDARD)
        elif step == "finish" and unfinished:
            attempt = data.draw(strategies.sampled_from(sorted(unfinished)))
            del unfinished[attempt]
            tracker.record_finished("agent-1", attempt)
        elif step == "report":
            reported = data.draw(strategies.integers(reported, sent))
            in_report = {
                attempt_id
                for attempt_id, number in unfinished.items()
                if number <= reported
            }
            tracker.record_report(
                "agent-1", _make_report(reported, 10.0 * len(in_report)), 1.0
            )
    view = tracker.get_view("agent-1")
    assert view is not None
    assert view.estimate_unfinished_tokens(1.0) == pytest.approx(10.0 * len(unfinished))


def _make_report(acknowledged: int, tokens: float) -> messages.LoadReport:
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


def test_new_link_resets_own_load(make_tracker) -> None:
    tracker = make_tracker(1)
    tracker.record_sent("agent-0", "a", 1, 50.0, STANDARD)
    tracker.record_link_state("agent-0", False, 1.0)
    tracker.record_link_state("agent-0", True, 2.0)
    tracker.record_finished("agent-0", "a")
    view = tracker.get_view("agent-0")
    assert sum(view.own_tokens) == 0.0
    assert view.own_attempts == 0


def test_own_bulk_attempts_do_not_delay_urgent_requests(make_tracker) -> None:
    tracker = make_tracker(1)
    for number in range(1, 40):
        tracker.record_sent("agent-0", str(number), number, 100.0, BULK)
    view = tracker.get_view("agent-0")
    assert view.predict_wait(BULK, 0.0, 0.0) > 3.0
    assert view.predict_wait(URGENT, 0.0, 0.0) <= views.OCCUPANCY_COST_S


def test_reported_wait_decays_towards_the_mean(make_tracker, make_report) -> None:
    tracker = make_tracker(2)
    tracker.record_report("agent-0", make_report(wait_s=2.0), 0.0)
    mean_s = tracker.compute_mean_wait("model-desk", STANDARD)
    waits = [
        tracker.get_view("agent-0").predict_wait(STANDARD, mean_s, t) for t in (0, 1, 9)
    ]
    assert mean_s == pytest.approx(1.0)
    assert waits[0] == pytest.approx(2.0)
    assert waits[0] > waits[1] > waits[2] > 1.0


def test_mean_wait_excludes_removed_and_disconnected_endpoints(
    make_tracker, make_report
) -> None:
    tracker = make_tracker(3)
    tracker.record_report("agent-0", make_report(wait_s=3.0), 0.0)
    tracker.record_link_state("agent-1", False, 1.0)
    assert tracker.compute_mean_wait("model-desk", STANDARD) == pytest.approx(1.5)
    tracker.remove_endpoint("agent-0")
    assert tracker.compute_mean_wait("model-desk", STANDARD) == pytest.approx(0.0)
    assert [member.instance for member in tracker.list_members("model-desk")] == [
        "agent-1",
        "agent-2",
    ]


def test_endpoint_without_recent_reports_is_unavailable(make_tracker) -> None:
    view = make_tracker(1).get_view("agent-0")
    assert view.is_available("kakheti-1", views.MAX_REPORT_AGE_S)
    assert not view.is_available("kakheti-1", views.MAX_REPORT_AGE_S + 0.1)
    assert not view.is_available("other", 0.0)


def test_leaving_ejected_or_disconnected_endpoint_is_unavailable(make_tracker) -> None:
    tracker = make_tracker(3)
    tracker.record_leaving("agent-0")
    tracker.record_ejection("agent-1", until=2.0)
    tracker.record_link_state("agent-2", False, 0.0)
    assert not any(
        tracker.get_view(f"agent-{n}").is_available("", 1.0) for n in range(3)
    )
    assert tracker.get_view("agent-1").is_available("", 2.0)


def test_leaving_state_persists_until_the_next_connection(
    make_tracker, make_report
) -> None:
    tracker = make_tracker(1)
    tracker.record_leaving("agent-0")
    tracker.record_report("agent-0", make_report(), 0.5)
    assert tracker.get_view("agent-0").leaving
    tracker.record_link_state("agent-0", True, 1.0)
    assert not tracker.get_view("agent-0").leaving
