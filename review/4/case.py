"""A planned stop cuts streams that the stopping entry accepted late."""

import asyncio
import pathlib
import random
import signal

from standins import clients
from standins import harness
from standins import platform
from standins import workers

# 60 events at the pace of a busy worker, within the 120 ms that the sheet allows.
EVENTS, PAUSE_S, FIRST_S = 60, 0.075, 0.15
DEADLINE_MS = 8000
# Callers, each with its own answer of the directory; every third keeps it three times
# as long as it says.
CLIENTS = 30
REQUESTS_PER_S = 45.0
WORKERS, SLOTS = 24, 12
GRACE_S = 8.0
EXCUSED_S = 3.0
# Entries are stopped and started in turn.
STOPS, STOP_PERIOD_S = 6, 12.0


async def run_client(record, directory, results, until):
    """Sends requests at random times, each on a new connection."""
    running = set()
    while record.now() < until:
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S / CLIENTS))
        address = await directory.pick()
        if address is not None:
            running.add(asyncio.create_task(run_request(record, address, results)))
    await asyncio.gather(*running)


async def run_request(record, address, results):
    """Sends one request."""
    attempt = clients.make_attempt_id()
    data = clients.build_request(
        "/lohu930/a", attempt, DEADLINE_MS, **clients.describe_prompt()
    )
    result = await clients.send(record, address, attempt, data, DEADLINE_MS)
    results.append((address[0], result))


async def stop_in_turn(record, entries, ports):
    """Stops and starts the entries in turn; returns when and where."""
    stops = []
    for number in range(STOPS):
        entry = entries[number % len(entries)]
        began = record.now()
        stops.append((entry.host, began))
        if harness.has_trouble():
            entry.signal(signal.SIGTERM)
            await entry.wait(GRACE_S + 0.5)
            await entry.start()
            await harness.await_ready(entry, ports.ready)
        await asyncio.sleep(max(0.0, began + STOP_PERIOD_S - record.now()))
    return stops


async def play(record, system):
    """Stops one entry of two as planned while clients stream."""
    system.logged = {"drain_started", "drain_timed_out", "daemon_stopped"}
    ports = harness.Ports()
    store = platform.Store()
    store_address = f"127.0.4.1:{ports.store}"
    await store.start("127.0.4.1", ports.store)
    servers = []
    for number in range(1, WORKERS + 1):
        worker = workers.StreamWorker(
            record,
            f"i-{number}",
            f"127.0.3.{number}",
            ports.app,
            EVENTS,
            PAUSE_S,
            FIRST_S,
        )
        await worker.start()
        servers.append(worker)
        row = platform.build_registration("huvo11a", worker.address, 1000 + number, slots=SLOTS)
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
    for number in (1, 2):
        host = f"127.0.2.{number}"
        name = f"front-{number}"
        settings = harness.build_settings(ports, store_address, name, host, "entry")
        entries.append(await system.start(name, "entry", host, settings))
    for entry in entries:
        await harness.await_ready(entry, ports.ready)

    results = []
    until = record.now() + 6.0 + STOPS * STOP_PERIOD_S
    hosts = [entry.host for entry in entries]
    tasks = []
    for number in range(CLIENTS):
        keeps = 3.0 if number % 3 == 0 else 1.0
        directory = clients.Directory(record, hosts, ports.directory, keeps)
        tasks.append(
            asyncio.create_task(run_client(record, directory, results, until))
        )
    await asyncio.sleep(6.0)
    stops = await stop_in_turn(record, entries, ports)
    await asyncio.gather(*tasks)

    runs = {run.attempt: run for server in servers for run in server.runs}
    lost = 0
    for host, result in sorted(results, key=lambda found: found[1].sent_at):
        run = runs.get(result.attempt)
        record.write(
            f"{result.attempt} to {host} sent {result.sent_at:.3f} "
            f"ended {result.ended_at:.3f} status {result.status} "
            f"complete {result.complete} events {len(result.event_ids)} "
            f"at a worker {run is not None} whole there {bool(run and run.whole)}"
        )
        if run is None or result.complete or result.gave_up or run.whole:
            continue
        if result.ended_at > result.sent_at + DEADLINE_MS / 1000 - 0.05:
            continue
        for stopped, at in stops:
            sent_s, ended_s = result.sent_at - at, result.ended_at - at
            if (
                host == stopped
                and EXCUSED_S < sent_s < GRACE_S
                and ended_s <= GRACE_S + 1.0
            ):
                lost += 1
                record.write(
                    f"LOST: {result.attempt} sent {sent_s:.2f} s after SIGTERM, passed "
                    f"on, cut {ended_s:.2f} s after SIGTERM, {ended_s - sent_s:.2f} s "
                    f"after it was sent, with {len(result.event_ids)} of {EVENTS} events"
                )
    complete = sum(result.complete for _, result in results)
    record.write(f"{len(results)} requests, {complete} complete, {lost} lost")
    return lost == 0


if __name__ == "__main__":
    harness.run(pathlib.Path(__file__).parent, play)
