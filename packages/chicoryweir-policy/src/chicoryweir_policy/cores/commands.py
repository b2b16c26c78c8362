"""Commands that a core emits; the daemon carries them out in order."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.groups import events as group_events


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Sends a message on the link to a peer; dropped when `session` is over."""

    instance: str
    session: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class MaintainLinks:
    """The peers to hold links to, as (instance, ip, port), in order."""

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
    """Sends pieces of the answer to a caller."""

    request_id: str
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndAnswer:
    """Ends the answer to a caller; all of it was sent."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RejectRequest:
    """Answers a caller with a problem before any of an answer was sent."""

    request_id: str
    problem: outcomes.Problem


@dataclasses.dataclass(frozen=True, slots=True)
class AbortAnswer:
    """Breaks the caller's connection, so that a cut can't pass for an end."""

    request_id: str
    problem: outcomes.Problem


@dataclasses.dataclass(frozen=True, slots=True)
class CallEndpoint:
    """Sends an attempt to the endpoint of this agent."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Ends a call to the endpoint that nobody waits for."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Logs a numbered event.

    Attributes:
        number: Number in the catalogue of events.
        request_id: Request it is about, or an empty string.
        peer: Instance it is about, or an empty string.
        detail: What happened.
    """

    number: int
    request_id: str
    peer: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportNotes:
    """Gives an operator the notes of one instance on a request."""

    number: int
    instance: str
    notes: tuple[messages.RequestNote, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """The work of this process is done; it ends."""


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
    | Record
    | ReportNotes
    | Stop
    | group_events.ObserveEngine
    | group_events.PrepareEngine
    | group_events.ReleaseEngine
    | group_events.JoinEngine
)
