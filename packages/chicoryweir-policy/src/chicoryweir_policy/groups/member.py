"""Deterministic core of an agent that serves ranks of a lock-step group.

It aligns the engine with the group's row and the messages of the lease holder, one
order at a time, and observes the engine after each order. A restarted engine receives
the map from the row, read after the restart, and any change in progress.
The cost of an event is linear in the number of ranks that the agent serves.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import store
from chicoryweir_policy.groups import engine_orders
from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import known_change
from chicoryweir_policy.groups import messages
from chicoryweir_policy.groups import rows

Commands = tuple[events.MemberCommand, ...]
NOT_ANSWERING = events.EngineObserved("", 0, (), 0.0, ())


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSettings:
    """Intervals of an agent in a group, in seconds.

    Attributes:
        observe_s: Interval between observations of the engine.
        status_s: Interval between unsolicited statuses.
        retry_s: Delay before a failed order or read is retried.
    """

    observe_s: float = 0.2
    status_s: float = 1.0
    retry_s: float = 0.5


class MemberCore:
    """Applies the map changes of a group to the ranks of one agent."""

    def __init__(
        self,
        group: str,
        ranks: tuple[int, ...],
        session: str,
        settings: MemberSettings,
    ) -> None:
        """Creates the core of a process that hasn't observed its engine yet."""
        self._group = group
        self._ranks = ranks
        self._session = session
        self._settings = settings
        self._peers: dict[str, None] = {}
        self._lease_holder = ""
        self._highest_fence = 0
        self._status_sequence = 0
        self._engine = NOT_ANSWERING
        self._expert_load: list[int] = []
        self._row: rows.GroupRow | None = None
        self._row_incarnation = ""
        self._change = known_change.NO_CHANGE
        self._prepared_change = ""
        self._released_change = ""
        self._pending_order: engine_orders.Order | None = None
        self._has_violation = False
        self._read_incarnation: str | None = None
        self._held_at_read: frozenset[str] = frozenset()
        self._ended_changes: frozenset[str] = frozenset()
        self._last_call_id = 0
        self._next_order_at = 0.0
        self._next_read_at = 0.0
        self._next_observe_at = 0.0
        self._next_status_at = 0.0

    def step(self, event: events.MemberEvent, now: float) -> Commands:
        """Processes an event and returns the commands to execute, in order."""
        commands: list[events.MemberCommand] = []
        match event:
            case events.Ticked():
                pass
            case events.PeerLinked(instance):
                self._peers[instance] = None
                commands.append(self._build_status(instance))
            case events.PeerUnlinked(instance):
                self._peers.pop(instance, None)
            case events.MessageReceived(instance, message):
                self._receive(instance, message)
                commands.append(self._build_status(instance))
            case events.StoreReplied(_, result):
                self._apply_row(result, now)
            case events.EngineObserved():
                commands.extend(self._record_report(event))
            case events.EngineReplied():
                self._apply_reply(event, now)
            case _ as never:
                typing.assert_never(never)
        return (*commands, *self._plan_commands(now))

    def _plan_commands(self, now: float) -> list[events.MemberCommand]:
        """Returns the commands that are due."""
        commands: list[events.MemberCommand] = []
        order = self._plan_order(now)
        if order is not None:
            self._pending_order = order
            commands.append(order)
        may_read = self._read_incarnation is None and now >= self._next_read_at
        if may_read and self._needs_row():
            self._read_incarnation = self._engine.incarnation
            self._held_at_read = engine_orders.find_held_changes(self._engine)
            key = rows.build_key(self._group)
            commands.append(
                events.RunOperation(self._create_call_id(), store.Read((key,)))
            )
        if now >= self._next_observe_at:
            self._next_observe_at = now + self._settings.observe_s
            commands.append(events.ObserveEngine())
        if now >= self._next_status_at:
            self._next_status_at = now + self._settings.status_s
            commands.extend(self._build_status(instance) for instance in self._peers)
        return commands

    def _receive(self, instance: str, message: messages.GroupMessage) -> None:
        """Applies a message of a lease holder, unless a newer holder is known."""
        if isinstance(message, messages.RankStatus) or message.group != self._group:
            return
        if message.fence < self._highest_fence:
            return
        self._highest_fence, self._lease_holder = message.fence, instance
        match message:
            case messages.QueryRanks():
                pass
            case messages.PrepareMap():
                if self._row is not None and self._is_joined():
                    self._change = known_change.adopt_prepare(self._change, message)
            case messages.ReleaseMap():
                self._change = known_change.adopt_release(self._change, message)
            case _ as never:
                typing.assert_never(never)

    def _apply_row(self, result: store.Result, now: float) -> None:
        incarnation, self._read_incarnation = self._read_incarnation, None
        self._next_read_at = now + self._settings.retry_s
        if not isinstance(result, store.Rows) or incarnation is None:
            return
        table_row = result.find(rows.build_key(self._group))
        if table_row is None:
            return
        self._row, self._row_incarnation = rows.decode_row(table_row.value), incarnation
        self._highest_fence = max(self._highest_fence, self._row.fence)
        self._change = known_change.adopt_row(self._change, self._row)
        self._ended_changes = self._held_at_read - {self._row.change_id}

    def _record_report(self, engine: events.EngineObserved) -> Commands:
        """Records the engine's report; returns the violation that it shows, if any."""
        previous, self._engine = self._engine, engine
        has_left_group = engine_orders.is_joined(previous) and not self._is_joined()
        if has_left_group or engine.incarnation != previous.incarnation:
            self._reset_engine()
        self._add_load(engine.expert_load)
        held = {rank.prepared for rank in engine.ranks}
        self._ended_changes &= held
        if len(held) == 1 and "" not in held and self._row is None:
            self._adopt_prepared_change(engine.ranks[0])
        versions = tuple(sorted({rank.map_version for rank in engine.ranks}))
        if len(versions) > 1 or self._has_passed_hold():
            self._has_violation = True
            return (events.MapViolation(self._group, engine.step, versions, "engine"),)
        return ()

    def _reset_engine(self) -> None:
        """Clears the records of an engine that restarted or left the group."""
        self._prepared_change = self._released_change = self._row_incarnation = ""
        if self._read_incarnation is not None:
            self._read_incarnation = ""

    def _adopt_prepared_change(self, rank: events.RankObserved) -> None:
        """Adopts a change that an earlier agent process prepared the engine for."""
        self._prepared_change = rank.prepared
        if self._change.change_id != "":
            return
        is_late = self._engine.step >= rank.hold_at
        phase = messages.ChangePhase.NONE if is_late else messages.ChangePhase.PREPARED
        self._change = known_change.KnownChange(
            rank.prepared, 0, rank.hold_at, (), phase, is_late
        )

    def _has_passed_hold(self) -> bool:
        """Returns whether ranks passed a step at which they had to hold."""
        change = self._change
        return (
            change.phase is messages.ChangePhase.PREPARED
            and self._prepared_change == change.change_id
            and self._is_joined()
            and self._engine.step > change.hold_at
        )

    def _apply_reply(self, reply: events.EngineReplied, now: float) -> None:
        order = self._pending_order
        if order is None or order.call_id != reply.call_id:
            return
        self._pending_order = None
        self._next_observe_at = now
        if reply.accepted is not True:
            self._next_order_at = now + self._settings.retry_s
        if order.incarnation != self._engine.incarnation or reply.accepted is None:
            return
        match order:
            case events.PrepareEngine():
                self._apply_prepare_reply(order, reply)
            case events.ReleaseEngine() if reply.accepted:
                if order.change_id == self._released_change:
                    self._next_order_at = now + self._settings.retry_s
                self._released_change = order.change_id
            case events.JoinEngine():
                self._next_order_at = now + self._settings.retry_s
            case events.ReleaseEngine():
                pass
            case _ as never:
                typing.assert_never(never)

    def _apply_prepare_reply(
        self, order: events.PrepareEngine, reply: events.EngineReplied
    ) -> None:
        if reply.accepted:
            self._prepared_change = order.change_id
        if self._change.change_id != order.change_id or not self._change.is_undecided():
            return
        if reply.accepted and reply.step < order.hold_at:
            phase = messages.ChangePhase.PREPARED
            self._change = dataclasses.replace(self._change, phase=phase)
        else:
            self._change = dataclasses.replace(self._change, refused=True)

    def _plan_order(self, now: float) -> engine_orders.Order | None:
        """Returns the next order for the engine, if one is due."""
        is_idle = self._pending_order is None and self._engine.incarnation != ""
        if not is_idle or now < self._next_order_at or self._has_violation:
            return None
        is_current = self._row_incarnation == self._engine.incarnation
        context = engine_orders.OrderContext(
            self._engine,
            self._row if is_current else None,
            self._change,
            self._prepared_change,
            self._released_change,
            self._ended_changes,
            self._highest_fence,
            self._last_call_id + 1,
        )
        order = engine_orders.plan_order(context)
        if order is not None:
            self._last_call_id = order.call_id
        return order

    def _needs_row(self) -> bool:
        """Returns whether to read the row: after a start or while ranks are held."""
        if self._engine.incarnation == "":
            return False
        if self._row is None or self._row_incarnation != self._engine.incarnation:
            return True
        if not self._is_joined():
            return self._row.phase is not rows.Phase.SETTLED
        change = self._change
        if (
            engine_orders.find_held_changes(self._engine)
            - self._ended_changes
            - {change.change_id}
        ):
            return True
        is_held = change.hold_at > 0 and self._engine.step + 1 >= change.hold_at
        return change.phase is messages.ChangePhase.PREPARED and is_held

    def _is_joined(self) -> bool:
        return engine_orders.is_joined(self._engine)

    def _build_status(self, instance: str) -> events.SendMessage:
        """Builds a status; only the latest known lease holder gets the expert load."""
        self._status_sequence += 1
        load: tuple[int, ...] = ()
        if instance == self._lease_holder:
            load, self._expert_load = tuple(self._expert_load), []
        change, joined = self._change, self._is_joined()
        status = messages.RankStatus(
            group=self._group,
            ranks=self._ranks,
            session=self._session,
            sequence=self._status_sequence,
            incarnation=self._engine.incarnation,
            joined=joined,
            step=self._engine.step,
            map_version=self._engine.ranks[0].map_version if joined else 0,
            change_id=change.change_id,
            change_version=change.version,
            phase=change.phase,
            highest_fence=self._highest_fence,
            step_s=self._engine.step_s,
            expert_load=load,
        )
        return events.SendMessage(instance, status)

    def _add_load(self, load: tuple[int, ...]) -> None:
        if len(self._expert_load) != len(load):
            self._expert_load = [0] * len(load)
        self._expert_load = [
            old + new for old, new in zip(self._expert_load, load, strict=True)
        ]

    def _create_call_id(self) -> int:
        self._last_call_id += 1
        return self._last_call_id
