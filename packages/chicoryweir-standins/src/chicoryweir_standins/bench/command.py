"""The `bench` command: runs the measurements and writes the reports."""

from __future__ import annotations

import argparse
import asyncio
import pathlib

from chicoryweir_standins.bench import deployments
from chicoryweir_standins.bench import floods
from chicoryweir_standins.bench import measures
from chicoryweir_standins.bench import relay
from chicoryweir_standins.bench import report
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import signals

_PAUSE_BETWEEN_RUNS_S = 1.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's flags."""
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument(
        "--deployment",
        action="append",
        choices=sorted(deployments.DEPLOYMENTS),
        help="deployment to measure; all by default",
    )
    parser.add_argument("--skip-relay", action="store_true")
    parser.add_argument("--skip-floods", action="store_true")
    parser.add_argument(
        "--output", type=pathlib.Path, default=pathlib.Path("docs/measurements")
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the command; returns its exit code."""
    return signals.run_cancellable(_run_all(arguments))


async def _run_all(arguments: argparse.Namespace) -> int:
    seeds = range(1, arguments.seeds + 1)
    if not arguments.skip_relay:
        measured = await _measure_relay(seeds)
        _report(measured, arguments.output, "relay")
    if not arguments.skip_floods:
        measured = []
        for name in arguments.deployment or deployments.DEPLOYMENTS:
            measured += await _measure_floods(deployments.DEPLOYMENTS[name], seeds)
            _report(measured, arguments.output, "floods")
    return 0


def _report(measured: list[measures.Measure], output: pathlib.Path, name: str) -> None:
    report.write_report(measured, output, name)
    print(report.render_page(measures.summarise(measured)))


async def _measure_relay(seeds: range) -> list[measures.Measure]:
    running_fleet = fleet.create_fleet(deployments.RELAY_SIZE)
    measured = []
    try:
        await running_fleet.start()
        for seed in seeds:
            print(f"relay, seed {seed}", flush=True)
            measured.append(await relay.measure_first_token(running_fleet, seed))
            measured += await relay.measure_relay(running_fleet, seed)
    finally:
        await running_fleet.stop()
    running_fleet.remove_files()
    return measured


async def _measure_floods(
    deployment: deployments.Deployment, seeds: range
) -> list[measures.Measure]:
    running_fleet = fleet.create_fleet(deployment.size, floods.WORKSPACES)
    measured = []
    try:
        await running_fleet.start()
        for seed in seeds:
            for experiment in floods.EXPERIMENTS:
                name = experiment.__name__
                print(f"{deployment.name}, {name}, seed {seed}", flush=True)
                measured += await experiment(running_fleet, deployment, seed)
                await asyncio.sleep(_PAUSE_BETWEEN_RUNS_S)
    finally:
        await running_fleet.stop()
    running_fleet.remove_files()
    return measured
