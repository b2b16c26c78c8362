"""Tests of hedged requests in an entry's core."""

import dataclasses
import typing

import pytest

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import core
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.membership import instances
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.settings import resolution

AGENTS = ("agent-1", "agent-2", "agent-3")
URGENT = requests.PriorityClass.URGENT
START_S = 100.0
HEDGE_DUE_S = START_S + 0.3
EVENTS = requests.AnswerMode.EVENTS


def _make_core(hedge_after_ms: int | None = 300) -> core.EntryCore:
    config = entry_state.EntryConfig("entry-1", "telavi", "e.1", "127.0.0.1", 1)
    made = core.make_entry_core(config, ())
    effective = dataclasses.replace(
        resolution.get_defaults(URGENT), hedge_after_ms=hedge_after_ms
    )
    made.state.settings.resolve = lambda *_: effective
    for name in AGENTS:
        session = f"s-{name}"
        role = instances.Role.AGENT
        hello = messages.Hello(name, role, "telavi", "desk", f"{name}.1", session, 0)
        made.step(events.LinkOpened(hello, session), START_S)
        report = messages.LoadReport(
            1, 0, 0, 0, 0.0, 4, 100.0, (0.0, 0.0, 0.0), False, True, f"{name}-p", ()
        )
        made.step(events.MessageReceived(name, session, report), START_S)
    return made


