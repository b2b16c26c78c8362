"""Tests of answers with neither a length nor chunks, and of streams cut in an event."""

import asyncio
import socket
import struct

import fleetstandins
import pytest

EVENTS = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 5))
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# Larger than what an entry buffers before it begins to pass an answer on.
LARGE_BODY = b"0123456789abcdef" * 20_000


def _encode_head(headers, framing=b""):
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Chicoryweir-Attempt-Id: %s\r\nChicoryweir-Server-Stamp: s\r\n%s\r\n"
        % (headers["chicoryweir-attempt-id"].encode(), framing)
    )


def _encode_framed(headers, framing, data):
    """Returns a complete answer with `data` as its body."""
    match framing:
        case "chunks":
            head = _encode_head(headers, CHUNKED)
            return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data)
        case "length":
            head = _encode_head(headers, b"Content-Length: %d\r\n" % len(data))
            return head + data
        case _:
            return _encode_head(headers) + data


def _build_endpoints(first_answer):
    """Returns two endpoints; the request is answered in full after its first run.

    Args:
        first_answer: Called with the headers and the writer of the first run.
    """
    runs = []

    async def answer(endpoint, headers, writer):
        runs.append(headers)
        if len(runs) == 1:
            await first_answer(headers, writer)
            return
        last = int(headers.get("last-event-id", 0))
        rest = EVENTS.split(b"\n\n", last)[-1]
        writer.write(_encode_framed(headers, "chunks", rest))
        await writer.drain()

    endpoints = [fleetstandins.EndpointStandIn(f"i-{n}", answer) for n in (1, 2)]
    return endpoints, runs


def _build_configuration(resumable):
    config = fleetstandins.build_configuration()
    config["routes"][0]["stream_resume"] = resumable
    return config


async def _end(writer, reset):
    """Ends a connection after its data has left, in order or by a reset."""
    await writer.drain()
    await asyncio.sleep(0.05)
    if reset:
        linger = struct.pack("ii", 1, 0)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
    else:
        writer.close()


@pytest.mark.parametrize("path", ["/stream/x", "/again/x", "/once/x"])
async def test_answer_with_neither_length_nor_chunks_ends_with_its_connection(
    start_system, path
):
    async def answer(headers, writer):
        for event in EVENTS.splitlines(keepends=True):
            head = b"" if event != b"id: 1\n" else _encode_head(headers)
            writer.write(head + event)
            await writer.drain()
        await _end(writer, reset=False)

    endpoints, runs = _build_endpoints(answer)
    system = await start_system(*endpoints)
    status, headers, body, complete = await system.call(path)
    assert (status, body, complete) == (200, EVENTS, True)
    assert headers["chicoryweir-server-stamp"] == "s"
    assert len(runs) == 1


async def test_large_answer_with_neither_length_nor_chunks_is_passed_on_whole(
    start_system,
):
    async def answer(headers, writer):
        writer.write(_encode_head(headers) + LARGE_BODY)
        await _end(writer, reset=False)

    endpoints, _ = _build_endpoints(answer)
    system = await start_system(*endpoints)
    status, _, body, complete = await system.call("/once/x")
    assert (status, body, complete) == (200, LARGE_BODY, True)


async def test_large_answer_with_neither_length_nor_chunks_is_incomplete_if_reset(
    start_system,
):
    async def answer(headers, writer):
        writer.write(_encode_head(headers) + LARGE_BODY)
        await _end(writer, reset=True)

    endpoints, runs = _build_endpoints(answer)
    system = await start_system(*endpoints)
    status, _, _, complete = await system.call("/once/x")
    assert (status, complete) == (200, False)
    assert len(runs) == 1


@pytest.mark.parametrize(
    ("path", "status", "run_count"), [("/again/x", 200, 2), ("/once/x", 502, 1)]
)
async def test_reset_answer_with_neither_length_nor_chunks_is_not_passed_on(
    start_system, path, status, run_count
):
    async def answer(headers, writer):
        writer.write(_encode_head(headers) + b"part")
        await _end(writer, reset=True)

    endpoints, runs = _build_endpoints(answer)
    system = await start_system(*endpoints)
    answered, _, body, complete = await system.call(path)
    assert (answered, complete) == (status, True)
    assert b"part" not in body
    assert len(runs) == run_count


async def test_reset_stream_with_neither_length_nor_chunks_is_resumed(start_system):
    async def answer(headers, writer):
        writer.write(_encode_head(headers) + EVENTS[:32])
        await _end(writer, reset=True)

    endpoints, runs = _build_endpoints(answer)
    system = await start_system(*endpoints)
    status, _, body, complete = await system.call("/stream/x")
    assert (status, body, complete) == (200, EVENTS, True)
    assert [run.get("last-event-id") for run in runs] == [None, "2"]


CUTS = [len(EVENTS) - 1, len(EVENTS) - 2, len(EVENTS) - 9, len(EVENTS) - 17, 17, 4]


# Guards against streams that look complete although they ended inside an event.
@pytest.mark.parametrize("framing", ["connection", "chunks", "length"])
@pytest.mark.parametrize("cut", CUTS)
async def test_stream_that_ends_inside_an_event_is_resumed(start_system, framing, cut):
    async def answer(headers, writer):
        writer.write(_encode_framed(headers, framing, EVENTS[:cut]))
        await _end(writer, reset=False)

    endpoints, runs = _build_endpoints(answer)
    system = await start_system(*endpoints)
    status, _, body, complete = await system.call("/stream/x")
    assert (status, body, complete) == (200, EVENTS, True)
    received = EVENTS[:cut].count(b"\n\n")
    assert runs[1].get("last-event-id") == (str(received) if received else None)


@pytest.mark.parametrize("framing", ["connection", "chunks", "length"])
async def test_stream_that_ends_inside_an_event_is_broken_off_if_it_cannot_resume(
    start_system, framing
):
    async def answer(headers, writer):
        writer.write(_encode_framed(headers, framing, EVENTS[:-1]))
        await _end(writer, reset=False)

    endpoints, runs = _build_endpoints(answer)
    system = await start_system(*endpoints, config=_build_configuration(False))
    status, _, body, complete = await system.call("/stream/x")
    assert (status, complete) == (200, False)
    assert EVENTS.startswith(body)
    assert len(runs) == 1


# Guards against passing on an empty stream as the answer of an endpoint that crashed
# before its first event.
async def test_stream_with_neither_length_nor_chunks_nor_events_is_broken_off(
    start_system,
):
    async def answer(headers, writer):
        writer.write(_encode_head(headers))
        await _end(writer, reset=False)

    endpoints, runs = _build_endpoints(answer)
    system = await start_system(*endpoints)
    status, _, body, complete = await system.call("/stream/x")
    assert (status, body, complete) == (200, EVENTS, True)
    assert len(runs) == 2


async def test_empty_framed_stream_is_complete(start_system):
    async def answer(headers, writer):
        writer.write(_encode_framed(headers, "length", b""))
        await writer.drain()

    endpoints, runs = _build_endpoints(answer)
    system = await start_system(*endpoints)
    status, _, body, complete = await system.call("/stream/x")
    assert (status, body, complete) == (200, b"", True)
    assert len(runs) == 1
