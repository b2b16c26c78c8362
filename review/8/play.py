"""Stops an entry by SIGTERM while clients that still know its address call it."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import deployment
import httpio
import store
import streams

# All clients state the same maximum, as those do that don't know how long an answer is.
TOKENS = "674,244"
GAP_S = 0.075
MAX_EVENTS = 60


async def play(record, trouble):
    """Plays the case; returns whether the rule was broken."""
    fleet = deployment.Deployment(
        record, "base,drain,config,cost,retry,recover,engine,stream,tenants,platform")
    try:
        return await play_with(fleet, record, trouble)
    finally:
        fleet.end()


async def play_with(fleet, record, trouble):
    entries = ["127.0.0.21", "127.0.0.22"]
    sides = ["127.0.0.31", "127.0.0.32"]
    fleet.choose_ports([*entries, *sides, "127.0.0.1"])
    platform_store = store.Store()
    await platform_store.start("127.0.0.1", fleet.ports["store"])
    platform_store.put("op", "config", streams.build_configuration())
    workers = []
    for number, side in enumerate(sides):
        worker = streams.Worker(f"i-{number}", record, GAP_S)
        workers.append(worker)
        await asyncio.start_server(worker.serve, side, fleet.ports["app"])
        platform_store.put("servers", worker.instance, streams.build_registration(
            worker.instance, f"{side}:{fleet.ports['app']}", f"z{number + 1}"))
    processes = [
        fleet.start(f"front-{number}", "entry", entry, f"z{number + 1}", entries)
        for number, entry in enumerate(entries)]
    for entry in entries:
        await fleet.wait_ready(entry)
    await asyncio.sleep(1.0)
    port = fleet.ports["front"]
    # Twelve usual streams, of 10 to 26 events, on the entry that will be stopped.
    for number in range(12):
        call = streams.Call(f"aa00000000{number:06x}", 10 + number * 16 // 11, TOKENS)
        await call.make(entries[0], port, record)
        if call.outcome != "answered 200":
            raise deployment.CannotRun(f"without any disruption: {call.outcome}")
    status, addresses = await httpio.call(
        entries[0], fleet.ports["directory"], "GET",
        f"/chicoryweir/resolve?name={streams.HOST}&region=r&zone=z1")
    record.write(f"the directory answers {status} {addresses.decode()}; a client keeps"
                 " it for three times ttl_s")
    began_at = time.monotonic()
    if trouble:
        processes[0].send_signal(signal.SIGTERM)
        record.write("SIGTERM to front-0")
    calls, tasks = [], []
    for number, after_s in enumerate((3.2, 3.4, 3.6, 3.8)):
        await asyncio.sleep(max(0.0, began_at + after_s - time.monotonic()))
        call = streams.Call(f"bb00000000{number:06x}", MAX_EVENTS, TOKENS)
        calls.append(call)
        tasks.append(asyncio.create_task(call.make(entries[0], port, record)))
    _, late = await asyncio.wait(tasks, timeout=12.0)
    for task in late:
        task.cancel()
    return is_broken(calls, workers, began_at, record)


def is_broken(calls, workers, began_at, record):
    """Applies the rule LOST to the requests around the SIGTERM."""
    broken = False
    for call in calls:
        ran = any(call.attempt in worker.received for worker in workers)
        after_s = call.sent_at - began_at
        lasted_s = call.ended_at - call.sent_at
        # None was sent within 3 s of the SIGTERM; route and deadline allow 8 s.
        counts = ran and call.is_cut and after_s > 3.0 and lasted_s < 8.0
        broken = broken or counts
        record.write(f"{call.attempt}: sent {after_s:.2f} s after the SIGTERM, passed on"
                     f" {ran}, {call.outcome} after {lasted_s:.2f} s: "
                     f"{'LOST' if counts else 'held'}")
    return broken


if __name__ == "__main__":
    deployment.run(HERE, play)
