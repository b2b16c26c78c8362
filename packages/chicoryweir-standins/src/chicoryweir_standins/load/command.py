"""The `load` command: sends load to running entries and prints the results."""

from __future__ import annotations

import argparse
import asyncio

from chicoryweir_standins.launch import plan
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import driver
from chicoryweir_standins.load import results


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's flags."""
    parser.add_argument("--entry", action="append", required=True, help="base URL")
    parser.add_argument("--key", default="", help="the workspace's key")
    parser.add_argument("--workspace", default="relay")
    parser.add_argument("--rate", type=float, default=10.0, help="requests/s per class")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--tokens", type=int, default=32)
    parser.add_argument("--deadline-ms", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--direct", action="store_true", help="entries are engines")


def run(arguments: argparse.Namespace) -> int:
    """Runs the command; returns its exit code, 1 after a wrong answer."""
    streams = tuple(
        arrivals.Stream(
            workspace=arguments.workspace,
            priority=priority,
            rate_per_s=arguments.rate,
            deadline_ms=arguments.deadline_ms,
            max_tokens=arguments.tokens,
            key=arguments.key,
            end_s=arguments.seconds,
        )
        for priority in arrivals.CLASSES
    )
    load_plan = driver.LoadPlan(
        streams,
        tuple(arguments.entry),
        plan.MODEL_SERVICE,
        arguments.seed,
        is_direct=arguments.direct,
    )
    finished = asyncio.run(driver.run_load(load_plan))
    for priority, tally in results.tally_by_class(finished).items():
        print(f"{priority}: {tally.describe()}")
    wrong = [r for r in finished if r.ending is results.Ending.WRONG]
    return 1 if wrong else 0
