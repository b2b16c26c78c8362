"""Tests of endpoints that stop in the middle of an answer's head and close."""

import fleetstandins
import pytest

HEAD = (
    "HTTP/1.1 200 OK\r\nChicoryweir-Attempt-Id: {}\r\nChicoryweir-Server-Stamp: s\r\n"
    "Content-Type: text/event-stream\r\nContent-Length: 5\r\n\r\n"
)
# Ends of the part that is sent: in each line, at its end, and before the empty line.
CUTS = [3, 12, 17, 30, 60, 95, 130, 140, 150, len(HEAD) - 2]


def _create_endpoint(cut, reset):
    async def answer(endpoint, headers, writer):
        if endpoint.cuts_left:
            endpoint.cuts_left -= 1
            head = HEAD.format(headers["chicoryweir-attempt-id"]).encode()
            writer.write(head[:cut])
            await writer.drain()
            if reset:
                writer.transport.abort()
            else:
                writer.close()
            return
        writer.write(
            fleetstandins.build_answer(
                headers["chicoryweir-attempt-id"], b"id: 1\ndata: t\n\n"
            )
        )
        await writer.drain()

    endpoint = fleetstandins.EndpointStandIn("i-1", answer)
    endpoint.cuts_left = 1
    return endpoint


# Guards against a 200 with an empty or short body, framed as whole, in place of an
# answer whose head was cut.
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("reset", [False, True])
async def test_request_that_may_not_run_twice_gets_502(start_system, cut, reset):
    system = await start_system(_create_endpoint(cut, reset))
    status, _, _, complete = await system.call("/once/x")
    assert (status, complete) == (502, True)


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("path", ["/again/x", "/stream/x"])
async def test_request_that_may_run_twice_gets_the_whole_answer(
    start_system, cut, path
):
    first, second = _create_endpoint(cut, False), _create_endpoint(cut, False)
    first.name, second.name = "i-1", "i-2"
    system = await start_system(first, second)
    second.cuts_left = first.cuts_left = 0
    first.cuts_left = 1
    for number in range(2):
        status, _, body, complete = await system.call(path, attempt=f"a{number}")
        assert (status, body, complete) == (200, b"id: 1\ndata: t\n\n", True)
