"""Commands that a core returns; the daemon executes them in order."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.groups import events as group_events


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Sends a message on a link to a peer; drops it if the session has ended."""

    instance: str
    session_id: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class MaintainLinks:
    """Sets the peers to maintain links to, as (instance, ip, port), in order."""

    peers: tuple[tuple[str, str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunOperation:
    """Runs an operation on the store; the reply carries `operation_id`."""

    operation_id: int
    operation: store.Operation


@dataclasses.dataclass(frozen=True, slots=True)
class BeginAnswer:
    """Starts the answer to a caller."""

    request_id: str
    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendAnswer:
    """Sends payloads of the answer to a caller."""

    request_id: str
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndAnswer:
    """Completes the answer to a caller."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RejectRequest:
    """Answers a caller with a problem document, if no answer has been started."""

    request_id: str
    problem: outcomes.Problem


@dataclasses.dataclass(frozen=True, slots=True)
class AbortAnswer:
    """Breaks the caller's connection in the middle of an answer.

    The caller can thus detect that the answer is incomplete.
    """

    request_id: str
    problem: outcomes.Problem


@dataclasses.dataclass(frozen=True, slots=True)
class CallEndpoint:
    """Sends an attempt to the endpoint of this agent.

    Attributes:
        session_id: Session that the answer is relayed on.
    """

    attempt_id: str
    request_id: str
    method: str
    path: str
    content_type: str
    idempotency_key: str
    body: bytes
    mode: requests.AnswerMode
    priority: requests.PriorityClass
    resume_from: int
    session_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancels a call to the endpoint."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Writes a numbered event to the event log.

    Attributes:
        number: Number in the catalogue of events.
        request_id: Request concerned, or an empty string.
        peer: Instance concerned, or an empty string.
        detail: Description of the event.
    """

    number: int
    request_id: str
    peer: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportNotes:
    """Returns one instance's notes on a request to the operator who requested them."""

    number: int
    instance: str
    notes: tuple[messages.RequestNote, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stops this process."""


Command = (
    Send
    | MaintainLinks
    | RunOperation
    | BeginAnswer
    | SendAnswer
    | EndAnswer
    | RejectRequest
    | AbortAnswer
    | CallEndpoint
    | CancelCall
    | LogEvent
    | ReportNotes
    | Stop
    | group_events.ObserveEngine
    | group_events.PrepareEngine
    | group_events.ReleaseEngine
    | group_events.JoinEngine
)
