"""Tests of endpoints whose answers have a status that HTTP doesn't have."""

import fleetstandins
import pytest

IDS = b"Chicoryweir-Attempt-Id: %s\r\n"
STAMP = b"Chicoryweir-Server-Stamp: s\r\n"
# Starts of answers; no caller may get their status or their body.
BAD_ANSWERS = {
    "000": b"HTTP/1.1 000 X\r\n",
    "099": b"HTTP/1.1 099 X\r\n",
    "600": b"HTTP/1.1 600 X\r\n",
    "999": b"HTTP/1.1 999 X\r\n",
    "interim": b"HTTP/1.1 102 X\r\n",
    "interim after an interim": b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n",
}
FRAMINGS = {
    "length": b"Content-Length: 3\r\n\r\nbad",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
    "close": b"\r\nbad",
}


def _create_endpoint(start, stamp, framing):
    async def answer(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        endpoint.answered = getattr(endpoint, "answered", 0) + 1
        if endpoint.name == "i-2":
            writer.write(fleetstandins.build_answer(attempt, b"id: 1\ndata: t\n\n"))
        else:
            writer.write(start + IDS % attempt.encode() + stamp + framing)
        await writer.drain()
        if framing is FRAMINGS["close"] and endpoint.name == "i-1":
            writer.close()

    return answer


@pytest.mark.parametrize("start", BAD_ANSWERS.values(), ids=BAD_ANSWERS)
@pytest.mark.parametrize("stamp", [STAMP, b""], ids=["stamped", "not stamped"])
@pytest.mark.parametrize("framing", FRAMINGS.values(), ids=FRAMINGS)
async def test_answer_with_such_a_status_is_a_failure_of_its_endpoint(
    start_system, start, stamp, framing
):
    answer = _create_endpoint(start, stamp, framing)
    bad = fleetstandins.EndpointStandIn("i-1", answer)
    system = await start_system(bad)
    status, _, body, complete = await system.call("/once/x")
    assert (status, complete) == (502, True)
    assert b"status" in body or b"valid" in body
    assert b"bad" not in body.replace(b"Bad Gateway", b"")
    good = fleetstandins.EndpointStandIn("i-2", answer)
    await good.start()
    system.store.put("servers", "i-2", good.build_registration())
    endpoints = system.entry._fleet.endpoints
    await fleetstandins.wait_until(lambda: len(endpoints.list_all()) == 2)
    for number, path in enumerate(["/again/x", "/stream/x"] * 2):
        status, _, body, complete = await system.call(path, attempt=f"a{number}")
        assert (status, body, complete) == (200, b"id: 1\ndata: t\n\n", True)
    good.close()
