"""Tests of data centres that the operator evacuates by rows of the store."""

import asyncio
import time

import fleetstandins
import pytest

from chicoryweir_daemon.forwarder import freezes
from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.http1 import connections
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import evacuations
from fleet_platform import store as rowstores

# Time within which an evacuation must be in force, from the platform's bound.
EVACUATION_S = 5.0


async def _answer(endpoint, headers, writer):
    writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
    await writer.drain()


async def _start(start_system, handler=_answer, **options):
    """Starts an entry with one endpoint in each of two data centres."""
    near = fleetstandins.EndpointStandIn("i-near", handler)
    far = fleetstandins.EndpointStandIn("i-far", _answer)
    system = await start_system(near, far, **options)
    registration = far.build_registration(zone="kutaisi")
    system.store.put("servers", "i-far", registration)
    table = system.entry._fleet.endpoints
    await fleetstandins.wait_until(
        lambda: table.get("i-far").data_centre == "kutaisi", 3.0
    )
    return system, near, far


async def _wait_until_evacuated(system, *names):
    known = system.entry._fleet.evacuations
    await fleetstandins.wait_until(
        lambda: known.list_evacuated() == sorted(names), EVACUATION_S
    )


def _freeze():
    """Blocks the event loop, as a stopped process does."""
    time.sleep(freezes.FROZEN_S + 0.2)


def _record_events(system, monkeypatch):
    events = []

    def record(number, *args, **inputs):
        events.append((catalogue.NAMES[number], inputs))

    monkeypatch.setattr(system.entry._event_log, "record", record)
    return events


# Guards against requests to the endpoints of an evacuated data centre, and against
# running ones that are cut.
async def test_evacuated_data_centre_gets_no_requests_until_the_row_is_deleted(
    start_system, write_events, monkeypatch
):
    async def answer(endpoint, headers, writer):
        if headers.get("accept") == "events":
            await write_events(headers, writer, 1, 20, pause_s=0.05)
        else:
            await _answer(endpoint, headers, writer)

    system, near, far = await _start(start_system, answer)
    table = system.entry._fleet.endpoints
    events = _record_events(system, monkeypatch)
    system.store.delete("servers", "i-far")
    await fleetstandins.wait_until(lambda: table.get("i-far") is None)
    stream = asyncio.create_task(system.call("/stream/x", Accept="events"))
    await fleetstandins.wait_until(lambda: near.requests)
    system.store.put("servers", "i-far", far.build_registration(zone="kutaisi"))
    # The value isn't readable, which must not matter.
    system.store.put("op", "evacuate/telavi", b"\xff")
    await fleetstandins.wait_until(lambda: table.get("i-far") is not None)
    calls = [system.call("/again/x", attempt=f"b{number}") for number in range(6)]
    assert [answered[0] for answered in await asyncio.gather(*calls)] == [200] * 6
    assert (len(near.requests), len(far.requests)) == (1, 6)
    status, _, body, complete = await stream
    assert (status, complete, body.count(b"data: t")) == (200, True, 20)
    await fleetstandins.wait_until(
        lambda: "evacuation_drained" in [name for name, _ in events]
    )
    system.store.delete("op", "evacuate/telavi")
    await fleetstandins.wait_until(
        lambda: "evacuation_ended" in [name for name, _ in events]
    )
    for number in range(6):
        await system.call("/again/x", attempt=f"c{number}")
    assert len(near.requests) > 1
    names = [name for name, _ in events if name.startswith("evacuation")]
    assert names == ["evacuation_started", "evacuation_drained", "evacuation_ended"]


