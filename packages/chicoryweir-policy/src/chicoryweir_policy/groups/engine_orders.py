"""Chooses the next order that brings an engine to what is known of its group."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import known_change
from chicoryweir_policy.groups import messages
from chicoryweir_policy.groups import rows

Order = events.PrepareEngine | events.ReleaseEngine | events.JoinEngine


@dataclasses.dataclass(frozen=True, slots=True)
class OrderContext:
    """What an agent knows when it chooses an order.

    Attributes:
        engine: Last report of the engine.
        row: The group's row, read after the engine began or left; None without one.
        stage: Last change known.
        prepared: Change that the engine was last prepared for by this agent.
        released: Change that it was last released from by this agent.
        over: Changes that a row read since shows to be over.
        fence: Highest fencing number seen.
        call_id: Number for the order.
    """

    engine: events.EngineObserved
    row: rows.GroupRow | None
    stage: known_change.KnownChange
    prepared: str
    released: str
    over: frozenset[str]
    fence: int
    call_id: int


def is_joined(engine: events.EngineObserved) -> bool:
    """Tells whether all ranks have a map, and so take part in steps."""
    return bool(engine.ranks) and all(rank.map_version > 0 for rank in engine.ranks)


def find_held_changes(engine: events.EngineObserved) -> frozenset[str]:
    """Returns the changes for which the engine holds ranks."""
    return frozenset(rank.prepared for rank in engine.ranks if rank.prepared)


def plan_order(view: OrderContext) -> Order | None:
    """Returns the order that is needed next, if any."""
    if not is_joined(view.engine):
        return None if view.row is None else _plan_join(view, view.row)
    if view.stage.phase is messages.ChangePhase.NONE and not view.stage.refused:
        return _build_prepare(view)
    return _plan_release(view)


def _plan_join(view: OrderContext, row: rows.GroupRow) -> Order | None:
    """Gives the engine the change under way, and after that the map."""
    stage = view.stage
    if row.phase is rows.Phase.COMMITTED and view.engine.step >= row.hold_at:
        return _build_join(view, row.next_version, row.next_replicas)
    if row.phase in (rows.Phase.PREPARING, rows.Phase.COMMITTED):
        if stage.change_id != row.change_id:
            return None
        if view.prepared != stage.change_id:
            return _build_prepare(view)
        if not stage.is_undecided() and view.released != stage.change_id:
            return _build_release(view, stage.change_id)
    return _build_join(view, row.map_version, row.replicas)


def _plan_release(view: OrderContext) -> Order | None:
    """Returns a release from a change that the engine still holds for."""
    held, change_id = find_held_changes(view.engine), view.stage.change_id
    for other in sorted(held & view.over - {change_id}):
        return _build_release(view, other)
    if view.stage.is_undecided() or change_id == "":
        return None
    waits = view.prepared == change_id and view.released != change_id
    return _build_release(view, change_id) if waits or change_id in held else None


def _build_prepare(view: OrderContext) -> events.PrepareEngine:
    stage = view.stage
    return events.PrepareEngine(
        view.call_id,
        view.engine.incarnation,
        view.fence,
        stage.change_id,
        stage.version,
        stage.hold_at,
        stage.replicas,
    )


def _build_release(view: OrderContext, change_id: str) -> events.ReleaseEngine:
    known = change_id == view.stage.change_id
    commit = known and view.stage.phase is messages.ChangePhase.COMMITTED
    return events.ReleaseEngine(
        view.call_id, view.engine.incarnation, view.fence, change_id, commit
    )


def _build_join(
    view: OrderContext, map_version: int, replicas: messages.Replicas
) -> events.JoinEngine:
    return events.JoinEngine(
        view.call_id, view.engine.incarnation, view.fence, map_version, replicas
    )
