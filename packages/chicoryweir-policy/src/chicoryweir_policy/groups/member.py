"""Deterministic core of an agent that stands before ranks of a lock-step group.

It brings the engine to what the group's row and the holder of its lease say, one order
at a time, and looks at the engine's own report after each. A restarted engine gets the
map that the row says, read after it started, together with any change under way.
A step costs time in proportion to the ranks behind the agent.
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
    """Times of an agent in a group, in seconds.

    Attributes:
        observe_s: Time between looks at the engine.
        status_s: Time between statuses sent unasked.
        retry_s: Time after which an order or a read that failed is tried again.
    """

    observe_s: float = 0.2
    status_s: float = 1.0
    retry_s: float = 0.5


class MemberCore:
    """An agent's part in the map changes of its group."""

    def __init__(
        self,
        group: str,
        ranks: tuple[int, ...],
        session: str,
        settings: MemberSettings,
    ) -> None:
        """Creates the core of a process that has not looked at its engine yet."""
        self._group = group
        self._ranks = ranks
        self._session = session
        self._settings = settings
        self._peers: dict[str, None] = {}
        self._leader = ""
        self._highest_fence = 0
        self._sequence = 0
        self._engine = NOT_ANSWERING
        self._load: list[int] = []
        self._row: rows.GroupRow | None = None
        self._row_for = ""
        self._stage = known_change.NO_CHANGE
        self._prepared = ""
        self._released = ""
        self._order: engine_orders.Order | None = None
        self._violated = False
        self._reading_for: str | None = None
        self._reading_held: frozenset[str] = frozenset()
        self._over: frozenset[str] = frozenset()
        self._last_number = 0
        self._next_order_at = 0.0
        self._next_read_at = 0.0
        self._next_observe_at = 0.0
        self._next_status_at = 0.0

    def step(self, event: events.MemberEvent, now: float) -> Commands:
        """Consumes an event and returns what is to be done, in order."""
        commands: list[events.MemberCommand] = []
        match event:
            case events.Ticked():
                pass
            case events.PeerLinked(instance):
                self._peers[instance] = None
                commands.append(self._tell(instance))
            case events.PeerUnlinked(instance):
                self._peers.pop(instance, None)
            case events.MessageReceived(instance, message):
                self._receive(instance, message)
                commands.append(self._tell(instance))
            case events.StoreReplied(_, result):
                self._take_row(result, now)
            case events.EngineObserved():
                commands.extend(self._observe(event))
            case events.EngineReplied():
                self._take_reply(event, now)
            case _ as never:
                typing.assert_never(never)
        return (*commands, *self._run(now))

    def _run(self, now: float) -> list[events.MemberCommand]:
        """Emits what is due."""
        commands: list[events.MemberCommand] = []
        order = self._plan_order(now)
        if order is not None:
            self._order = order
            commands.append(order)
        may_read = self._reading_for is None and now >= self._next_read_at
        if may_read and self._needs_row():
            self._reading_for = self._engine.incarnation
            self._reading_held = engine_orders.find_held_changes(self._engine)
            key = rows.build_key(self._group)
            commands.append(
                events.RunOperation(self._take_number(), store.Read((key,)))
            )
        if now >= self._next_observe_at:
            self._next_observe_at = now + self._settings.observe_s
            commands.append(events.ObserveEngine())
        if now >= self._next_status_at:
            self._next_status_at = now + self._settings.status_s
            commands.extend(self._tell(instance) for instance in self._peers)
        return commands

    def _receive(self, instance: str, message: messages.GroupMessage) -> None:
        """Takes in a message of a lease's holder, unless a newer one was heard."""
        if isinstance(message, messages.RankStatus) or message.group != self._group:
            return
        if message.fence < self._highest_fence:
            return
        self._highest_fence, self._leader = message.fence, instance
        match message:
            case messages.QueryRanks():
                pass
            case messages.PrepareMap():
                if self._row is not None and self._is_joined():
                    self._stage = known_change.adopt_prepare(self._stage, message)
            case messages.ReleaseMap():
                self._stage = known_change.adopt_release(self._stage, message)
            case _ as never:
                typing.assert_never(never)

    def _take_row(self, result: store.Result, now: float) -> None:
        read_for, self._reading_for = self._reading_for, None
        self._next_read_at = now + self._settings.retry_s
        if not isinstance(result, store.Rows) or read_for is None:
            return
        found = result.find(rows.build_key(self._group))
        if found is None:
            return
        self._row, self._row_for = rows.decode_row(found.value), read_for
        self._highest_fence = max(self._highest_fence, self._row.fence)
        self._stage = known_change.adopt_row(self._stage, self._row)
        self._over = self._reading_held - {self._row.change_id}

    def _observe(self, engine: events.EngineObserved) -> Commands:
        """Takes stock of the engine; returns a violation that it shows."""
        before, self._engine = self._engine, engine
        has_left = engine_orders.is_joined(before) and not self._is_joined()
        if has_left or engine.incarnation != before.incarnation:
            self._forget_engine()
        self._add_load(engine.expert_load)
        held = {rank.prepared for rank in engine.ranks}
        self._over &= held
        if len(held) == 1 and "" not in held and self._row is None:
            self._adopt_held(engine.ranks[0])
        versions = tuple(sorted({rank.map_version for rank in engine.ranks}))
        if len(versions) > 1 or self._has_passed_hold():
            self._violated = True
            return (events.MapViolation(self._group, engine.step, versions, "engine"),)
        return ()

    def _forget_engine(self) -> None:
        """Begins anew with an engine that restarted, or whose ranks left the group."""
        self._prepared = self._released = self._row_for = ""
        if self._reading_for is not None:
            self._reading_for = ""

    def _adopt_held(self, rank: events.RankObserved) -> None:
        """Takes up a change for which an earlier process prepared the engine."""
        self._prepared = rank.prepared
        if self._stage.change_id != "":
            return
        late = self._engine.step >= rank.hold_at
        phase = messages.ChangePhase.NONE if late else messages.ChangePhase.PREPARED
        self._stage = known_change.KnownChange(
            rank.prepared, 0, rank.hold_at, (), phase, late
        )

    def _has_passed_hold(self) -> bool:
        """Tells whether ranks went on past a step that they were to hold at."""
        stage = self._stage
        return (
            stage.phase is messages.ChangePhase.PREPARED
            and self._prepared == stage.change_id
            and self._is_joined()
            and self._engine.step > stage.hold_at
        )

    def _take_reply(self, reply: events.EngineReplied, now: float) -> None:
        order = self._order
        if order is None or order.call_id != reply.call_id:
            return
        self._order = None
        self._next_observe_at = now
        if reply.accepted is not True:
            self._next_order_at = now + self._settings.retry_s
        if order.incarnation != self._engine.incarnation or reply.accepted is None:
            return
        match order:
            case events.PrepareEngine():
                self._take_prepared(order, reply)
            case events.ReleaseEngine() if reply.accepted:
                if order.change_id == self._released:
                    self._next_order_at = now + self._settings.retry_s
                self._released = order.change_id
            case events.JoinEngine():
                self._next_order_at = now + self._settings.retry_s
            case events.ReleaseEngine():
                pass
            case _ as never:
                typing.assert_never(never)

    def _take_prepared(
        self, order: events.PrepareEngine, reply: events.EngineReplied
    ) -> None:
        if reply.accepted:
            self._prepared = order.change_id
        if self._stage.change_id != order.change_id or not self._stage.is_undecided():
            return
        if reply.accepted and reply.step < order.hold_at:
            phase = messages.ChangePhase.PREPARED
            self._stage = dataclasses.replace(self._stage, phase=phase)
        else:
            self._stage = dataclasses.replace(self._stage, refused=True)

    def _plan_order(self, now: float) -> engine_orders.Order | None:
        """Returns the next order that the engine needs, if any is due."""
        idle = self._order is None and self._engine.incarnation != ""
        if not idle or now < self._next_order_at or self._violated:
            return None
        fresh = self._row_for == self._engine.incarnation
        view = engine_orders.OrderContext(
            self._engine,
            self._row if fresh else None,
            self._stage,
            self._prepared,
            self._released,
            self._over,
            self._highest_fence,
            self._last_number + 1,
        )
        order = engine_orders.plan_order(view)
        if order is not None:
            self._last_number = order.call_id
        return order

    def _needs_row(self) -> bool:
        """Tells whether the row must be read: after a start, or while ranks wait."""
        if self._engine.incarnation == "":
            return False
        if self._row is None or self._row_for != self._engine.incarnation:
            return True
        if not self._is_joined():
            return self._row.phase is not rows.Phase.SETTLED
        stage = self._stage
        if (
            engine_orders.find_held_changes(self._engine)
            - self._over
            - {stage.change_id}
        ):
            return True
        waiting = stage.hold_at > 0 and self._engine.step + 1 >= stage.hold_at
        return stage.phase is messages.ChangePhase.PREPARED and waiting

    def _is_joined(self) -> bool:
        return engine_orders.is_joined(self._engine)

    def _tell(self, instance: str) -> events.SendMessage:
        """Builds a status; the load goes to the last holder of the lease heard of."""
        self._sequence += 1
        load: tuple[int, ...] = ()
        if instance == self._leader:
            load, self._load = tuple(self._load), []
        stage, joined = self._stage, self._is_joined()
        status = messages.RankStatus(
            group=self._group,
            ranks=self._ranks,
            session=self._session,
            sequence=self._sequence,
            incarnation=self._engine.incarnation,
            joined=joined,
            step=self._engine.step,
            map_version=self._engine.ranks[0].map_version if joined else 0,
            change_id=stage.change_id,
            change_version=stage.version,
            phase=stage.phase,
            highest_fence=self._highest_fence,
            step_s=self._engine.step_s,
            expert_load=load,
        )
        return events.SendMessage(instance, status)

    def _add_load(self, load: tuple[int, ...]) -> None:
        if len(self._load) != len(load):
            self._load = [0] * len(load)
        self._load = [old + new for old, new in zip(self._load, load, strict=True)]

    def _take_number(self) -> int:
        self._last_number += 1
        return self._last_number
