"""Passes the core's answers to the tasks that serve the callers' connections."""

from __future__ import annotations

import dataclasses

from chicoryweir_daemon.runtime import cores
from chicoryweir_daemon.runtime import inbox
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

EVENT_STREAM = "text/event-stream"
# Size of the parts of a stream that may wait for its caller. One frame of a link brings
# over 1 MiB at once; a caller that pauses for some seconds is behind by some 10 KB.
MAX_QUEUED_BYTES = 4 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Overflowed:
    """The caller did not read its stream, and the rest of it is dropped."""


MailboxItem = (
    commands.BeginAnswer
    | commands.SendAnswer
    | commands.EndAnswer
    | commands.RejectRequest
    | commands.AbortAnswer
    | CallerDisconnected
    | Overflowed
)


class Mailbox(inbox.Inbox[MailboxItem]):
    """Items for the task that serves one request.

    Attributes:
        is_stream: Whether the answer is a stream.
        is_overflowed: Whether part of it was dropped.
        queued_bytes: Size of the parts of a stream that wait, in bytes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_stream = False
        self.is_overflowed = False
        self.queued_bytes = 0

    async def get_all(self) -> list[MailboxItem]:
        """Waits for at least one item; removes and returns all items in order."""
        items = await super().get_all()
        self.queued_bytes = 0
        return items


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
        self._core_task = core_task
        self._mailboxes: dict[str, Mailbox] = {}
        for command_type in _COMMAND_TYPES:
            core_task.set_handler(command_type, self._deliver)

    def __len__(self) -> int:
        return len(self._mailboxes)

    def create(self, request_id: str) -> Mailbox:
        """Adds and returns the mailbox of a request."""
        mailbox = Mailbox()
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
        if mailbox is None or mailbox.is_overflowed:
            return
        match command:
            case commands.BeginAnswer(content_type=content_type):
                mailbox.is_stream = content_type.startswith(EVENT_STREAM)
            case commands.SendAnswer(payloads=payloads) if mailbox.is_stream:
                mailbox.queued_bytes += sum(map(len, payloads))
                if mailbox.queued_bytes > MAX_QUEUED_BYTES:
                    self._end_overflowed(command.request_id, mailbox)
                    return
        mailbox.put(command)

    def _end_overflowed(self, request_id: str, mailbox: Mailbox) -> None:
        """Ends a stream that its caller doesn't read as fast as it arrives."""
        mailbox.is_overflowed = True
        mailbox.put(Overflowed())
        self._core_task.post(events.RequestAbandoned(request_id))
