"""Events and commands of the cores that coordinate expert map changes."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import store
from chicoryweir_policy.groups import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has advanced; due commands are emitted."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A group message was received from a peer."""

    instance: str
    message: messages.GroupMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLinked:
    """A link to an entry was established."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReplied:
    """An operation on the store completed."""

    operation_id: int
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class MapProposed:
    """A better map was found for a group; None withdraws it."""

    group: str
    replicas: messages.Replicas | None


@dataclasses.dataclass(frozen=True, slots=True)
class RankObserved:
    """State of one rank as reported by its engine.

    Attributes:
        rank: Number of the rank.
        map_version: Version of its map; 0 while it has none.
        prepared: Change that it is prepared for, or an empty string.
        hold_at: Step that it doesn't enter; 0 when not prepared.
    """

    rank: int
    map_version: int
    prepared: str
    hold_at: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineObserved:
    """An engine's report on its ranks of the group.

    Attributes:
        incarnation: Identifier of the engine's process; empty if it didn't answer.
        step: Step that its ranks are in.
        ranks: States of its ranks.
        step_s: Duration of a step, in seconds.
        expert_load: Tokens per expert since the last report.
    """

    incarnation: str
    step: int
    ranks: tuple[RankObserved, ...]
    step_s: float
    expert_load: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReplied:
    """An order to the engine completed or timed out.

    Attributes:
        call_id: Identifier of the order.
        accepted: Whether the engine accepted it; None without a reply.
        step: Step that its ranks were in after it accepted the order.
    """

    call_id: int
    accepted: bool | None
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnlinked:
    """The link to an entry was closed."""

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
    """Sends a group message to a peer without a delivery guarantee."""

    instance: str
    message: messages.GroupMessage


@dataclasses.dataclass(frozen=True, slots=True)
class RunOperation:
    """Runs a store operation; `StoreReplied` carries the same `operation_id`."""

    operation_id: int
    operation: store.Operation


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveEngine:
    """Reads the engine's report on its group."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareEngine:
    """Orders the engine to prepare its ranks for a change.

    Attributes:
        call_id: Identifier that the reply carries.
        incarnation: Engine process that the order is for.
        fence: Fencing token of the order.
        change_id: Identifier of the change.
        map_version: Version of the new map.
        hold_at: Step that no rank enters until it is released.
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
    """Orders the engine to release its ranks from a change, applied or not."""

    call_id: int
    incarnation: str
    fence: int
    change_id: str
    commit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class JoinEngine:
    """Sends the current map to a restarted engine, which then takes part in steps.

    Earlier orders, in particular a `PrepareEngine`, apply from its first step.
    """

    call_id: int
    incarnation: str
    fence: int
    map_version: int
    replicas: messages.Replicas


@dataclasses.dataclass(frozen=True, slots=True)
class MapViolation:
    """Reports different maps within one step; the group's changes stop.

    Attributes:
        group: Name of the group.
        step: Step in which the maps differed.
        versions: Map versions seen in that step.
        peer: Instance that reported the difference.
    """

    group: str
    step: int
    versions: tuple[int, ...]
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecorded:
    """Logs a phase of a change that was written to the table.

    Attributes:
        group: Name of the group.
        change_id: Identifier of the change.
        phase: New phase of the group's row.
        detail: Reason, as text.
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
