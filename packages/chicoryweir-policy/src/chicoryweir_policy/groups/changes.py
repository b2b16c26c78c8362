"""Drives the map changes of one group while its lease is held.

The group's row is the truth. Whatever goes wrong with a write, the row is read again
and the change goes on from what it says; so any holder can take over at any point.
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
STATES_OF_ROW = {
    rows.Phase.SETTLED: "read_settled",
    rows.Phase.PREPARING: "read_preparing",
    rows.Phase.COMMITTED: "read_decided",
    rows.Phase.ABORTED: "read_decided",
}


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSpec:
    """What is known of a group beforehand.

    Attributes:
        group: Name.
        rank_count: Ranks in it.
        first_replicas: Map that its row starts with.
    """

    group: str
    rank_count: int
    first_replicas: messages.Replicas


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Times of a change.

    Attributes:
        hold_ahead_s: Time from opening a change to the step at which ranks hold.
        hold_ahead_steps: Steps between these at the least.
        prepare_timeout_s: Time for all ranks to be prepared.
        retransmit_s: Time between messages that had no effect.
        query_s: Time between queries of a group where nothing changes.
        refresh_s: Time between reads of the row where nothing changes; a write whose
            reply was lost may take effect after the row was read.
        status_ttl_s: Age from which on a status no longer counts.
    """

    hold_ahead_s: float = 6.0
    hold_ahead_steps: int = 20
    prepare_timeout_s: float = 4.0
    retransmit_s: float = 0.25
    query_s: float = 1.0
    refresh_s: float = 5.0
    status_ttl_s: float = 3.0


class GroupLeader:
    """State of the changes of one group at one contender for its lease."""

    def __init__(self, spec: GroupSpec, settings: ChangeSettings) -> None:
        """Creates the state of a contender that has read nothing yet."""
        self.spec = spec
        self.settings = settings
        self.state = CHART.initial
        self.row: rows.GroupRow | None = None
        self.version = 0
        self.proposal: messages.Replicas | None = None
        self.statuses = statuses.RankStatuses(
            spec.group, spec.rank_count, settings.status_ttl_s
        )
        self._violated = False
        self._writing: rows.GroupRow | None = None
        self._deadline = 0.0
        self._next_send_at = 0.0
        self._next_read_at = 0.0

    def record_status(
        self, instance: str, status: messages.RankStatus, now: float
    ) -> events.MapViolation | None:
        """Takes in a status; a violation that it reveals ends all changes."""
        violation = self.statuses.record(instance, status, now)
        self._violated = self._violated or violation is not None
        return violation

    def step_down(self) -> None:
        """Stops; the lease is gone, or the row is not as it was thought to be."""
        self._move("lose")
        self._writing = None

    def plan_operation(self, fence: int, now: float) -> store.Operation | None:
        """Returns the read or write that is due, while none is under way."""
        if self.state == "unread":
            return self._read(now)
        planned = self._plan_write(fence, now)
        if planned is None:
            return self._read(now) if self.state == "settled" else None
        event, self._writing = planned
        self._move(event)
        key = rows.build_key(self.spec.group)
        return store.Transact(
            checks=(store.Check(key, self.version),),
            writes=(store.Write(key, rows.encode_row(self._writing)),),
        )

    def apply_result(
        self, result: store.Result, now: float
    ) -> tuple[events.ChangeRecorded, ...]:
        """Takes the result of the operation that was under way."""
        key = rows.build_key(self.spec.group)
        match result:
            case store.Committed(versions) if self._writing is not None:
                return self._take_written(versions[key], now)
            case store.Rows() if self.state in ("unread", "settled"):
                self.step_down()
                self._take_read(result.find(key), now)
            case store.Refused() if self.state == "settled":
                pass
            case _:
                self.step_down()
        return ()

    def build_messages(self, fence: int, now: float) -> tuple[events.SendMessage, ...]:
        """Returns the messages that are due to the agents."""
        if now < self._next_send_at:
            return ()
        calm = self.state in ("unread", "settled")
        pause = self.settings.query_s if calm else self.settings.retransmit_s
        self._next_send_at = now + pause
        return tuple(
            events.SendMessage(instance, self._build_message(status, fence))
            for instance, status in self.statuses.items()
        )

    def _read(self, now: float) -> store.Operation | None:
        if now < self._next_read_at:
            return None
        calm = self.state == "settled"
        pause = self.settings.refresh_s if calm else self.settings.retransmit_s
        self._next_read_at = now + pause
        return store.Read((rows.build_key(self.spec.group),))

    def _take_read(self, row: store.Row | None, now: float) -> None:
        self.row = None if row is None else rows.decode_row(row.value)
        self.version = 0 if row is None else row.version
        self._deadline = now + self.settings.prepare_timeout_s
        phase = rows.Phase.SETTLED if self.row is None else self.row.phase
        self._move(STATES_OF_ROW[phase])
        self._next_read_at = now + self.settings.refresh_s
        if self.state != "settled":
            self._next_send_at = now

    def _take_written(
        self, version: int, now: float
    ) -> tuple[events.ChangeRecorded, ...]:
        self.row, self.version = self._writing, version
        self._writing = None
        self._deadline = now + self.settings.prepare_timeout_s
        self._next_send_at = now
        self._move("written")
        assert self.row is not None
        return (
            events.ChangeRecorded(
                self.spec.group, self.row.change_id, self.row.phase.value, ""
            ),
        )

    def _plan_write(self, fence: int, now: float) -> tuple[str, rows.GroupRow] | None:
        """Returns the event and the row of the write that is due."""
        row = self.row
        if row is None:
            first = rows.create_row(fence, self.spec.first_replicas)
            return "create", first
        if self.state == "settled":
            return self._plan_change(row, fence, now)
        decided = dataclasses.replace(row, fence=fence)
        if self.state == "preparing":
            if self.statuses.all_match(lambda s: self._has_prepared(s, row), now):
                phase = rows.Phase.COMMITTED
                return "commit", dataclasses.replace(decided, phase=phase)
            if now >= self._deadline:
                phase = rows.Phase.ABORTED
                return "abort", dataclasses.replace(decided, phase=phase)
        if self.state == "releasing" and self.statuses.all_match(
            lambda s: self._has_settled(s, row), now
        ):
            return "settle", _settle_row(decided)
        return None

    def _plan_change(
        self, row: rows.GroupRow, fence: int, now: float
    ) -> tuple[str, rows.GroupRow] | None:
        proposal, self.proposal = self.proposal, None
        if proposal is None or proposal == row.replicas or self._violated:
            return None
        if not self.statuses.all_match(lambda s: s.joined, now):
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

    def _has_settled(self, status: messages.RankStatus, row: rows.GroupRow) -> bool:
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
        """Tells what the row decided on the change that an agent still holds for."""
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

    def _move(self, event: str) -> None:
        match interpreter.advance(CHART, self.state, event):
            case interpreter.Advanced(state):
                self.state = state
            case interpreter.Ignored():
                pass
            case _ as never:
                typing.assert_never(never)


def _settle_row(row: rows.GroupRow) -> rows.GroupRow:
    """Returns the row after all ranks have done what it decided."""
    settled = dataclasses.replace(row, phase=rows.Phase.SETTLED, next_replicas=())
    if row.phase is rows.Phase.COMMITTED:
        return dataclasses.replace(
            settled, map_version=row.next_version, replicas=row.next_replicas
        )
    return settled
