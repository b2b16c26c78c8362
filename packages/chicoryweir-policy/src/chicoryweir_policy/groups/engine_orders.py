"""Selects the next order that brings an engine in line with its group's state."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import known_change
from chicoryweir_policy.groups import messages
from chicoryweir_policy.groups import rows

Order = events.PrepareEngine | events.ReleaseEngine | events.JoinEngine


@dataclasses.dataclass(frozen=True, slots=True)
class OrderContext:
    """Inputs from which an agent selects an order.

    Attributes:
        engine: Latest report of the engine.
        row: The group's row, read after the engine started or left the group; None
            if it hasn't been read since.
        change: Latest known change.
        prepared_change: Change that this agent last prepared the engine for.
        released_change: Change that this agent last released the engine from.
        ended_changes: Changes that the engine still holds ranks for although, by a row
            read later, they have ended.
        fence: Highest fencing token seen.
        call_id: Identifier for the order.
    """

    engine: events.EngineObserved
    row: rows.GroupRow | None
    change: known_change.KnownChange
    prepared_change: str
    released_change: str
    ended_changes: frozenset[str]
    fence: int
    call_id: int


def is_joined(engine: events.EngineObserved) -> bool:
    """Returns whether all ranks have a map and therefore take part in steps."""
    return bool(engine.ranks) and all(rank.map_version > 0 for rank in engine.ranks)


def find_held_changes(engine: events.EngineObserved) -> frozenset[str]:
    """Returns the identifiers of the changes that the engine holds ranks for."""
    return frozenset(rank.prepared for rank in engine.ranks if rank.prepared)


def plan_order(context: OrderContext) -> Order | None:
    """Returns the next order that the engine needs, if any."""
    if not is_joined(context.engine):
        return None if context.row is None else _plan_join(context, context.row)
    if context.change.phase is messages.ChangePhase.NONE and not context.change.refused:
        return _build_prepare(context)
    return _plan_release(context)


def _plan_join(context: OrderContext, row: rows.GroupRow) -> Order | None:
    """Returns the order for the change in progress, else the order to join."""
    change = context.change
    if row.phase is rows.Phase.COMMITTED and context.engine.step >= row.hold_at:
        return _build_join(context, row.next_version, row.next_replicas)
    if row.phase in (rows.Phase.PREPARING, rows.Phase.COMMITTED):
        if change.change_id != row.change_id:
            return None
        if context.prepared_change != change.change_id:
            return _build_prepare(context)
        if not change.is_undecided() and context.released_change != change.change_id:
            return _build_release(context, change.change_id)
    return _build_join(context, row.map_version, row.replicas)


def _plan_release(context: OrderContext) -> Order | None:
    """Returns a release for an ended change that the engine still holds ranks for."""
    held, change_id = find_held_changes(context.engine), context.change.change_id
    for ended_id in sorted(held & context.ended_changes - {change_id}):
        return _build_release(context, ended_id)
    if context.change.is_undecided() or change_id == "":
        return None
    needs_release = (
        context.prepared_change == change_id and context.released_change != change_id
    )
    return (
        _build_release(context, change_id)
        if needs_release or change_id in held
        else None
    )


def _build_prepare(context: OrderContext) -> events.PrepareEngine:
    change = context.change
    return events.PrepareEngine(
        context.call_id,
        context.engine.incarnation,
        context.fence,
        change.change_id,
        change.version,
        change.hold_at,
        change.replicas,
    )


def _build_release(context: OrderContext, change_id: str) -> events.ReleaseEngine:
    is_known = change_id == context.change.change_id
    commit = is_known and context.change.phase is messages.ChangePhase.COMMITTED
    return events.ReleaseEngine(
        context.call_id, context.engine.incarnation, context.fence, change_id, commit
    )


def _build_join(
    context: OrderContext, map_version: int, replicas: messages.Replicas
) -> events.JoinEngine:
    return events.JoinEngine(
        context.call_id,
        context.engine.incarnation,
        context.fence,
        map_version,
        replicas,
    )
