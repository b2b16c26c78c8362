"""How far a change of the map has come at one agent."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.groups import messages
from chicoryweir_policy.groups import rows


@dataclasses.dataclass(frozen=True, slots=True)
class KnownChange:
    """The last change that an agent knows of.

    Attributes:
        change_id: The change, or an empty string.
        version: Version of the map that it would bring in; 0 while not known.
        hold_at: Step that no prepared rank enters until released.
        replicas: The new map; empty while not known.
        phase: How far it has come; `NONE` while the engine is not prepared.
        refused: Whether the engine refused to prepare.
    """

    change_id: str
    version: int
    hold_at: int
    replicas: messages.Replicas
    phase: messages.ChangePhase
    refused: bool = False

    def is_undecided(self) -> bool:
        """Tells whether no decision is known."""
        return self.phase in (messages.ChangePhase.NONE, messages.ChangePhase.PREPARED)


NO_CHANGE = KnownChange("", 0, 0, (), messages.ChangePhase.ABORTED)


def adopt_row(stage: KnownChange, row: rows.GroupRow) -> KnownChange:
    """Brings a stage up to what the row says.

    Args:
        stage: The stage so far.
        row: The row; what it says of a change is true, if perhaps not the newest.

    Returns:
        The stage of the newer change of the two.
    """
    if stage.version > row.next_version:
        return stage
    known = stage.change_id == row.change_id
    phase = rows.get_decision(row, row.change_id)
    if known and not stage.is_undecided():
        phase = stage.phase
    elif phase is messages.ChangePhase.PREPARED and not known:
        phase = messages.ChangePhase.NONE
    elif phase is messages.ChangePhase.PREPARED:
        phase = stage.phase
    return KnownChange(
        row.change_id,
        row.next_version,
        row.hold_at,
        row.next_replicas,
        phase,
        known and stage.refused,
    )


def adopt_prepare(stage: KnownChange, message: messages.PrepareMap) -> KnownChange:
    """Begins the change of a message, unless it is known or older than one known."""
    if message.map_version <= stage.version:
        return stage
    return KnownChange(
        message.change_id,
        message.map_version,
        message.hold_at,
        message.replicas,
        messages.ChangePhase.NONE,
    )


def adopt_release(stage: KnownChange, message: messages.ReleaseMap) -> KnownChange:
    """Takes in the decision on a change, unless a later change is known."""
    decision = messages.ChangePhase.ABORTED
    if message.commit:
        decision = messages.ChangePhase.COMMITTED
    if message.change_id == stage.change_id:
        if not stage.is_undecided():
            return stage
        version = max(stage.version, message.map_version)
        return dataclasses.replace(stage, phase=decision, version=version)
    if message.map_version <= stage.version:
        return stage
    return KnownChange(message.change_id, message.map_version, 0, (), decision)
