"""Tests of streams whose callers read slowly, and of the connections to endpoints."""

import asyncio
import socket

import fleetstandins
import pytest

EVENTS, EVENT_BYTES = 160, 60_000
# An endpoint ends a stream of which nothing was read for this time, in seconds.
UNREAD_S = 4.0
PAUSE_S = 3.0
# What is held of one connection: 64 KiB, and what was received at a time.
MAX_HELD_BYTES = 65_536 + 65_536


def _encode_event(number):
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)


async def _read_body(reader):
    """Returns the body of a chunked answer as its parts arrive."""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        yield (await reader.readexactly(size + 2))[:-2]


# Guards against a stream that is broken off, or run again, because its caller read
# nothing for 3 s: the endpoint counted as stalled while the entry didn't read.
@pytest.mark.parametrize("has_others", [True, False])
async def test_caller_that_stops_reading_for_some_seconds_gets_its_stream(
    start_system, write_events, has_others
):
    runs, unread = [], []

    async def answer(endpoint, headers, writer):
        if headers["chicoryweir-attempt-id"] == "other":
            await write_events(headers, writer, 1, 150, pause_s=0.05)
            return
        runs.append(headers.get("last-event-id"))
        await write_events(headers, writer, 1, 0, end=False)
        for number in range(1, EVENTS + 1):
            event = _encode_event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            try:
                await asyncio.wait_for(writer.drain(), UNREAD_S)
            except TimeoutError:
                unread.append(number)
                writer.transport.abort()
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    endpoint = fleetstandins.EndpointStandIn("i-1", answer)
    system = await start_system(endpoint)
    remaining = {"Chicoryweir_Deadline_Remaining_Ms": "8000"}
    other = asyncio.create_task(asyncio.sleep(0))
    if has_others:
        call = system.call("/stream/y", attempt="other", **remaining)
        other = asyncio.create_task(call)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    caller.setblocking(False)
    callers = system.settings.callers
    await asyncio.get_running_loop().sock_connect(caller, (callers.host, callers.port))
    reader, writer = await asyncio.open_connection(sock=caller, limit=131_072)
    writer.write(system.encode_request("/stream/x", **remaining))
    await reader.readuntil(b"\r\n\r\n")
    received, held = b"", []
    async for part in _read_body(reader):
        before = len(received) // EVENT_BYTES
        received += part
        after = len(received) // EVENT_BYTES
        if before < 10 <= after:
            await asyncio.sleep(PAUSE_S)
            holdings = system.entry._account._holdings
            held = [holding.holder.measure_memory() for holding in holdings]
        elif after < 10 or after % 10 == 0:
            await asyncio.sleep(0.01)
    other.cancel()
    writer.close()
    await writer.wait_closed()
    assert received == b"".join(map(_encode_event, range(1, EVENTS + 1)))
    assert (runs, unread) == ([None], [])
    assert max(held) <= MAX_HELD_BYTES
