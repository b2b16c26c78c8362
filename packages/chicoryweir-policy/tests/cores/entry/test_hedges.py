"""Tests of hedges in an entry's core."""

import dataclasses
import typing

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.entry import core
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.membership import instances
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.settings import resolution

AGENTS = ("agent-1", "agent-2", "agent-3")
URGENT = requests.PriorityClass.URGENT
START = 100.0
DUE = START + 0.3
EVENTS = requests.AnswerMode.EVENTS


def _make_core(hedge_after_ms: int | None = 300) -> core.EntryCore:
    facts = entry_state.EntryFacts("entry-1", "telavi", "e.1", "127.0.0.1", 1)
    made = core.make_entry_core(facts, ())
    effective = dataclasses.replace(
        resolution.default_values(URGENT), hedge_after_ms=hedge_after_ms
    )
    made.state.settings.resolve = lambda *_: effective
    for name in AGENTS:
        session = f"s-{name}"
        role = instances.Role.AGENT
        hello = messages.Hello(name, role, "telavi", "desk", f"{name}.1", session, 0)
        made.step(events.LinkOpened(hello, session), START)
        report = messages.LoadReport(
            1, 0, 0, 0, 0.0, 4, 100.0, (0.0, 0.0, 0.0), False, True, f"{name}-p", ()
        )
        made.step(events.MessageReceived(name, session, report), START)
    return made


def _make_request(**changes: typing.Any) -> requests.Request:
    request = requests.Request(
        request_id="r1",
        workspace="relay",
        service="desk",
        model="",
        priority=URGENT,
        arrived_at=START,
        deadline_at=START + 2.0,
        idempotency=requests.Idempotency.IDEMPOTENT,
        idempotency_key="",
        mode=EVENTS,
        method="POST",
        path="/",
        content_type="",
        body=b"",
        fingerprint=7,
        prefix=0,
        prefix_blocks=(),
        cost_tokens=10.0,
    )
    return dataclasses.replace(request, **changes)


class Harness:
    """A core with one request, and what it sent to agents."""

    def __init__(self, hedge_after_ms: int | None = 300, **changes: typing.Any) -> None:
        self.core = _make_core(hedge_after_ms)
        self.told: list[commands.Command] = []
        self.submitted: list[tuple[str, str]] = []
        self.cancelled: list[str] = []
        request = _make_request(**changes)
        self.step(events.RequestArrived(request), START)

    @property
    def live(self) -> lives.Live | None:
        return self.core.state.requests.find("r1")

    def step(self, event: events.Event, now: float) -> None:
        for command in self.core.step(event, now):
            self.told.append(command)
            match command:
                case commands.Send(to, _, messages.SubmitAttempt(attempt_id=attempt)):
                    self.submitted.append((to, attempt))
                case commands.Send(_, _, messages.CancelAttempt(attempt)):
                    self.cancelled.append(attempt)

    def tick(self, now: float) -> None:
        self.step(events.Ticked(), now)

    def hear(self, number: int, kind: typing.Any, *rest: typing.Any) -> None:
        """Lets the agent of the attempt with this number (from 0) send a message."""
        agent, attempt_id = self.submitted[number]
        message = kind(attempt_id, *rest)
        received = events.MessageReceived(agent, f"s-{agent}", message)
        self.step(received, DUE + 0.1)

    def refused(self) -> outcomes.Problem | None:
        for command in self.told:
            if isinstance(command, commands.RefuseRequest):
                return command.problem
        return None

    def count_loads(self) -> int:
        views = (self.core.state.loads.view(name) for name in AGENTS)
        return sum(view.own_attempts for view in views if view is not None)


def _hedge() -> Harness:
    harness = Harness()
    harness.tick(DUE)
    assert len(harness.submitted) == 2
    return harness


def test_silent_request_gets_one_hedge_on_another_endpoint() -> None:
    harness = Harness()
    harness.tick(DUE - 0.01)
    assert len(harness.submitted) == 1
    harness.tick(DUE)
    harness.tick(DUE + 0.5)
    assert len(harness.submitted) == 2
    assert len({agent for agent, _ in harness.submitted}) == 2
    assert harness.count_loads() == 2


@pytest.mark.parametrize(
    "changes",
    [
        {"priority": requests.PriorityClass.STANDARD},
        {"idempotency": requests.Idempotency.ONCE_PER_ARRIVAL},
        {"hedge_after_ms": None},
    ],
)
def test_request_that_may_not_be_hedged_has_one_attempt(
    changes: dict[str, typing.Any],
) -> None:
    harness = Harness(**changes)
    harness.tick(DUE)
    assert len(harness.submitted) == 1


