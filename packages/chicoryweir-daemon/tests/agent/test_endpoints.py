"""Tests of an agent whose engine sends bytes without end."""

import asyncio
import contextlib
import dataclasses

import endlesspeers
import pytest
import pytest_asyncio

from chicoryweir_daemon import configuration
from chicoryweir_daemon.agent import endpoints
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
PART = b"a" * 65_536
CALL = commands.CallEndpoint(
    "a",
    "r",
    "POST",
    "/x",
    "",
    "",
    b"",
    requests.AnswerMode.EVENTS,
    requests.PriorityClass.URGENT,
    0,
)


class CoreStandIn:
    """Core that keeps the events posted to it."""

    def __init__(self):
        self.handlers = {}
        self.events = []

    def set_handler(self, kind, handler):
        self.handlers[kind] = handler

    def post(self, event):
        self.events.append(event)


@pytest_asyncio.fixture
async def engine():
    """Yields the URL of an engine that never ends an answer, and its bytes sent."""
    sent = [0]

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"data: ")
            while not writer.is_closing():
                writer.write(PART)
                await writer.drain()
                sent[0] += len(PART)
        except ConnectionError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}", sent
    server.close()


async def _have_room(session):
    """Stands for a link that takes everything."""


def _make_task(url, await_room=_have_room):
    core = CoreStandIn()
    endpoint = configuration.Endpoint(
        configuration.EndpointKind.MODEL, url, 2, False, "", ()
    )
    return core, endpoints.EndpointTask(endpoint, core, await_room)


async def _wait_for(core, kind):
    for _ in range(500):
        for event in core.events:
            if isinstance(event, kind):
                return event
        await asyncio.sleep(0.01)
    raise AssertionError(f"no {kind.__name__}")


# Guards against an attempt that ends without an outcome.
async def test_event_without_end_fails_the_attempt(engine):
    core, task = _make_task(engine[0])
    core.handlers[commands.CallEndpoint](CALL)
    failed = await _wait_for(core, events.EndpointFailed)
    assert failed.attempt_id == "a"
    await task.close()


# Guards against a probe that keeps bytes without end in memory.
async def test_load_report_without_end_is_given_up(engine):
    core, task = _make_task(engine[0])
    probes = asyncio.create_task(task.run_probes())
    probed = await _wait_for(core, events.EndpointProbed)
    assert probed.incarnation == ""
    probes.cancel()
    with pytest.raises(asyncio.CancelledError):
        await probes
    await task.close()
    assert engine[1][0] < 16 * endpoints.MAX_DOCUMENT_BYTES


# Guards against a status of a failing engine that the entry can't send to its caller.
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
async def test_status_outside_the_range_is_a_failure(status):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %s X\r\nContent-Length: 3\r\n\r\nbad" % status)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    core, task = _make_task(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
    core.handlers[commands.CallEndpoint](CALL)
    failed = await _wait_for(core, events.EndpointFailed)
    assert failed.sent
    kinds = [type(event) for event in core.events]
    assert events.EndpointAnswerStarted not in kinds
    await task.close()
    server.close()


# Guards against an agent that keeps what an engine sends faster than its link takes it.
@pytest.mark.parametrize("media_type", [b"text/event-stream", b"application/json"])
async def test_answer_is_read_only_while_the_link_has_room(media_type):
    asked = []

    async def have_no_room(session):
        asked.append(session)
        await asyncio.Event().wait()

    head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n" % media_type
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(b"data: a\n\n" * 1000)
                await writer.drain()
                sent += 9000

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    core, task = _make_task(url, have_no_room)
    core.handlers[commands.CallEndpoint](dataclasses.replace(CALL, session_id="s"))
    await asyncio.sleep(1.0)
    posted = [e for e in core.events if isinstance(e, events.EndpointPayloadsReceived)]
    assert asked == ["s"]
    assert sum(len(p) for event in posted for p in event.payloads) <= 1 << 20
    # The buffers of both sockets hold some, too.
    assert sent < 16 << 20
    await task.close()
    server.close()


# Guards against an answer that is small as sent and large once decoded.
async def test_encoded_answer_fails_the_attempt():
    async with endlesspeers.EndlessPeer("decoded body") as peer:
        core, task = _make_task(peer.url)
        core.handlers[commands.CallEndpoint](CALL)
        failed = await _wait_for(core, events.EndpointFailed)
        assert failed.sent
        kinds = {type(event) for event in core.events}
        assert events.EndpointPayloadsReceived not in kinds
        probed = await task._probe()
        assert probed.incarnation == ""
        await task.close()
