"""Latest map change that an agent knows of, updated from rows and messages."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.groups import messages
from chicoryweir_policy.groups import rows


@dataclasses.dataclass(frozen=True, slots=True)
class KnownChange:
    """The latest change that an agent knows of.

    Attributes:
        change_id: Identifier of the change, or an empty string.
        version: Version of the new map; 0 while unknown.
        hold_at: Step that prepared ranks don't enter until they are released.
        replicas: The new map; empty while unknown.
        phase: Progress of the change; `NONE` until the engine is prepared.
        refused: Whether the engine refused to prepare.
    """

    change_id: str
    version: int
    hold_at: int
    replicas: messages.Replicas
    phase: messages.ChangePhase
    refused: bool = False

    def is_undecided(self) -> bool:
        """Returns whether the decision on the change is still unknown."""
        return self.phase in (messages.ChangePhase.NONE, messages.ChangePhase.PREPARED)


NO_CHANGE = KnownChange("", 0, 0, (), messages.ChangePhase.ABORTED)


def adopt_row(change: KnownChange, row: rows.GroupRow) -> KnownChange:
    """Merges the group's row into the known change.

    Args:
        change: The known change.
        row: The row; its content is correct but may be outdated.

    Returns:
        The newer of the two changes.
    """
    if change.version > row.next_version:
        return change
    is_same_change = change.change_id == row.change_id
    phase = rows.get_decision(row, row.change_id)
    if is_same_change and not change.is_undecided():
        phase = change.phase
    elif phase is messages.ChangePhase.PREPARED and not is_same_change:
        phase = messages.ChangePhase.NONE
    elif phase is messages.ChangePhase.PREPARED:
        phase = change.phase
    return KnownChange(
        row.change_id,
        row.next_version,
        row.hold_at,
        row.next_replicas,
        phase,
        is_same_change and change.refused,
    )


def adopt_prepare(change: KnownChange, message: messages.PrepareMap) -> KnownChange:
    """Returns the message's change, or the known one if it is as new or newer."""
    if message.map_version <= change.version:
        return change
    return KnownChange(
        message.change_id,
        message.map_version,
        message.hold_at,
        message.replicas,
        messages.ChangePhase.NONE,
    )


def adopt_release(change: KnownChange, message: messages.ReleaseMap) -> KnownChange:
    """Applies the decision on a change, unless a newer change is known."""
    decision = messages.ChangePhase.ABORTED
    if message.commit:
        decision = messages.ChangePhase.COMMITTED
    if message.change_id == change.change_id:
        if not change.is_undecided():
            return change
        version = max(change.version, message.map_version)
        return dataclasses.replace(change, phase=decision, version=version)
    if message.map_version <= change.version:
        return change
    return KnownChange(message.change_id, message.map_version, 0, (), decision)
