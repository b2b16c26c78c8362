"""Runs the member core of a lock-step group within an agent's core."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import store
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import operations
from chicoryweir_policy.cores.agent import sessions
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.groups import member

Commands = list[commands.Command]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberOperation:
    """Purpose of a store operation that the member core requested."""

    operation_id: int


class GroupMember:
    """Runs a group's member core and converts its commands to commands of the agent."""

    def __init__(
        self,
        core: member.MemberCore,
        table: sessions.SessionTable,
        pending: operations.PendingOperations,
    ) -> None:
        self._core = core
        self._sessions = table
        self._operations = pending

    def handle_event(
        self, event: group_events.MemberEvent, now: float, out: Commands
    ) -> None:
        """Passes an event to the member core and emits the resulting commands."""
        for command in self._core.step(event, now):
            self._execute(command, out)

    def handle_reply(
        self, purpose: MemberOperation, result: store.Result, now: float, out: Commands
    ) -> None:
        """Passes the result of a store operation to the member core."""
        replied = group_events.StoreReplied(purpose.operation_id, result)
        self.handle_event(replied, now, out)

    def _execute(self, command: group_events.MemberCommand, out: Commands) -> None:
        match command:
            case group_events.SendMessage(instance, message):
                session = self._sessions.find_instance(instance)
                if session is not None:
                    out.append(commands.Send(instance, session.session_id, message))
            case group_events.RunOperation(operation_id, operation):
                purpose = MemberOperation(operation_id)
                out.append(self._operations.register(operation, purpose))
            case group_events.MapViolation():
                detail = f"step {command.step}: maps {command.versions}"
                number = catalogue.INVARIANT_VIOLATED
                out.append(commands.LogEvent(number, "", command.peer, detail))
            case (
                group_events.ObserveEngine()
                | group_events.PrepareEngine()
                | group_events.ReleaseEngine()
                | group_events.JoinEngine()
            ):
                out.append(command)
            case _:
                typing.assert_never(command)


def make_group_member(
    group: str,
    ranks: tuple[int, ...],
    incarnation: str,
    table: sessions.SessionTable,
    pending: operations.PendingOperations,
) -> GroupMember:
    """Creates the group member for an agent's ranks in one group."""
    core = member.MemberCore(group, ranks, incarnation, member.MemberSettings())
    return GroupMember(core, table, pending)
