"""One row that can't be read, among the workers' rows, ends all entries."""

import asyncio
import json
import pathlib

from standins import clients
from standins import harness
from standins import platform
from standins import workers

ENTRIES = 3
DEADLINE_MS = 8000
# The rule counts processes that end by themselves three times.
MAX_ENDS = 3
RESTART_DELAY_S = 0.5
LENGTH_S = 45.0
# Depth to which the field `models` of the row is nested; PROTOCOL.md has it as a list.
DEPTH = 1200


def build_unreadable_row(address):
    """Returns a row of another writer, with the field `models` of another type."""
    row = platform.build_registration("huvo11a", address, 5)
    text = json.dumps(row)[:-1]
    return f'{text}, "models": {"[" * DEPTH}{"]" * DEPTH}}}'.encode()


async def keep_running(record, entry):
    """Starts an entry again whenever it ends, as the platform does."""
    while True:
        await entry.wait(3600.0)
        await asyncio.sleep(RESTART_DELAY_S)
        await entry.start()


async def play(record, system):
    """Lets another writer store a row while clients are served."""
    system.logged = {"daemon_stopped", "invariant_violated", "daemon_started"}
    ports = harness.Ports()
    store = platform.Store()
    store_address = f"127.0.4.1:{ports.store}"
    await store.start("127.0.4.1", ports.store)
    servers = []
    for number in (1, 2, 3):
        worker = workers.StreamWorker(
            record, f"i-{number}", f"127.0.3.{number}", ports.app, 20, 0.03, 0.1
        )
        await worker.start()
        servers.append(worker)
        row = platform.build_registration("huvo11a", worker.address, 1000 + number)
        store.put("servers", worker.instance, row)
    route = platform.build_route(
        "r-1", "/lohu930/", "stream", "huvo11a", 8000, stream_resume=True, gap_aim_ms=120
    )
    store.put(
        "op",
        "config",
        platform.build_configuration([route], [platform.build_service("huvo11a")]),
    )
    entries = []
    for number in range(1, ENTRIES + 1):
        host = f"127.0.2.{number}"
        name = f"front-{number}"
        settings = harness.build_settings(ports, store_address, name, host, "entry")
        entries.append(await system.start(name, "entry", host, settings))
    for entry in entries:
        await harness.await_ready(entry, ports.ready)
    keepers = [asyncio.create_task(keep_running(record, entry)) for entry in entries]

    results = []
    hosts = [entry.host for entry in entries]
    directory = clients.Directory(record, hosts, ports.directory)
    row_at = record.now() + 5.0
    until = record.now() + LENGTH_S
    is_stored = False
    running = set()

    async def ask():
        address = await directory.pick()
        if address is None:
            return
        attempt = clients.make_attempt_id()
        data = clients.build_request(
            "/lohu930/a", attempt, DEADLINE_MS, **clients.describe_prompt()
        )
        asked_at = record.now()
        result = await clients.send(record, address, attempt, data, DEADLINE_MS)
        results.append((asked_at, result))
        record.write(
            f"{attempt} to {address[0]} at {asked_at:.3f} status "
            f"{result.status} complete {result.complete}"
        )

    while record.now() < until:
        if harness.has_trouble() and not is_stored and record.now() >= row_at:
            is_stored = True
            row = build_unreadable_row(f"127.0.3.9:{ports.app}")
            store.put("servers", "i-other", row)
            record.write(f"another writer stores servers/i-other, {len(row)} bytes")
        running.add(asyncio.create_task(ask()))
        await asyncio.sleep(0.2)
    await asyncio.gather(*running)
    for keeper in keepers:
        keeper.cancel()

    ended = [entry for entry in entries if len(entry.ends) >= MAX_ENDS]
    before = [r for at, r in results if at < row_at]
    after = [r for at, r in results if at >= row_at + 10.0]
    record.write(
        f"before the row {sum(r.complete and r.status == 200 for r in before)} of "
        f"{len(before)} served; later than 10 s after it "
        f"{sum(r.complete and r.status == 200 for r in after)} of {len(after)}"
    )
    for entry in entries:
        record.write(f"{entry.name} ended by itself {len(entry.ends)} times")
    return len(ended) < 2


if __name__ == "__main__":
    harness.run(pathlib.Path(__file__).parent, play)
