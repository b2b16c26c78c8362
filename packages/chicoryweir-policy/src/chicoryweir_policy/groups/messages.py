"""Messages between the holder of a group's lease and the agents of its ranks."""

from __future__ import annotations

import dataclasses
import enum

Replicas = tuple[tuple[int, ...], ...]
"""Ranks that hold a replica of each expert, by expert."""


class ChangePhase(enum.Enum):
    """How far a change of the map has come at one agent.

    Attributes:
        NONE: The agent knows of no change.
        PREPARED: Its ranks will not enter the step of the change until released.
        COMMITTED: Its ranks use the new map from that step on.
        ABORTED: Its ranks go on with the old map.
    """

    NONE = "none"
    PREPARED = "prepared"
    COMMITTED = "committed"
    ABORTED = "aborted"


@dataclasses.dataclass(frozen=True, slots=True)
class QueryRanks:
    """Asks an agent for the status of its ranks.

    Attributes:
        group: The group.
        fence: Fencing number of the sender's lease.
    """

    group: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareMap:
    """Asks an agent to prepare its ranks for a change of the map.

    Attributes:
        group: The group.
        fence: Fencing number of the sender's lease.
        change_id: Identifier of the change.
        map_version: Version of the new map; grows with each change of the group.
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
    """Tells an agent the decision on a change, as the table's row holds it.

    Attributes:
        group: The group.
        fence: Fencing number of the sender's lease.
        change_id: Identifier of the change.
        map_version: Version of the map that the change would bring in.
        commit: Whether the new map holds from the step of the change on.
    """

    group: str
    fence: int
    change_id: str
    map_version: int
    commit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RankStatus:
    """State of an agent's ranks; the reply to each message above.

    Attributes:
        group: The group.
        ranks: Ranks behind this agent.
        session: Identifier of the agent's process.
        sequence: Number of this status within the session.
        incarnation: Process of the engine; empty when it does not answer.
        joined: Whether the ranks have a map and take part in steps.
        step: Step that the ranks are in.
        map_version: Version of the map in that step; 0 when not joined.
        change_id: Last change that the agent knows of, or an empty string.
        change_version: Version of the map that this change would bring in.
        phase: How far that change has come.
        highest_fence: Highest fencing number that the agent has seen.
        step_s: Duration of a step, in seconds; 0 when not known.
        expert_load: Tokens for each expert since the last status.
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