@pytest.mark.parametrize("headed", [False, True])
def test_request_whose_answer_began_is_not_hedged(headed: bool) -> None:
    harness = Harness()
    if headed:
        harness.hear(0, messages.AttemptHead, 200, "", EVENTS)
    harness.hear(0, messages.AttemptChunk, 0, (b"a",))
    harness.tick(DUE)
    assert len(harness.submitted) == 1


def test_head_of_a_stream_without_an_event_does_not_hold_off_the_hedge() -> None:
    harness = Harness()
    harness.hear(0, messages.AttemptHead, 200, "", EVENTS)
    harness.tick(DUE)
    assert len(harness.submitted) == 2


def test_content_that_came_under_suspicion_is_not_hedged() -> None:
    harness = Harness()
    book = harness.core.state.suspicions.book
    book.record_loss("agent-9", "agent-9-p", frozenset({7}), START)
    assert isinstance(book.get_verdict(7, DUE), records.Suspected)
    harness.tick(DUE)
    assert len(harness.submitted) == 1


def test_hedges_stop_when_their_budget_is_spent() -> None:
    harness = Harness()
    for number in range(2, 31):
        request = _make_request(request_id=f"r{number}", fingerprint=number)
        harness.step(events.RequestArrived(request), START)
    harness.tick(DUE)
    assert 0 < len(harness.submitted) - 30 <= 7


@pytest.mark.parametrize("first", [0, 1])
def test_attempt_that_answers_first_stays_and_the_other_is_cancelled(
    first: int,
) -> None:
    harness = _hedge()
    for number in (0, 1):
        harness.hear(number, messages.AttemptHead, 200, "", EVENTS)
    assert not harness.cancelled
    harness.hear(first, messages.AttemptChunk, 0, (b"a",))
    assert harness.cancelled == [harness.submitted[1 - first][1]]
    live = harness.live
    assert live is not None
    assert [each.attempt_id for each in live.list_dispatches()] == [
        harness.submitted[first][1]
    ]
    assert harness.count_loads() == 1
    harness.hear(1 - first, messages.AttemptChunk, 0, (b"a",))
    assert len(harness.cancelled) == 1
    sent = [each for each in harness.told if isinstance(each, commands.SendAnswer)]
    assert [each.payloads for each in sent] == [(b"a",)]


@pytest.mark.parametrize("first", [0, 1])
@pytest.mark.parametrize(
    ("kind", "rest"),
    [
        (messages.AttemptRejected, (messages.RejectReason.QUEUE_FULL, 0)),
        (messages.AttemptFailed, (messages.FailureKind.ENDPOINT_ERROR, "")),
        (messages.AttemptHead, (503, "", EVENTS)),
    ],
)
def test_other_attempt_goes_on_when_one_ends_badly(
    first: int, kind: typing.Any, rest: tuple[typing.Any, ...]
) -> None:
    harness = _hedge()
    harness.hear(first, kind, *rest)
    live = harness.live
    assert live is not None
    assert live.dispatch is not None
    assert live.dispatch.attempt_id == harness.submitted[1 - first][1]
    assert harness.core.state.requests.is_content_sent(7)
    harness.tick(DUE + 0.2)
    assert len(harness.submitted) == 2


@pytest.mark.parametrize("first", [0, 1])
def test_other_attempt_goes_on_when_a_link_closes(first: int) -> None:
    harness = _hedge()
    agent, _ = harness.submitted[first]
    harness.step(events.LinkClosed(agent, f"s-{agent}"), DUE)
    live = harness.live
    assert live is not None
    assert live.dispatch is not None
    assert live.dispatch.instance == harness.submitted[1 - first][0]
    assert live.may_have_run


def test_request_of_which_both_attempts_were_refused_at_its_deadline_is_not_run() -> (
    None
):
    harness = _hedge()
    harness.tick(START + 2.0)
    assert len(harness.cancelled) == 2
    for number in (0, 1):
        expired = messages.RejectReason.EXPIRED
        harness.hear(number, messages.AttemptRejected, expired, 0)
    problem = harness.refused()
    assert problem is not None
    assert problem.outcome is outcomes.Outcome.NOT_RUN


def test_request_whose_hedge_started_before_its_deadline_may_have_run() -> None:
    harness = _hedge()
    harness.hear(1, messages.AttemptStarted)
    harness.tick(START + 2.0)
    problem = harness.refused()
    assert problem is not None
    assert problem.outcome is outcomes.Outcome.UNKNOWN
    assert len(harness.cancelled) == 2


def test_abandoned_request_leaves_neither_attempt_behind() -> None:
    harness = _hedge()
    harness.step(events.RequestAbandoned("r1"), DUE)
    assert len(harness.cancelled) == 2
    assert harness.live is None
    assert harness.count_loads() == 0
    assert not harness.core.state.requests.is_content_sent(7)
    for agent in AGENTS:
        assert not harness.core.state.requests.list_session(f"s-{agent}")
