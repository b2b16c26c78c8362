"""Passes the core's answers to the tasks that serve the callers' connections."""

from __future__ import annotations

import dataclasses

from chicoryweir_daemon.runtime import cores
from chicoryweir_daemon.runtime import inbox
from chicoryweir_policy.cores import commands


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


MailboxItem = (
    commands.BeginAnswer
    | commands.SendAnswer
    | commands.EndAnswer
    | commands.RejectRequest
    | commands.AbortAnswer
    | CallerDisconnected
)
Mailbox = inbox.Inbox[MailboxItem]

_COMMAND_TYPES = (
    commands.BeginAnswer,
    commands.SendAnswer,
    commands.EndAnswer,
    commands.RejectRequest,
    commands.AbortAnswer,
)


class Mailboxes:
    """Delivers the core's commands to the mailbox of the request that they name."""

    def __init__(self, core_task: cores.CoreTask) -> None:
        self._mailboxes: dict[str, Mailbox] = {}
        for command_type in _COMMAND_TYPES:
            core_task.handle(command_type, self._deliver)

    def __len__(self) -> int:
        return len(self._mailboxes)

    def create(self, request_id: str) -> Mailbox:
        """Adds and returns the mailbox of a request."""
        mailbox: Mailbox = inbox.Inbox()
        self._mailboxes[request_id] = mailbox
        return mailbox

    def remove(self, request_id: str) -> None:
        """Removes the mailbox of a request; later commands for it are dropped."""
        self._mailboxes.pop(request_id, None)

    def _deliver(
        self,
        command: commands.BeginAnswer
        | commands.SendAnswer
        | commands.EndAnswer
        | commands.RejectRequest
        | commands.AbortAnswer,
    ) -> None:
        mailbox = self._mailboxes.get(command.request_id)
        if mailbox is not None:
            mailbox.put(command)
