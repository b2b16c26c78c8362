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

_FLEET_SIZE = plan.FleetSize(step_time_ms=10.0)
_BACKGROUND_RATE_PER_S = 4.0
_RECOVERY_TIMEOUT_S = 30.0
_RECOVERY_RATE_PER_S = 5.0
_DAEMON_KINDS = ("entry", "agent")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's flags."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)


def run(arguments: argparse.Namespace) -> int:
    """Runs the command; returns its exit code, 1 if an invariant was broken."""
    return signals.run_cancellable(_run_soak(arguments.seed, arguments.seconds))


async def _run_soak(seed: int, seconds: float) -> int:
    running_fleet = fleet.create_fleet(_FLEET_SIZE)
    running_fleet.restarted_kinds |= set(_DAEMON_KINDS)
    observed = observations.Observations()
    print(f"soak: seed {seed}, {seconds:g} s, logs in {running_fleet.directory}")
    try:
        await running_fleet.start()
        async with httpx.AsyncClient(timeout=10.0) as client:
            context = callers.CallerContext(client, running_fleet, observed, seed)
            await _run_faults(context, seconds)
            observed.recovered = await _check_recovery(context)
            runs = await _collect_runs(context)
    finally:
        codes = await running_fleet.stop()
    kinds_by_name = {
        process.name: process.kind for process in running_fleet.plan.processes
    }
    observed.exit_codes = {
        n: c for n, c in codes.items() if kinds_by_name[n] in _DAEMON_KINDS
    }
    code = _print_verdict(seed, observed, runs, running_fleet)
    if code == 0:
        running_fleet.remove_files()
    return code


async def _run_faults(context: callers.CallerContext, seconds: float) -> None:
    running_fleet, observed = context.running_fleet, context.observed
    daemons = running_fleet.list_names("entry") + running_fleet.list_names("agent")
    endpoints = running_fleet.list_names("engine") + running_fleet.list_names("service")
    faults = schedule.draw_faults(context.seed, seconds, daemons, endpoints)
    stop = asyncio.Event()
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as background:
        background.create_task(_send_background_load(context, seconds))
        background.create_task(callers.send_payments(context, stop))
        background.create_task(
            operators.watch_versions(context.client, running_fleet, observed, stop)
        )
        await injection.Injector(context).run(faults, started_at)
        await asyncio.sleep(max(0.0, started_at + seconds - time.monotonic()))
        stop.set()


async def _send_background_load(context: callers.CallerContext, seconds: float) -> None:
    streams = tuple(
        arrivals.Stream(
            "relay",
            priority,
            _BACKGROUND_RATE_PER_S,
            8000,
            key=context.running_fleet.plan.keys.caller,
            end_s=seconds,
        )
        for priority in arrivals.CLASSES
    )
    load = _build_load(context, streams, context.seed)
    context.observed.answers += await driver.run_load(load)


async def _check_recovery(context: callers.CallerContext) -> bool:
    """Sends loads until all requests of one load are on time.

    Returns False if that did not happen within `_RECOVERY_TIMEOUT_S`.
    """
    deadline = time.monotonic() + _RECOVERY_TIMEOUT_S
    attempt = 0
    while time.monotonic() < deadline:
        attempt += 1
        stream = arrivals.Stream(
            "relay",
            "standard",
            _RECOVERY_RATE_PER_S,
            5000,
            key=context.running_fleet.plan.keys.caller,
            end_s=2.0,
        )
        load = _build_load(context, (stream,), context.seed * 1_000_003 + attempt)
        answers = await driver.run_load(load)
        context.observed.answers += answers
        if answers and all(r.ending is results.Ending.IN_TIME for r in answers):
            return True
    return False


def _build_load(
    context: callers.CallerContext, streams: tuple[arrivals.Stream, ...], seed: int
) -> driver.LoadPlan:
    size = context.running_fleet.plan.size
    return driver.LoadPlan(
        streams, context.running_fleet.plan.entry_urls, size.model_service, seed
    )


async def _collect_runs(context: callers.CallerContext) -> observations.EndpointRuns:
    switchboard_url = context.running_fleet.plan.switchboard_url
    run_counts = (await context.client.get(f"{switchboard_url}/runs")).json()
    map_report = (
        await context.client.get(f"{switchboard_url}/group/violations")
    ).json()
    context.observed.map_violations = len(map_report["violations"])
    print(f"  the group ran {map_report['steps']} steps")
    return observations.EndpointRuns(run_counts["by_key"], run_counts["by_body"])


def _print_verdict(
    seed: int,
    observed: observations.Observations,
    runs: observations.EndpointRuns,
    running_fleet: fleet.Fleet,
) -> int:
    violations = observations.list_violations(observed, runs)
    for violation in violations:
        print(f"VIOLATION {violation}")
    for priority, tally in sorted(results.tally_by_class(observed.answers).items()):
        print(f"  {priority}: {tally.describe()}")
    statuses = collections.Counter(
        p.outcome or p.status for p in observed.payment_replies
    )
    print(f"  payments by status or outcome: {dict(statuses)}")
    accepted_count = sum(1 for c in observed.change_results if c.status == 200)
    print(
        f"  settings: {len(observed.versions)} versions seen, {accepted_count} of "
        f"{len(observed.change_results)} changes won; "
        f"restarts: {running_fleet.restarts}"
    )
    verdict = "FAILED" if violations else "passed"
    print(
        f"SOAK seed {seed} {verdict}: {len(observed.answers)} answers, "
        f"{len(observed.payment_replies)} payments, {len(violations)} violations"
    )
    return 1 if violations else 0
