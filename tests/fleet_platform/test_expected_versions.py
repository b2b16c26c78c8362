"""Tests of requests that only endpoints with a given version of the weights run."""

import asyncio

import fleetstandins
import pytest

DECLINED = b"HTTP/1.1 421 X\r\n%s%sContent-Length: 0\r\n\r\n"


def _create_endpoint(name, version, states_version=True):
    async def answer(endpoint, headers, writer):
        attempt = headers["chicoryweir-attempt-id"]
        if headers.get("chicoryweir-expect-version", str(version)) == str(version):
            writer.write(fleetstandins.build_answer(attempt))
            return
        stated = b"Chicoryweir-Weight-Versions: %d\r\n" % version
        writer.write(
            DECLINED
            % (
                b"Chicoryweir-Attempt-Id: %s\r\n" % attempt.encode(),
                stated if states_version else b"",
            )
        )

    return fleetstandins.EndpointStandIn(name, answer)


def _count_usable(system):
    now = asyncio.get_running_loop().time()
    return len(system.entry._fleet.endpoints.list_usable("svc", now))


# Guards against a caller that takes sound endpoints out of use by asking for a version
# of the weights that they don't have.
@pytest.mark.parametrize("states_version", [True, False])
@pytest.mark.parametrize("path", ["/once/x", "/again/x", "/stream/x"])
async def test_endpoints_of_another_version_stay_in_use(
    start_system, path, states_version
):
    endpoints = [_create_endpoint(f"i-{n}", 2, states_version) for n in range(4)]
    system = await start_system(*endpoints)
    for number in range(12):
        status, *_ = await system.call(
            path, attempt=f"a{number}", Chicoryweir_Expect_Version="1"
        )
        assert status == 503
    assert _count_usable(system) == 4
    for number in range(8):
        assert (await system.call("/once/x", attempt=f"b{number}"))[0] == 200
    assert all(endpoint.requests for endpoint in endpoints)


# Guards against callers that are rejected while an endpoint has the version. Each
# endpoint that declines counts against the attempts of the route.
async def test_request_is_served_by_an_endpoint_of_its_version(start_system):
    endpoints = [_create_endpoint("i-1", 1), _create_endpoint("i-2", 2)]
    system = await start_system(*endpoints)
    for number in range(6):
        status, *_ = await system.call(
            "/again/x", attempt=f"a{number}", Chicoryweir_Expect_Version="2"
        )
        assert status == 200
    assert _count_usable(system) == 2


# Guards against displaced endpoints that stay in use since a caller asks for a version.
async def test_displaced_endpoint_of_the_same_version_is_not_used_again(start_system):
    async def decline(endpoint, headers, writer):
        writer.write(DECLINED % (b"", b"Chicoryweir-Weight-Versions: 2\r\n"))

    displaced = fleetstandins.EndpointStandIn("i-1", decline)
    system = await start_system(displaced, _create_endpoint("i-2", 2))
    for number in range(6):
        status, *_ = await system.call(
            "/once/x", attempt=f"a{number}", Chicoryweir_Expect_Version="2"
        )
        assert status == 200
    assert len(displaced.requests) <= 1
    assert _count_usable(system) == 1
