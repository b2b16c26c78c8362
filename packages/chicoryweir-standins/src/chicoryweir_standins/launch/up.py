"""Runs a fleet in the foreground until a signal."""

from __future__ import annotations

import asyncio
import json
import sys

from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan
from chicoryweir_standins.launch import signals


async def run_until_stopped(size: plan.FleetSize) -> int:
    """Starts a fleet, prints a line when it is ready, and stops it on a signal.

    Returns:
        The exit code.
    """
    stop = signals.create_stop_event()
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
