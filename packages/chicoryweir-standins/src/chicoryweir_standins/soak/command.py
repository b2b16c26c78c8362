"""The `soak` command: a long randomised run that ends with a verdict."""

from __future__ import annotations

import argparse
import asyncio
import collections
import time

import httpx

from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan
from chicoryweir_standins.launch import signals
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import driver
from chicoryweir_standins.load import results
from chicoryweir_standins.soak import callers
from chicoryweir_standins.soak import injection
from chicoryweir_standins.soak import observations
from chicoryweir_standins.soak import operators
from chicoryweir_standins.soak import schedule

_SIZE = plan.FleetSize(step_time_ms=10.0)
_BACKGROUND_RATE_PER_S = 4.0
_RECOVERY_TIMEOUT_S = 30.0
_RECOVERY_RATE_PER_S = 5.0
_DAEMONS = ("entry", "agent")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's flags."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)


def run(arguments: argparse.Namespace) -> int:
    """Runs the command; returns its exit code, 1 if an invariant was broken."""
    return signals.run_cancellable(_run_soak(arguments.seed, arguments.seconds))


async def _run_soak(seed: int, seconds: float) -> int:
    running = fleet.create_fleet(_SIZE)
    running.restarted_kinds |= set(_DAEMONS)
    observed = observations.Observations()
    print(f"soak: seed {seed}, {seconds:g} s, logs in {running.directory}")
    try:
        await running.start()
        async with httpx.AsyncClient(timeout=10.0) as client:
            context = callers.CallerContext(client, running, observed, seed)
            await _run_faults(context, seconds)
            observed.recovered = await _check_recovery(context)
            runs = await _collect_runs(context)
    finally:
        codes = await running.stop()
    kinds = {process.name: process.kind for process in running.plan.processes}
    observed.exit_codes = {n: c for n, c in codes.items() if kinds[n] in _DAEMONS}
    code = _print_verdict(seed, observed, runs, running)
    if code == 0:
        running.remove_files()
    return code


async def _run_faults(context: callers.CallerContext, seconds: float) -> None:
    running, observed = context.running, context.observed
    daemons = running.list_names("entry") + running.list_names("agent")
    endpoints = running.list_names("engine") + running.list_names("service")
    faults = schedule.draw_faults(context.seed, seconds, daemons, endpoints)
    done = asyncio.Event()
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as background:
        background.create_task(_send_background_load(context, seconds))
        background.create_task(callers.send_payments(context, done))
        background.create_task(
            operators.watch_versions(context.client, running, observed, done)
        )
        await injection.Injector(context).run(faults, started_at)
        await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))
        done.set()


async def _send_background_load(context: callers.CallerContext, seconds: float) -> None:
    streams = tuple(
        arrivals.Stream(
            "relay",
            priority,
            _BACKGROUND_RATE_PER_S,
            8000,
            key=context.running.plan.keys.caller,
            end_s=seconds,
        )
        for priority in arrivals.CLASSES
    )
    load = _build_load(context, streams, context.seed)
    context.observed.answers += await driver.run_load(load)


async def _check_recovery(context: callers.CallerContext) -> bool:
    """Returns whether all requests are on time again within `_RECOVERY_TIMEOUT_S`."""
    deadline = time.monotonic() + _RECOVERY_TIMEOUT_S
    attempt = 0
    while time.monotonic() < deadline:
        attempt += 1
        stream = arrivals.Stream(
            "relay",
            "standard",
            _RECOVERY_RATE_PER_S,
            5000,
            key=context.running.plan.keys.caller,
            end_s=2.0,
        )
        load = _build_load(context, (stream,), context.seed * 1_000_003 + attempt)
        ended = await driver.run_load(load)
        context.observed.answers += ended
        if ended and all(r.ending is results.Ending.IN_TIME for r in ended):
            return True
    return False


def _build_load(
    context: callers.CallerContext, streams: tuple[arrivals.Stream, ...], seed: int
) -> driver.LoadPlan:
    size = context.running.plan.size
    return driver.LoadPlan(
        streams, context.running.plan.entry_urls, size.model_service, seed
    )


async def _collect_runs(context: callers.CallerContext) -> observations.EndpointRuns:
    control = context.running.plan.switchboard_url
    counted = (await context.client.get(f"{control}/runs")).json()
    maps = (await context.client.get(f"{control}/group/violations")).json()
    context.observed.map_violations = len(maps["violations"])
    print(f"  the group ran {maps['steps']} steps")
    return observations.EndpointRuns(counted["by_key"], counted["by_body"])


def _print_verdict(
    seed: int,
    observed: observations.Observations,
    runs: observations.EndpointRuns,
    running: fleet.Fleet,
) -> int:
    violations = observations.list_violations(observed, runs)
    for violation in violations:
        print(f"VIOLATION {violation}")
    for priority, tally in sorted(results.tally_by_class(observed.answers).items()):
        print(f"  {priority}: {tally.describe()}")
    statuses = collections.Counter(p.outcome or p.status for p in observed.payments)
    print(f"  payments by status or outcome: {dict(statuses)}")
    won = sum(1 for a in observed.applied if a.status == 200)
    print(
        f"  settings: {len(observed.versions)} versions seen, {won} of "
        f"{len(observed.applied)} changes won; restarts: {running.restarts}"
    )
    verdict = "FAILED" if violations else "passed"
    print(
        f"SOAK seed {seed} {verdict}: {len(observed.answers)} answers, "
        f"{len(observed.payments)} payments, {len(violations)} violations"
    )
    return 1 if violations else 0
