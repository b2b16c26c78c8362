"""Events that a core consumes."""

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
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOpened:
    """A link to a peer is up.

    Attributes:
        hello: What the peer said first.
        session: Identifier of the link, made by the side that listens.
    """

    hello: messages.Hello
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkClosed:
    """The link to a peer is gone.

    Attributes:
        instance: The peer.
        session: Session of the link that closed.
    """

    instance: str
    session: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message came from a peer on a link."""

    instance: str
    session: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReplied:
    """An operation on the store ended."""

    operation_id: int
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's list of instances was read; it lags."""

    instances: tuple[instances.Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """This process is to stop once its work is done."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request passed the checks of its form."""

    request: requests.Request


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The caller of a request is gone."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointAnswerStarted:
    """An endpoint's answer to an attempt began."""

    attempt_id: str
    status: int
    content_type: str
    mode: requests.AnswerMode


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointPayloadsReceived:
    """An endpoint sent a piece of an answer."""

    attempt_id: str
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFinished:
    """An endpoint's answer to an attempt came to its proper end."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFailed:
    """A call to the endpoint broke.

    Attributes:
        attempt_id: The attempt.
        sent: Whether any byte of the call may have reached the endpoint.
        lost: Whether the endpoint's process is gone.
        detail: What happened.
    """

    attempt_id: str
    sent: bool
    lost: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointProbed:
    """The endpoint's own report of its load; None when it did not answer.

    Attributes:
        incarnation: Process of the endpoint; empty when it did not answer.
        running: Requests that run there.
        waiting: Requests that wait there.
        step_time_s: Duration of one step of the engine.
        models: Models that it holds.
    """

    incarnation: str
    running: int
    waiting: int
    step_time_s: float
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """The endpoint published changes of its prompt cache, late and with gaps."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChanged:
    """A change that this process applied for an operator was accepted."""

    copy: copies.Copy


@dataclasses.dataclass(frozen=True, slots=True)
class NotesRequested:
    """An operator asks what happened to a request."""

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
