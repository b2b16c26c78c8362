"""Sends SIGHUP to an entry, and streams that their workers preempt for a while."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import deployment
import store
import streams

TOKENS = "674,244"
GAP_S = 0.06
EVENTS = 60
# Streams that are preempted on each of their workers, and for how long. Clients leave
# after a gap of 2 s.
PREEMPTED = "bb"
PAUSE_S = 1.3
CONFIG_S = 2.0


async def play(record, trouble):
    """Plays the case; returns whether the rule was broken."""
    fleet = deployment.Deployment(
        record, "base,drain,config,cost,retry,recover,engine,stream,tenants,platform")
    try:
        return await play_with(fleet, record, trouble)
    finally:
        fleet.end()


def make_pauses(trouble):
    """Returns what tells when an answer pauses: once on each worker that runs it."""
    paused = set()

    def find_pause(instance, attempt, number):
        if not trouble or not attempt.startswith(PREEMPTED):
            return 0.0
        # The newest request of a worker is preempted once it has written some events.
        count = sum(key[1] == attempt for key in paused)
        if (instance, attempt) in paused or number < 12 * (count + 1):
            return 0.0
        paused.add((instance, attempt))
        return PAUSE_S

    return find_pause


async def play_with(fleet, record, trouble):
    entries = ["127.0.0.21", "127.0.0.22"]
    sides = ["127.0.0.31", "127.0.0.32", "127.0.0.33"]
    fleet.choose_ports([*entries, *sides, "127.0.0.1"])
    platform_store = store.Store()
    await platform_store.start("127.0.0.1", fleet.ports["store"])
    platform_store.put("op", "config", streams.build_configuration())
    find_pause = make_pauses(trouble)
    workers = []
    for number, side in enumerate(sides):
        instance = f"i-{number}"
        worker = streams.Worker(
            instance, record, GAP_S,
            lambda attempt, event, name=instance: find_pause(name, attempt, event))
        workers.append(worker)
        await asyncio.start_server(worker.serve, side, fleet.ports["app"])
        platform_store.put("servers", instance, streams.build_registration(
            instance, f"{side}:{fleet.ports['app']}", f"z{number % 2 + 1}"))
    processes = [
        fleet.start(f"front-{number}", "entry", entry, f"z{number + 1}", entries)
        for number, entry in enumerate(entries)]
    for entry in entries:
        await fleet.wait_ready(entry)
    await asyncio.sleep(1.0)
    port = fleet.ports["front"]
    hup_at = time.monotonic()
    if trouble:
        processes[0].send_signal(signal.SIGHUP)
        record.write("SIGHUP to front-0; its settings file is as it was")
    calls, tasks = [], []
    for number in range(9):
        name = PREEMPTED if number % 3 == 1 else "aa"
        call = streams.Call(f"{name}00000000{number:06x}", EVENTS, TOKENS)
        calls.append(call)
        tasks.append(asyncio.create_task(call.make(entries[0], port, record)))
        await asyncio.sleep(0.15)
    _, late = await asyncio.wait(tasks, timeout=15.0)
    for task in late:
        task.cancel()
    return is_broken(calls, workers, hup_at, record, trouble)


def is_broken(calls, workers, hup_at, record, trouble):
    """Applies the rule LOST to the requests sent up to `config_ms` after the SIGHUP."""
    broken = False
    for call in calls:
        ran = any(call.attempt in worker.received for worker in workers)
        after_s = call.sent_at - hup_at
        lasted_s = call.ended_at - call.sent_at
        counts = (trouble and ran and call.is_cut and 0.0 < after_s <= CONFIG_S
                  and lasted_s < 8.0)
        broken = broken or counts
        record.write(f"{call.attempt}: sent {after_s:.2f} s after the SIGHUP, passed on"
                     f" {ran}, {call.outcome} after {lasted_s:.2f} s: "
                     f"{'LOST' if counts else 'held'}")
    return broken


if __name__ == "__main__":
    deployment.run(HERE, play)
