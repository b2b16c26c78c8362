"""Runs the demonstration from the start of a fleet to its graceful stop."""

from __future__ import annotations

import asyncio

import httpx

from chicoryweir_standins.demo import calls
from chicoryweir_standins.demo import operators
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan

_DAEMONS = ("entry", "agent")


async def run_demo() -> int:
    """Runs the demonstration; returns the exit code."""
    running = fleet.create_fleet(plan.FleetSize())
    names = ", ".join(process.name for process in running.plan.processes)
    print(f"1. Starting separate processes on loopback: {names}")
    code = 1
    try:
        await running.start()
        print("   All entries are ready.")
        await _run_steps(running)
        code = 0
    except (fleet.StartError, calls.DemoError, httpx.HTTPError) as error:
        print(f"FAILED: {error!r}")
    except asyncio.CancelledError:
        print("Interrupted")
    print("8. Stopping: entries first, then agents, each after its last request")
    code = max(code, await _stop(running))
    if code == 0:
        running.remove_files()
    else:
        print(f"Configuration and logs are in {running.directory}")
    return code


async def _run_steps(running: fleet.Fleet) -> None:
    entry_url = running.plan.entry_urls[0]
    key = running.plan.keys.caller
    async with httpx.AsyncClient(timeout=30.0) as client:
        print("2. A caller asks which addresses to use for the model's service")
        urls = await calls.look_up_addresses(client, entry_url, plan.MODEL_SERVICE)
        print("3. It streams a completion through the first of them")
        request_id = await calls.stream_completion(client, urls[0], key)
        print("4. It calls the plain service")
        await calls.call_service(client, urls[0], key)
        print("5. It sends one payment twice, with the same idempotency key")
        await calls.send_payment_twice(client, urls, running.plan.switchboard_url, key)
    if not operators.is_cli_installed():
        print("6. The operators' command line is not installed; skipped")
        return
    print("6. An operator changes the settings")
    await operators.change_settings(running)
    print("7. An operator asks what became of the streamed request")
    await operators.run_and_print(running, "explain", request_id)


async def _stop(running: fleet.Fleet) -> int:
    codes = await running.stop()
    kinds = {process.name: process.kind for process in running.plan.processes}
    failed = {n: c for n, c in codes.items() if kinds[n] in _DAEMONS and c != 0}
    if failed:
        print(f"FAILED: daemons that did not stop with exit code 0: {failed}")
        return 1
    print("   All daemons stopped with exit code 0.")
    return 0
