"""Answers on their way from the core to the callers' connections."""

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
    """One mailbox for each request in progress."""

    def __init__(self, core_task: cores.CoreTask) -> None:
        self._mailboxes: dict[str, Mailbox] = {}
        for command_type in _COMMAND_TYPES:
            core_task.handle(command_type, self._deliver)

    def __len__(self) -> int:
        return len(self._mailboxes)

    def create(self, request_id: str) -> Mailbox:
        """Makes the mailbox of a request."""
        mailbox: Mailbox = inbox.Inbox()
        self._mailboxes[request_id] = mailbox
        return mailbox

    def remove(self, request_id: str) -> None:
        """Removes the mailbox of a request."""
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
