"""Runs the demonstration from the start of a fleet to its graceful stop."""

from __future__ import annotations

import asyncio

import httpx

from chicoryweir_standins.demo import calls
from chicoryweir_standins.demo import operators
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan

_DAEMON_KINDS = ("entry", "agent")


async def run_demo() -> int:
    """Runs the demonstration; returns the exit code."""
    running_fleet = fleet.create_fleet(plan.FleetSize())
    names = ", ".join(process.name for process in running_fleet.plan.processes)
    print(f"1. Starting separate processes on loopback: {names}")
    code = 1
    try:
        await running_fleet.start()
        print("   All entries are ready.")
        await _run_steps(running_fleet)
        code = 0
    except (fleet.StartError, calls.DemoError, httpx.HTTPError) as error:
        print(f"FAILED: {error!r}")
    except asyncio.CancelledError:
        print("Interrupted")
    print("8. Stopping: entries first, then agents, each after its last request")
    code = max(code, await _stop(running_fleet))
    if code == 0:
        running_fleet.remove_files()
    else:
        print(f"Configuration and logs are in {running_fleet.directory}")
    return code


async def _run_steps(running_fleet: fleet.Fleet) -> None:
    entry_url = running_fleet.plan.entry_urls[0]
    key = running_fleet.plan.keys.caller
    async with httpx.AsyncClient(timeout=30.0) as client:
        print("2. A caller asks which addresses to use for the model's service")
        urls = await calls.look_up_addresses(client, entry_url, plan.MODEL_SERVICE)
        print("3. It streams a completion through the first of them")
        request_id = await calls.stream_completion(client, urls[0], key)
        print("4. It calls the plain service")
        await calls.call_service(client, urls[0], key)
        print("5. It sends one payment twice, with the same idempotency key")
        await calls.send_payment_twice(
            client, urls, running_fleet.plan.switchboard_url, key
        )
    if not operators.is_cli_installed():
        print("6. The operators' command line is not installed; skipped")
        return
    print("6. An operator changes the settings")
    await operators.change_settings(running_fleet)
    print("7. An operator asks what became of the streamed request")
    await operators.run_and_print(running_fleet, "explain", request_id)


async def _stop(running_fleet: fleet.Fleet) -> int:
    codes = await running_fleet.stop()
    kinds_by_name = {
        process.name: process.kind for process in running_fleet.plan.processes
    }
    failed = {
        n: c for n, c in codes.items() if kinds_by_name[n] in _DAEMON_KINDS and c != 0
    }
    if failed:
        print(f"FAILED: daemons that did not stop with exit code 0: {failed}")
        return 1
    print("   All daemons stopped with exit code 0.")
    return 0
