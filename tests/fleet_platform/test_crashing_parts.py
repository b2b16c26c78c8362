"""Tests of prompt parts that crash every endpoint that begins to answer on them."""

import asyncio

import fleetstandins

SHARED = "5c1e07a2:800"
CRASHING = "91bd3f06:410"
# Time until a crashed endpoint listens again.
RESTART_S = 0.3


class CrashingEndpoint(fleetstandins.EndpointStandIn):
    """Endpoint that crashes when it begins to answer a prompt with `CRASHING`."""

    def __init__(self, name, write_events):
        super().__init__(name, self._answer)
        self._write_events = write_events
        self.store = None
        self.crashes = 0
        self._restarts = set()

    async def _answer(self, _, headers, writer):
        if CRASHING not in headers["chicoryweir-prompt-prefix"]:
            await self._write_events(headers, writer, 1, 4)
            return
        await self._write_events(headers, writer, 1, 0, end=False)
        self.crashes += 1
        self.crash()
        restart = asyncio.create_task(self._restart())
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self):
        await asyncio.sleep(RESTART_S)
        await self.start()
        registration = self.build_registration(born=1 + self.crashes)
        self.store.put("servers", self.name, registration)


async def _start_entries(start_system, write_events):
    endpoints = [CrashingEndpoint(f"i-{n}", write_events) for n in range(3)]
    first = await start_system(*endpoints)
    second = await start_system(host="127.0.0.2", peer=first)
    for endpoint in endpoints:
        endpoint.store = first.store
    return endpoints, (first, second)


async def _call(system, attempt, *shared_parts):
    parts = ",".join((*shared_parts, f"{attempt}:250"))
    return await system.call(
        "/stream/x",
        body=attempt.encode(),
        attempt=attempt,
        Chicoryweir_Prompt_Prefix=parts,
    )


# Guards against endpoints that crash one after the other because no two of the requests
# that crash them are alike.
async def test_part_that_crashes_endpoints_is_rejected_by_every_entry(
    start_system, write_events
):
    endpoints, systems = await _start_entries(start_system, write_events)
    for number, system in enumerate(systems):
        assert (await _call(system, f"50{number}", SHARED))[0] == 200
    for number in range(8):
        system = systems[number % 2]
        await _call(system, f"c{number}", SHARED, CRASHING)
        await asyncio.sleep(1.5 * RESTART_S)
        status, _, body, complete = await _call(system, f"a{number}", SHARED)
        assert (status, complete) == (200, True)
        assert body.endswith(b"t4\n\n")
    assert sum(endpoint.crashes for endpoint in endpoints) == 1


# Guards against missing a silent crash whose requests were given up by their callers.
async def test_part_is_held_if_the_caller_left_before_the_crash_was_known(start_system):
    async def go_silent(_, headers, writer):
        await asyncio.sleep(10.0)

    endpoint = fleetstandins.EndpointStandIn("i-1", go_silent)
    system = await start_system(endpoint)
    parts = system.entry._fleet.crashes.parts
    _, writer = await system.connect()
    writer.write(
        system.encode_request(
            "/stream/x", Chicoryweir_Prompt_Prefix=f"{CRASHING},e4402b7d:250"
        )
    )
    await asyncio.sleep(0.6)
    writer.close()
    await fleetstandins.wait_until(lambda: endpoint.closed_by_client)
    assert parts.count_held() == 0
    system.store.delete("servers", endpoint.name)
    await fleetstandins.wait_until(lambda: parts.count_held() == 1)
