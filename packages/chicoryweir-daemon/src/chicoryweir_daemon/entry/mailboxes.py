"""Answers on their way from the core to the callers' connections."""

from __future__ import annotations

import dataclasses

from chicoryweir_daemon.runtime import cores
from chicoryweir_daemon.runtime import inbox
from chicoryweir_policy.cores import commands


@dataclasses.dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection."""


Mail = (
    commands.BeginAnswer
    | commands.SendAnswer
    | commands.EndAnswer
    | commands.RejectRequest
    | commands.AbortAnswer
    | CallerGone
)
Mailbox = inbox.Inbox[Mail]

_KINDS = (
    commands.BeginAnswer,
    commands.SendAnswer,
    commands.EndAnswer,
    commands.RejectRequest,
    commands.AbortAnswer,
)


class Mailboxes:
    """One mailbox for each request in progress."""

    def __init__(self, core: cores.CoreTask) -> None:
        self._boxes: dict[str, Mailbox] = {}
        for kind in _KINDS:
            core.set_handler(kind, self._deliver)

    def __len__(self) -> int:
        return len(self._boxes)

    def open(self, request_id: str) -> Mailbox:
        """Makes the mailbox of a request."""
        box: Mailbox = inbox.Inbox()
        self._boxes[request_id] = box
        return box

    def close(self, request_id: str) -> None:
        """Removes the mailbox of a request."""
        self._boxes.pop(request_id, None)

    def _deliver(
        self,
        mail: commands.BeginAnswer
        | commands.SendAnswer
        | commands.EndAnswer
        | commands.RejectRequest
        | commands.AbortAnswer,
    ) -> None:
        box = self._boxes.get(mail.request_id)
        if box is not None:
            box.put(mail)
