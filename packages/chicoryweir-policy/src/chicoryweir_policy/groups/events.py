"""Events and commands of the cores that change expert maps."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import store
from chicoryweir_policy.groups import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of a group came from a peer."""

    instance: str
    message: messages.GroupMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLinked:
    """A link to an entry is up."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReplied:
    """An operation on the store ended."""

    operation_id: int
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class MapProposed:
    """A better map was found for a group; None withdraws it."""

    group: str
    replicas: messages.Replicas | None


@dataclasses.dataclass(frozen=True, slots=True)
class RankObserved:
    """State of one rank as its engine reports it.

    Attributes:
        rank: The rank.
        map_version: Version of its map; 0 when it has none yet.
        prepared: Change that it is prepared for, or an empty string.
        hold_at: Step that it does not enter; 0 when not prepared.
    """

    rank: int
    map_version: int
    prepared: str
    hold_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineObserved:
    """The engine's report on its group; empty incarnation when it did not answer.

    Attributes:
        incarnation: Process of the engine.
        step: Step that its ranks are in.
        ranks: Its ranks.
        step_s: Duration of a step, in seconds.
        expert_load: Tokens for each expert since the last report.
    """

    incarnation: str
    step: int
    ranks: tuple[RankObserved, ...]
    step_s: float
    expert_load: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReplied:
    """An order to the engine ended.

    Attributes:
        call_id: The order.
        accepted: Whether the engine took it; None when no reply came.
        step: Step that its ranks were in after it took the order.
    """

    call_id: int
    accepted: bool | None
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnlinked:
    """The link to an entry is gone."""

    instance: str


CoordinatorEvent = Ticked | MessageReceived | StoreReplied | MapProposed
MemberEvent = (
    Ticked
    | MessageReceived
    | PeerLinked
    | PeerUnlinked
    | StoreReplied
    | EngineObserved
    | EngineReplied
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Sends a message of a group to a peer; it may be lost."""

    instance: str
    message: messages.GroupMessage


@dataclasses.dataclass(frozen=True, slots=True)
class RunOperation:
    """Runs an operation on the store; the reply carries `operation_id`."""

    operation_id: int
    operation: store.Operation


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveEngine:
    """Reads the engine's report on its group."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareEngine:
    """Orders the engine to prepare its ranks for a change.

    Attributes:
        call_id: Number that the reply carries.
        incarnation: Process of the engine that the order is for.
        fence: Fencing number of the order.
        change_id: The change.
        map_version: Version of the new map.
        hold_at: Step that no rank enters until released.
        replicas: The new map.
    """

    call_id: int
    incarnation: str
    fence: int
    change_id: str
    map_version: int
    hold_at: int
    replicas: messages.Replicas


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseEngine:
    """Orders the engine to release its ranks from a change."""

    call_id: int
    incarnation: str
    fence: int
    change_id: str
    commit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JoinEngine:
    """Gives a restarted engine the map in force; it then takes part in steps.

    What was ordered before, a `PrepareEngine` above all, holds from its first step.
    """

    call_id: int
    incarnation: str
    fence: int
    map_version: int
    replicas: messages.Replicas


@dataclasses.dataclass(frozen=True, slots=True)
class MapViolation:
    """Two maps in one step of a group; changes of the group stop.

    Attributes:
        group: The group.
        step: The step.
        versions: Versions of the maps seen in it.
        peer: Instance at which it was seen.
    """

    group: str
    step: int
    versions: tuple[int, ...]
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecorded:
    """A step of a change, for the log of events.

    Attributes:
        group: The group.
        change_id: The change.
        phase: Phase that the table's row has reached.
        detail: Reason, in words.
    """

    group: str
    change_id: str
    phase: str
    detail: str


CoordinatorCommand = SendMessage | RunOperation | MapViolation | ChangeRecorded
MemberCommand = (
    SendMessage
    | RunOperation
    | ObserveEngine
    | PrepareEngine
    | ReleaseEngine
    | JoinEngine
    | MapViolation
)
