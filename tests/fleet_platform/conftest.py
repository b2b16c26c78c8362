"""Fixtures that run entries against stand-ins of the platform."""

import asyncio

import fleetstandins
import pytest
import pytest_asyncio

from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import service
from chicoryweir_daemon.lifecycle import eventloop
from chicoryweir_standins.launch import ports
from fleet_platform import adapters


@pytest_asyncio.fixture
async def start_system():
    """Returns a function that starts an entry with its stand-ins.

    All are stopped after the test. With a `peer`, the store is down, so the entry can
    fetch its state only from that peer, unless it shares that peer's store.
    """
    started = []

    async def start(
        *endpoints,
        config=None,
        host="127.0.0.1",
        peer=None,
        source=None,
        name=None,
        store=None,
    ):
        servers = []
        if store is None:
            store = fleetstandins.StoreStandIn()
            store.down = peer is not None
            servers.append(await store.start())
        if config is not False and (peer is None or store is not peer.store):
            store.put("op", "config", config or fleetstandins.build_configuration())
        for endpoint in endpoints:
            await endpoint.start()
            servers.append(endpoint)
            store.put("servers", endpoint.name, endpoint.build_registration())
        free_ports = iter(ports.pick_ports(5, host))
        settings = process.Settings(
            name=name or f"front-{host}",
            host=host,
            data_centre="telavi",
            callers=process.Listener(host, next(free_ports)),
            readiness=process.Listener(host, next(free_ports)),
            resolution=process.Listener(host, next(free_ports)),
            peer_port=peer.settings.peer_port if peer else next(free_ports),
            metrics_port=next(free_ports),
            seeds=(peer.settings.host,) if peer else (),
            store=process.Listener("127.0.0.1", store.port),
            heartbeat_s=1.2,
            bounds=process.Bounds(8.0, 0.2, 90.0, 10.0, 1.5, 5.0, 2.0, 5.0),
        )
        entry = service.Service(
            settings,
            adapters.bind_adapters(settings),
            source or fleetstandins.UnchangedSettings(),
            eventloop.Requests(),
        )
        task = asyncio.create_task(entry.run())
        system = fleetstandins.System(store, entry, settings, task)
        started.append((system, servers))
        fleet = entry._fleet
        if config is not False:
            await fleetstandins.wait_until(lambda: fleet.is_ready or task.done())
            if task.done():
                task.result()
                raise AssertionError("the entry ended before it was ready")
        return system

    yield start
    for system, servers in started:
        system.task.cancel()
        await asyncio.gather(system.task, return_exceptions=True)
        for server in servers:
            server.close()


@pytest.fixture
def write_events():
    """Returns a function that writes a range of a stream's events.

    With `end=False`, the stream is not terminated by an empty chunk.
    """

    async def write(headers, writer, first, last, pause_s=0.0, end=True):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Chicoryweir-Attempt-Id: %s\r\nChicoryweir-Server-Stamp: s%d\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % (headers["chicoryweir-attempt-id"].encode(), first)
        )
        for number in range(first, last + 1):
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause_s)
        if end:
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    return write