async def test_request_is_rejected_at_once_if_all_its_endpoints_are_evacuated(
    start_system, monkeypatch
):
    async def hold(endpoint, headers, writer):
        await asyncio.sleep(1.5)
        await _answer(endpoint, headers, writer)

    endpoint = fleetstandins.EndpointStandIn("i-1", hold)
    system = await start_system(endpoint)
    events = _record_events(system, monkeypatch)
    running = [
        asyncio.create_task(system.call("/once/x", attempt=f"a{n}")) for n in range(2)
    ]
    await fleetstandins.wait_until(lambda: len(endpoint.requests) == 2)
    queued = asyncio.create_task(system.call("/once/x", attempt="queued"))
    await asyncio.sleep(0.1)
    system.store.put("op", "evacuate/telavi", {})
    system.store.put("op", "evacuate/nowhere", {})
    system.store.put("op", "evacuate/", {})
    for call in (queued, system.call("/once/x", attempt="late")):
        status, headers, _, _ = await call
        assert status == 503
        assert 0.1 <= float(headers["retry-after"]) <= 2.7
    assert not any(call.done() for call in running)
    assert [(await call)[0] for call in running] == [200, 200]
    await fleetstandins.wait_until(
        lambda: "evacuation_unknown" in [name for name, _ in events]
    )
    found = [(name, i.get("data_centre")) for name, i in events if "evac" in name]
    assert found.count(("service_evacuated", None)) == 1
    assert found.count(("evacuation_ignored", "")) == 1
    assert [d for n, d in found if n == "evacuation_unknown"] == ["nowhere"]


# Guards against an entry that starts while the store is down and knows no evacuations.
async def test_entry_that_starts_without_the_store_learns_from_another(start_system):
    first, near, far = await _start(start_system)
    first.store.put("op", "evacuate/telavi", {})
    await _wait_until_evacuated(first, "telavi")
    second = await start_system(host="127.0.0.2", peer=first)
    assert second.entry._fleet.evacuations.is_evacuated("telavi")
    assert (await second.call("/again/x"))[0] == 200
    assert (len(near.requests), len(far.requests)) == (0, 1)
    first.store.delete("op", "evacuate/telavi")
    await _wait_until_evacuated(second)


# Guards against a request that is sent although the evacuation began while its
# connection was opened.
async def test_attempt_that_is_not_sent_yet_goes_elsewhere(start_system, monkeypatch):
    system, near, far = await _start(start_system)
    known = system.entry._fleet.evacuations
    acquire = system.entry._pool.acquire

    async def acquire_late(address, fresh, now):
        connection = await acquire(address, fresh, now)
        if address.port == near.port:
            record = evacuations.Record("telavi", 1, system.store.version + 1, True)
            known.apply_changes([record], 0.0)
        return connection

    monkeypatch.setattr(system.entry._pool, "acquire", acquire_late)
    for number in range(4):
        assert (await system.call("/once/x", attempt=f"a{number}"))[0] == 200
    assert (len(near.requests), len(far.requests)) == (0, 4)


# Guards against requests that a frozen entry reads before it learns what it missed.
async def test_entry_that_was_frozen_sends_nothing_before_it_asked_the_store(
    start_system,
):
    system, near, far = await _start(start_system)
    connected = [await system.connect() for _ in range(4)]
    await asyncio.sleep(0.1)
    for number, (_, writer) in enumerate(connected):
        writer.write(system.encode_request("/again/x", attempt=f"a{number}"))
    system.store.put("op", "evacuate/telavi", {})
    _freeze()
    for reader, writer in connected:
        assert (await system.read_answer(reader))[0] == 200
        writer.close()
    assert (len(near.requests), len(far.requests)) == (0, 4)


# Guards against a listing that misses evacuations beyond its first page.
@pytest.mark.parametrize("count", [3, 700])
async def test_all_evacuations_are_read(count):
    store = fleetstandins.StoreStandIn()
    server = await store.start()
    for number in range(count):
        store.put("op", f"evacuate/n{number}", {})
    store.put("op", "a-note", {})
    client = rowstores.RowStore(
        connections.Pool(), process.Listener("127.0.0.1", store.port)
    )
    found = await client.read_configuration()
    assert len(found.evacuations) == count
    assert store.calls["rows-get"] == 1 + count // 500
    assert {record.era for record in found.evacuations} == {1}
    server.close()
