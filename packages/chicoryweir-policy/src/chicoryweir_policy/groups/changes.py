"""Drives the map changes of one group while its lease is held.

The group's row is authoritative. After a failed write the row is read again and the
change resumes from the recorded phase, so any lease holder can take over at any point.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import store
from chicoryweir_policy.charts import interpreter
from chicoryweir_policy.groups import events
from chicoryweir_policy.groups import messages
from chicoryweir_policy.groups import rows
from chicoryweir_policy.groups import statuses

CHART = interpreter.load_chart("map_change")
EVENTS_BY_PHASE = {
    rows.Phase.SETTLED: "read_settled",
    rows.Phase.PREPARING: "read_preparing",
    rows.Phase.COMMITTED: "read_decided",
    rows.Phase.ABORTED: "read_decided",
}


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSpec:
    """Static configuration of a group.

    Attributes:
        group: Name of the group.
        rank_count: Number of ranks in the group.
        first_replicas: Initial map, written when the group's row is created.
    """

    group: str
    rank_count: int
    first_replicas: messages.Replicas


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Timeouts and intervals of a map change, in seconds unless noted.

    Attributes:
        hold_ahead_s: Time from opening a change to the step at which ranks hold.
        hold_ahead_steps: Minimum distance to that step, in steps.
        prepare_timeout_s: Time to prepare all ranks before the change is aborted.
        retransmit_s: Interval between messages, and between reads of the row, while a
            change is in progress.
        query_s: Interval between status queries while no change is in progress.
        refresh_s: Interval between reads of the row while no change is in progress; a
            write whose reply was lost may take effect after the row was read.
        status_ttl_s: Age above which a rank status is ignored.
    """

    hold_ahead_s: float = 6.0
    hold_ahead_steps: int = 20
    prepare_timeout_s: float = 4.0
    retransmit_s: float = 0.25
    query_s: float = 1.0
    refresh_s: float = 5.0
    status_ttl_s: float = 3.0


