"""Messages between the holder of a group's lease and the agents of its ranks."""

from __future__ import annotations

import dataclasses
import enum

Replicas = tuple[tuple[int, ...], ...]
"""For each expert, the ranks that hold a replica of it."""


class ChangePhase(enum.Enum):
    """Progress of a map change at one agent.

    Attributes:
        NONE: The engine has not been prepared for a change.
        PREPARED: Its ranks don't enter the step of the change until released.
        COMMITTED: Its ranks use the new map from that step.
        ABORTED: Its ranks keep the old map.
    """

    NONE = "none"
    PREPARED = "prepared"
    COMMITTED = "committed"
    ABORTED = "aborted"


@dataclasses.dataclass(frozen=True, slots=True)
class QueryRanks:
    """Requests the status of an agent's ranks.

    Attributes:
        group: Name of the group.
        fence: Fencing token of the sender's lease.
    """

    group: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareMap:
    """Requests that an agent prepares its ranks for a map change.

    Attributes:
        group: Name of the group.
        fence: Fencing token of the sender's lease.
        change_id: Identifier of the change.
        map_version: Version of the new map; increases with each change of the group.
        hold_at: Step that no prepared rank enters until it is released.
        replicas: The new map.
    """

    group: str
    fence: int
    change_id: str
    map_version: int
    hold_at: int
    replicas: Replicas


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseMap:
    """Sends an agent the decision on a change that is recorded in the table.

    Attributes:
        group: Name of the group.
        fence: Fencing token of the sender's lease.
        change_id: Identifier of the change.
        map_version: Version of the new map.
        commit: Whether the new map applies from the step of the change.
    """

    group: str
    fence: int
    change_id: str
    map_version: int
    commit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RankStatus:
    """Status of an agent's ranks; sent in reply to the other messages and unasked.

    Attributes:
        group: Name of the group.
        ranks: Ranks that this agent serves.
        session: Identifier of the agent's process.
        sequence: Sequence number within the session.
        incarnation: Identifier of the engine's process; empty if it doesn't answer.
        joined: Whether the ranks have a map and take part in steps.
        step: Step that the ranks are in.
        map_version: Version of the map in that step; 0 when not joined.
        change_id: Latest change that the agent knows of, or an empty string.
        change_version: Version of that change's new map.
        phase: Progress of that change.
        highest_fence: Highest fencing token that the agent has seen.
        step_s: Duration of a step, in seconds; 0 when unknown.
        expert_load: Tokens per expert since the last status.
    """

    group: str
    ranks: tuple[int, ...]
    session: str
    sequence: int
    incarnation: str
    joined: bool
    step: int
    map_version: int
    change_id: str
    change_version: int
    phase: ChangePhase
    highest_fence: int
    step_s: float
    expert_load: tuple[int, ...]


GroupMessage = QueryRanks | PrepareMap | ReleaseMap | RankStatus
