"""Tests of answers that wait for callers who don't read them."""

from chicoryweir_daemon.entry import mailboxes
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

PART = b"x" * 100_000


class CoreStandIn:
    """Core that keeps the events posted to it."""

    def __init__(self):
        self.handlers = {}
        self.events = []

    def set_handler(self, kind, handler):
        self.handlers[kind] = handler

    def post(self, event):
        self.events.append(event)

    def send(self, command):
        self.handlers[type(command)](command)


# Guards against an entry that keeps a stream without end for a caller who doesn't read.
async def test_stream_that_is_not_read_ends_at_a_size():
    core = CoreStandIn()
    mailbox = mailboxes.Mailboxes(core).create("r")
    core.send(commands.BeginAnswer("r", 200, "text/event-stream"))
    for _ in range(1000):
        core.send(commands.SendAnswer("r", (PART,)))
    items = await mailbox.get_all()
    sent = [item for item in items if isinstance(item, commands.SendAnswer)]
    assert len(sent) * len(PART) <= mailboxes.MAX_QUEUED_BYTES
    assert items[-1] == mailboxes.Overflowed()
    assert core.events == [events.RequestAbandoned("r")]


async def test_stream_that_is_read_does_not_end():
    core = CoreStandIn()
    mailbox = mailboxes.Mailboxes(core).create("r")
    core.send(commands.BeginAnswer("r", 200, "text/event-stream"))
    for _ in range(100):
        core.send(commands.SendAnswer("r", (PART,)))
        await mailbox.get_all()
    assert not mailbox.is_overflowed
    assert core.events == []


async def test_whole_body_may_be_larger():
    core = CoreStandIn()
    mailbox = mailboxes.Mailboxes(core).create("r")
    core.send(commands.BeginAnswer("r", 200, "application/json"))
    core.send(commands.SendAnswer("r", (PART,) * 50))
    core.send(commands.EndAnswer("r"))
    assert len(await mailbox.get_all()) == 3
    assert core.events == []
