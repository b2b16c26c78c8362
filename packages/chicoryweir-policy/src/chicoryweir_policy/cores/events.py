"""Events that a core handles."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.membership import instances
from chicoryweir_policy.settings import copies


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer of the core fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """A link to a peer is up.

    Attributes:
        hello: First message of the peer.
        session_id: Identifier of the link, made by the listening side.
    """

    hello: messages.Hello
    session_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed:
    """The link to a peer closed.

    Attributes:
        instance: Instance of the peer.
        session_id: Identifier of the link.
    """

    instance: str
    session_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A peer sent a message on a link."""

    instance: str
    session_id: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReplied:
    """An operation on the store finished or failed."""

    operation_id: int
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's list of instances was read; it may be out of date."""

    instances: tuple[instances.Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """This process must stop accepting work, finish its requests and stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request arrived and passed validation."""

    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The caller of a request closed its connection."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointAnswerStarted:
    """The endpoint started to answer an attempt."""

    attempt_id: str
    status: int
    content_type: str
    mode: requests.AnswerMode


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointPayloadsReceived:
    """The endpoint sent payloads of an answer."""

    attempt_id: str
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFinished:
    """The endpoint completed its answer to an attempt."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFailed:
    """A call to the endpoint failed.

    Attributes:
        attempt_id: Attempt that made the call.
        sent: Whether any byte of the call may have reached the endpoint.
        lost: Whether the endpoint's process no longer runs.
        detail: Description of the failure.
    """

    attempt_id: str
    sent: bool
    lost: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointProbed:
    """The endpoint answered or failed to answer a probe of its load.

    Attributes:
        incarnation: Process of the endpoint; empty if it did not answer.
        running: Number of requests that run on the endpoint.
        waiting: Number of requests in the endpoint's own queue.
        step_time_s: Duration of one step of the engine, in seconds.
        models: Models loaded on the endpoint.
    """

    incarnation: str
    running: int
    waiting: int
    step_time_s: float
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """The endpoint reported changes of its prompt cache.

    Reports may arrive late or be lost.
    """

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChanged:
    """A settings change that this process applied for an operator was accepted."""

    copy: copies.Copy


@dataclasses.dataclass(frozen=True, slots=True)
class NotesRequested:
    """An operator requested the notes on a request."""

    number: int
    request_id: str


Event = (
    Ticked
    | LinkOpened
    | LinkClosed
    | MessageReceived
    | StoreReplied
    | InstancesListed
    | DrainRequested
    | RequestArrived
    | RequestAbandoned
    | EndpointAnswerStarted
    | EndpointPayloadsReceived
    | EndpointFinished
    | EndpointFailed
    | EndpointProbed
    | CacheChanged
    | SettingsChanged
    | NotesRequested
    | group_events.EngineObserved
    | group_events.EngineReplied
)
