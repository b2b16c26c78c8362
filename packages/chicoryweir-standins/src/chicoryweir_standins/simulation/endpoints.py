"""A fake endpoint that records its runs and computes answers from the request."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

PAYLOADS_PER_ANSWER = 3
POISON = b"poison"


def compute_answer(body: bytes) -> tuple[bytes, ...]:
    """Returns the payloads of the answer to a body."""
    return tuple(b"%d:%b" % (index, body) for index in range(PAYLOADS_PER_ANSWER))


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One start of a request at an endpoint."""

    endpoint: str
    incarnation: str
    request_id: str
    key: str
    body: bytes


@dataclasses.dataclass(slots=True)
class _Call:
    command: commands.CallEndpoint
    payloads_sent: int


@dataclasses.dataclass(slots=True)
class FakeEndpoint:
    """A fake endpoint of one agent.

    Attributes:
        name: Instance name of the agent.
        incarnation: Identifier of the endpoint's process; empty while it is down.
        runs: All runs, in order.
        crash_count: Number of crashed processes.
    """

    name: str
    incarnation: str = ""
    runs: list[Run] = dataclasses.field(default_factory=list)
    crash_count: int = 0
    _calls: dict[str, _Call] = dataclasses.field(default_factory=dict)
    _boot_count: int = 0

    def boot(self) -> None:
        """Starts a new process."""
        self._boot_count += 1
        self._calls.clear()
        self.incarnation = f"{self.name}-p{self._boot_count}"

    def answer_probe(self) -> events.EndpointProbed:
        """Returns the event that reports the result of a probe."""
        return events.EndpointProbed(self.incarnation, len(self._calls), 0, 0.02, ())

    def start_call(self, command: commands.CallEndpoint) -> list[events.Event]:
        """Starts a call; a poisonous body crashes the process."""
        if not self.incarnation:
            failed = events.EndpointFailed(command.attempt_id, False, True, "refused")
            return [failed]
        self.runs.append(
            Run(
                self.name,
                self.incarnation,
                command.request_id,
                command.idempotency_key,
                command.body,
            )
        )
        self._calls[command.attempt_id] = _Call(command, command.resume_from)
        if command.body.startswith(POISON):
            return self.crash()
        return [
            events.EndpointAnswerStarted(
                command.attempt_id, 200, "text/event-stream", command.mode
            )
        ]

    def crash(self) -> list[events.Event]:
        """Crashes the process, which breaks every call."""
        broken: list[events.Event] = [
            events.EndpointFailed(attempt_id, True, True, "reset")
            for attempt_id in self._calls
        ]
        self._calls.clear()
        if self.incarnation:
            self.crash_count += 1
        self.incarnation = ""
        return broken

    def cancel(self, attempt_id: str) -> None:
        """Cancels a call."""
        self._calls.pop(attempt_id, None)

    def drop_calls(self) -> None:
        """Drops all calls after the agent died; their runs stay recorded."""
        self._calls.clear()

    def list_calls(self) -> list[str]:
        """Returns the ids of the running attempts."""
        return list(self._calls)

    def advance_call(self, attempt_id: str) -> list[events.Event]:
        """Sends the next payload of an answer, or ends it."""
        call = self._calls[attempt_id]
        payloads = compute_answer(call.command.body)
        if call.payloads_sent < len(payloads):
            call.payloads_sent += 1
            return [
                events.EndpointPayloadsReceived(
                    attempt_id, (payloads[call.payloads_sent - 1],)
                )
            ]
        del self._calls[attempt_id]
        return [events.EndpointFinished(attempt_id)]


def get_answer_mode(streamed: bool) -> requests.AnswerMode:
    """Returns the answer mode of a streamed or complete answer."""
    return requests.AnswerMode.EVENTS if streamed else requests.AnswerMode.BODY
