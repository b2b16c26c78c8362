"""Table row that records which expert map a group uses."""

from __future__ import annotations

import dataclasses
import enum
import typing

from chicoryweir_policy import store
from chicoryweir_policy.groups import messages


class Phase(enum.Enum):
    """Phase of a group's latest change.

    Attributes:
        SETTLED: All ranks use the current map and none is held.
        PREPARING: Ranks are being prepared; the change is undecided.
        COMMITTED: The next map applies from step `hold_at`.
        ABORTED: The current map remains.
    """

    SETTLED = "settled"
    PREPARING = "preparing"
    COMMITTED = "committed"
    ABORTED = "aborted"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupRow:
    """Current map of a group and its latest change.

    Attributes:
        fence: Fencing token of the lease under which the row was written.
        phase: Phase of the latest change.
        map_version: Version of the current map; once committed, the map before
            step `hold_at`.
        replicas: The current map.
        change_id: Identifier of the latest change, or an empty string.
        next_version: Version of that change's new map.
        next_replicas: The new map; empty once settled.
        hold_at: Step at which the change applies.
    """

    fence: int
    phase: Phase
    map_version: int
    replicas: messages.Replicas
    change_id: str
    next_version: int
    next_replicas: messages.Replicas
    hold_at: int


def build_key(group: str) -> str:
    """Returns the key of a group's row."""
    return f"group/{group}"


def create_row(fence: int, replicas: messages.Replicas) -> GroupRow:
    """Returns the initial row of a group."""
    return GroupRow(fence, Phase.SETTLED, 1, replicas, "", 1, (), 0)


def encode_row(row: GroupRow) -> store.Json:
    """Returns the JSON value of a row."""
    return {
        "fence": row.fence,
        "phase": row.phase.value,
        "map_version": row.map_version,
        "replicas": [list(ranks) for ranks in row.replicas],
        "change_id": row.change_id,
        "next_version": row.next_version,
        "next_replicas": [list(ranks) for ranks in row.next_replicas],
        "hold_at": row.hold_at,
    }


def decode_row(value: store.Json) -> GroupRow:
    """Returns the row decoded from its JSON value."""
    fields = typing.cast(dict[str, typing.Any], value)
    return GroupRow(
        fence=fields["fence"],
        phase=Phase(fields["phase"]),
        map_version=fields["map_version"],
        replicas=tuple(tuple(ranks) for ranks in fields["replicas"]),
        change_id=fields["change_id"],
        next_version=fields["next_version"],
        next_replicas=tuple(tuple(ranks) for ranks in fields["next_replicas"]),
        hold_at=fields["hold_at"],
    )


def get_decision(row: GroupRow, change_id: str) -> messages.ChangePhase:
    """Returns the decision on a change that a rank was prepared for.

    A change that the row no longer names was settled before the next one began, and
    must have been aborted: after a commit no rank would still be held at its step.

    Args:
        row: The row, read after the rank was prepared.
        change_id: Identifier of the change.

    Returns:
        `PREPARED` while undecided, else the decision.
    """
    if row.change_id != change_id:
        return messages.ChangePhase.ABORTED
    match row.phase:
        case Phase.PREPARING:
            return messages.ChangePhase.PREPARED
        case Phase.COMMITTED:
            return messages.ChangePhase.COMMITTED
        case Phase.ABORTED:
            return messages.ChangePhase.ABORTED
        case Phase.SETTLED:
            if row.map_version == row.next_version:
                return messages.ChangePhase.COMMITTED
            return messages.ChangePhase.ABORTED
        case _ as never:
            typing.assert_never(never)