def _make_request(**changes: typing.Any) -> requests.Request:
    request = requests.Request(
        request_id="r1",
        workspace="relay",
        service="desk",
        model="",
        priority=URGENT,
        arrived_at=START_S,
        deadline_at=START_S + 2.0,
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
    """Runs a core with one request and records the commands that it returns."""

    def __init__(self, hedge_after_ms: int | None = 300, **changes: typing.Any) -> None:
        self.core = _make_core(hedge_after_ms)
        self.commands_out: list[commands.Command] = []
        self.submitted: list[tuple[str, str]] = []
        self.cancelled: list[str] = []
        request = _make_request(**changes)
        self.step(events.RequestArrived(request), START_S)

    @property
    def active(self) -> active_requests.ActiveRequest | None:
        return self.core.state.requests.find("r1")

    def step(self, event: events.Event, now: float) -> None:
        for command in self.core.step(event, now):
            self.commands_out.append(command)
            match command:
                case commands.Send(to, _, messages.SubmitAttempt(attempt_id=attempt)):
                    self.submitted.append((to, attempt))
                case commands.Send(_, _, messages.CancelAttempt(attempt)):
                    self.cancelled.append(attempt)

    def tick(self, now: float) -> None:
        self.step(events.Ticked(), now)

    def receive(self, index: int, kind: typing.Any, *rest: typing.Any) -> None:
        """Receives a message of the attempt with this index from its agent."""
        agent, attempt_id = self.submitted[index]
        message = kind(attempt_id, *rest)
        received = events.MessageReceived(agent, f"s-{agent}", message)
        self.step(received, HEDGE_DUE_S + 0.1)

    def find_problem(self) -> outcomes.Problem | None:
        for command in self.commands_out:
            if isinstance(command, commands.RejectRequest):
                return command.problem
        return None

    def count_own_attempts(self) -> int:
        views = (self.core.state.loads.get_view(name) for name in AGENTS)
        return sum(view.own_attempts for view in views if view is not None)


def _make_hedged() -> Harness:
    harness = Harness()
    harness.tick(HEDGE_DUE_S)
    assert len(harness.submitted) == 2
    return harness


def test_unanswered_request_gets_one_hedge_on_another_endpoint() -> None:
    harness = Harness()
    harness.tick(HEDGE_DUE_S - 0.01)
    assert len(harness.submitted) == 1
    harness.tick(HEDGE_DUE_S)
    harness.tick(HEDGE_DUE_S + 0.5)
    assert len(harness.submitted) == 2
    assert len({agent for agent, _ in harness.submitted}) == 2
    assert harness.count_own_attempts() == 2


@pytest.mark.parametrize(
    "changes",
    [
        {"priority": requests.PriorityClass.STANDARD},
        {"idempotency": requests.Idempotency.ONCE_PER_ARRIVAL},
        {"hedge_after_ms": None},
    ],
)
def test_ineligible_request_is_not_hedged(
    changes: dict[str, typing.Any],
) -> None:
    harness = Harness(**changes)
    harness.tick(HEDGE_DUE_S)
    assert len(harness.submitted) == 1


@pytest.mark.parametrize("head_received", [False, True])
def test_request_whose_answer_began_is_not_hedged(head_received: bool) -> None:
    harness = Harness()
    if head_received:
        harness.receive(0, messages.AttemptHead, 200, "", EVENTS)
    harness.receive(0, messages.AttemptChunk, 0, (b"a",))
    harness.tick(HEDGE_DUE_S)
    assert len(harness.submitted) == 1


def test_stream_head_without_event_does_not_prevent_hedge() -> None:
    harness = Harness()
    harness.receive(0, messages.AttemptHead, 200, "", EVENTS)
    harness.tick(HEDGE_DUE_S)
    assert len(harness.submitted) == 2


def test_content_suspected_after_submission_is_not_hedged() -> None:
    harness = Harness()
    tracker = harness.core.state.suspicions.tracker
    tracker.record_loss("agent-9", "agent-9-p", frozenset({7}), START_S)
    assert isinstance(tracker.get_verdict(7, HEDGE_DUE_S), records.Suspected)
    harness.tick(HEDGE_DUE_S)
    assert len(harness.submitted) == 1


def test_hedges_stop_when_budget_is_spent() -> None:
    harness = Harness()
    for number in range(2, 31):
        request = _make_request(request_id=f"r{number}", fingerprint=number)
        harness.step(events.RequestArrived(request), START_S)
    harness.tick(HEDGE_DUE_S)
    assert 0 < len(harness.submitted) - 30 <= 7


@pytest.mark.parametrize("first", [0, 1])
def test_first_attempt_to_answer_wins_and_other_is_cancelled(
    first: int,
) -> None:
    harness = _make_hedged()
    for number in (0, 1):
        harness.receive(number, messages.AttemptHead, 200, "", EVENTS)
    assert not harness.cancelled
    harness.receive(first, messages.AttemptChunk, 0, (b"a",))
    assert harness.cancelled == [harness.submitted[1 - first][1]]
    active = harness.active
    assert active is not None
    assert [item.attempt_id for item in active.list_attempts()] == [
        harness.submitted[first][1]
    ]
    assert harness.count_own_attempts() == 1
    harness.receive(1 - first, messages.AttemptChunk, 0, (b"a",))
    assert len(harness.cancelled) == 1
    sent = [
        item for item in harness.commands_out if isinstance(item, commands.SendAnswer)
    ]
    assert [item.payloads for item in sent] == [(b"a",)]


@pytest.mark.parametrize("first", [0, 1])
@pytest.mark.parametrize(
    ("kind", "rest"),
    [
        (messages.AttemptRejected, (messages.RejectReason.QUEUE_FULL, 0)),
        (messages.AttemptFailed, (messages.FailureKind.ENDPOINT_ERROR, "")),
        (messages.AttemptHead, (503, "", EVENTS)),
    ],
)
def test_other_attempt_continues_when_one_fails(
    first: int, kind: typing.Any, rest: tuple[typing.Any, ...]
) -> None:
    harness = _make_hedged()
    harness.receive(first, kind, *rest)
    active = harness.active
    assert active is not None
    assert active.attempt is not None
    assert active.attempt.attempt_id == harness.submitted[1 - first][1]
    assert harness.core.state.requests.is_content_in_flight(7)
    harness.tick(HEDGE_DUE_S + 0.2)
    assert len(harness.submitted) == 2


@pytest.mark.parametrize("first", [0, 1])
def test_other_attempt_continues_when_link_closes(first: int) -> None:
    harness = _make_hedged()
    agent, _ = harness.submitted[first]
    harness.step(events.LinkClosed(agent, f"s-{agent}"), HEDGE_DUE_S)
    active = harness.active
    assert active is not None
    assert active.attempt is not None
    assert active.attempt.instance == harness.submitted[1 - first][0]
    assert active.may_have_run


def test_request_is_not_run_if_both_attempts_are_rejected_at_deadline() -> None:
    harness = _make_hedged()
    harness.tick(START_S + 2.0)
    assert len(harness.cancelled) == 2
    for number in (0, 1):
        expired = messages.RejectReason.EXPIRED
        harness.receive(number, messages.AttemptRejected, expired, 0)
    problem = harness.find_problem()
    assert problem is not None
    assert problem.outcome is outcomes.Outcome.NOT_RUN


def test_outcome_is_unknown_if_hedge_started_before_deadline() -> None:
    harness = _make_hedged()
    harness.receive(1, messages.AttemptStarted)
    harness.tick(START_S + 2.0)
    problem = harness.find_problem()
    assert problem is not None
    assert problem.outcome is outcomes.Outcome.UNKNOWN
    assert len(harness.cancelled) == 2


def test_abandoned_request_cancels_and_removes_both_attempts() -> None:
    harness = _make_hedged()
    harness.step(events.RequestAbandoned("r1"), HEDGE_DUE_S)
    assert len(harness.cancelled) == 2
    assert harness.active is None
    assert harness.count_own_attempts() == 0
    assert not harness.core.state.requests.is_content_in_flight(7)
    for agent in AGENTS:
        assert not harness.core.state.requests.list_by_session(f"s-{agent}")
