"""Keeps a fleet running in the foreground until a signal."""

from __future__ import annotations

import asyncio
import json
import signal
import sys

from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan


def install_stop_event() -> asyncio.Event:
    """Returns an event that SIGINT and SIGTERM set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    return stop


async def run_until_stopped(size: plan.FleetSize) -> int:
    """Starts a fleet, tells when it is ready, and stops it on a signal.

    Returns:
        The exit code.
    """
    stop = install_stop_event()
    running = fleet.create_fleet(size)
    starting = asyncio.create_task(running.start())
    stopping = asyncio.create_task(stop.wait())
    try:
        await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            starting.result()
            print("READY " + json.dumps(running.describe()), flush=True)
            await stop.wait()
    except fleet.StartError as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        starting.cancel()
        stopping.cancel()
        await asyncio.gather(starting, stopping, return_exceptions=True)
        await running.stop()
    running.remove_files()
    return 0