class GroupLeader:
    """Map changes of one group as seen by one contender for its lease."""

    def __init__(self, spec: GroupSpec, settings: ChangeSettings) -> None:
        """Creates the state of a contender that hasn't read the row yet."""
        self.spec = spec
        self.settings = settings
        self.state = CHART.initial
        self.row: rows.GroupRow | None = None
        self.version = 0
        self.proposal: messages.Replicas | None = None
        self.statuses = statuses.RankStatuses(
            spec.group, spec.rank_count, settings.status_ttl_s
        )
        self._has_violation = False
        self._pending_row: rows.GroupRow | None = None
        self._prepare_deadline = 0.0
        self._next_send_at = 0.0
        self._next_read_at = 0.0

    def record_status(
        self, instance: str, status: messages.RankStatus, now: float
    ) -> events.MapViolation | None:
        """Records a status; a violation that it reveals blocks further changes."""
        violation = self.statuses.record(instance, status, now)
        self._has_violation = self._has_violation or violation is not None
        return violation

    def step_down(self) -> None:
        """Discards the known row after the lease is lost or a write has failed."""
        self._apply_event("lose")
        self._pending_row = None

    def plan_operation(self, fence: int, now: float) -> store.Operation | None:
        """Returns the read or write that is due; call only while none is pending."""
        if self.state == "unread":
            return self._read(now)
        planned_write = self._plan_write(fence, now)
        if planned_write is None:
            return self._read(now) if self.state == "settled" else None
        event, self._pending_row = planned_write
        self._apply_event(event)
        key = rows.build_key(self.spec.group)
        return store.Transact(
            checks=(store.Check(key, self.version),),
            writes=(store.Write(key, rows.encode_row(self._pending_row)),),
        )

    def apply_result(
        self, result: store.Result, now: float
    ) -> tuple[events.ChangeRecorded, ...]:
        """Applies the result of the pending operation."""
        key = rows.build_key(self.spec.group)
        match result:
            case store.Committed(versions) if self._pending_row is not None:
                return self._apply_write(versions[key], now)
            case store.Rows() if self.state in ("unread", "settled"):
                self.step_down()
                self._apply_read(result.find(key), now)
            case store.Refused() if self.state == "settled":
                pass
            case _:
                self.step_down()
        return ()

    def build_messages(self, fence: int, now: float) -> tuple[events.SendMessage, ...]:
        """Returns the messages to agents that are due."""
        if now < self._next_send_at:
            return ()
        is_idle = self.state in ("unread", "settled")
        interval_s = self.settings.query_s if is_idle else self.settings.retransmit_s
        self._next_send_at = now + interval_s
        return tuple(
            events.SendMessage(instance, self._build_message(status, fence))
            for instance, status in self.statuses.items()
        )

    def _read(self, now: float) -> store.Operation | None:
        if now < self._next_read_at:
            return None
        is_idle = self.state == "settled"
        interval_s = self.settings.refresh_s if is_idle else self.settings.retransmit_s
        self._next_read_at = now + interval_s
        return store.Read((rows.build_key(self.spec.group),))

    def _apply_read(self, row: store.Row | None, now: float) -> None:
        self.row = None if row is None else rows.decode_row(row.value)
        self.version = 0 if row is None else row.version
        self._prepare_deadline = now + self.settings.prepare_timeout_s
        phase = rows.Phase.SETTLED if self.row is None else self.row.phase
        self._apply_event(EVENTS_BY_PHASE[phase])
        self._next_read_at = now + self.settings.refresh_s
        if self.state != "settled":
            self._next_send_at = now

    def _apply_write(
        self, version: int, now: float
    ) -> tuple[events.ChangeRecorded, ...]:
        self.row, self.version = self._pending_row, version
        self._pending_row = None
        self._prepare_deadline = now + self.settings.prepare_timeout_s
        self._next_send_at = now
        self._apply_event("written")
        assert self.row is not None
        return (
            events.ChangeRecorded(
                self.spec.group, self.row.change_id, self.row.phase.value, ""
            ),
        )

    def _plan_write(self, fence: int, now: float) -> tuple[str, rows.GroupRow] | None:
        """Returns the chart event and the new row of the write that is due, if any."""
        row = self.row
        if row is None:
            first = rows.create_row(fence, self.spec.first_replicas)
            return "create", first
        if self.state == "settled":
            return self._plan_change(row, fence, now)
        decided = dataclasses.replace(row, fence=fence)
        if self.state == "preparing":
            if self.statuses.all_match(
                lambda status: self._has_prepared(status, row), now
            ):
                phase = rows.Phase.COMMITTED
                return "commit", dataclasses.replace(decided, phase=phase)
            if now >= self._prepare_deadline:
                phase = rows.Phase.ABORTED
                return "abort", dataclasses.replace(decided, phase=phase)
        if self.state == "releasing" and self.statuses.all_match(
            lambda status: self._has_applied_decision(status, row), now
        ):
            return "settle", _settle_row(decided)
        return None

    def _plan_change(
        self, row: rows.GroupRow, fence: int, now: float
    ) -> tuple[str, rows.GroupRow] | None:
        proposal, self.proposal = self.proposal, None
        if proposal is None or proposal == row.replicas or self._has_violation:
            return None
        if not self.statuses.all_match(lambda status: status.joined, now):
            return None
        version = row.next_version + 1
        change = dataclasses.replace(
            row,
            fence=fence,
            phase=rows.Phase.PREPARING,
            change_id=f"{self.spec.group}/{version}/{fence}",
            next_version=version,
            next_replicas=proposal,
            hold_at=self.statuses.choose_hold_step(
                self.settings.hold_ahead_s, self.settings.hold_ahead_steps
            ),
        )
        return "open", change

    def _has_prepared(self, status: messages.RankStatus, row: rows.GroupRow) -> bool:
        return (
            status.joined
            and status.change_id == row.change_id
            and status.phase is messages.ChangePhase.PREPARED
        )

    def _has_applied_decision(
        self, status: messages.RankStatus, row: rows.GroupRow
    ) -> bool:
        undecided = (messages.ChangePhase.NONE, messages.ChangePhase.PREPARED)
        if not status.joined or status.phase in undecided:
            return False
        if row.phase is rows.Phase.COMMITTED:
            return status.map_version == row.next_version
        return status.change_version >= row.next_version

    def _build_message(
        self, status: messages.RankStatus, fence: int
    ) -> messages.GroupMessage:
        row, group = self.row, self.spec.group
        query = messages.QueryRanks(group, fence)
        if row is None or self.state not in ("settled", "preparing", "releasing"):
            return query
        if self.state == "preparing":
            if self._has_prepared(status, row):
                return query
            return messages.PrepareMap(
                group,
                fence,
                row.change_id,
                row.next_version,
                row.hold_at,
                row.next_replicas,
            )
        if self.state == "settled" and status.phase is not (
            messages.ChangePhase.PREPARED
        ):
            return query
        return self._build_release(status, row, fence)

    def _build_release(
        self, status: messages.RankStatus, row: rows.GroupRow, fence: int
    ) -> messages.GroupMessage:
        """Returns the decision on the change that an agent's ranks are held for."""
        prepared = status.phase is messages.ChangePhase.PREPARED
        change_id = status.change_id if prepared else row.change_id
        version = status.change_version if prepared else row.next_version
        query = messages.QueryRanks(self.spec.group, fence)
        if version > row.next_version:
            self.step_down()
            return query
        if version == 0 and change_id != row.change_id:
            return query
        decision = rows.get_decision(row, change_id)
        if status.change_id == change_id and status.phase is decision:
            return query
        commit = decision is messages.ChangePhase.COMMITTED
        return messages.ReleaseMap(self.spec.group, fence, change_id, version, commit)

    def _apply_event(self, event: str) -> None:
        match interpreter.advance(CHART, self.state, event):
            case interpreter.Advanced(state):
                self.state = state
            case interpreter.Ignored():
                pass
            case _ as never:
                typing.assert_never(never)


def _settle_row(row: rows.GroupRow) -> rows.GroupRow:
    """Returns the row once all ranks have applied its decision."""
    settled = dataclasses.replace(row, phase=rows.Phase.SETTLED, next_replicas=())
    if row.phase is rows.Phase.COMMITTED:
        return dataclasses.replace(
            settled, map_version=row.next_version, replicas=row.next_replicas
        )
    return settled
