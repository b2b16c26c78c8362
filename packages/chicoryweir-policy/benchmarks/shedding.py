"""Compares the ways to decide in a shortage, with 38 to 48 entries.

Usage, from the root of the repository with `tests/support` on the path:
python packages/chicoryweir-policy/benchmarks/shedding.py FILE [PROCESSES]
"""

from __future__ import annotations

import collections.abc
import concurrent.futures
import dataclasses
import itertools
import pathlib
import sys

import groupload
import shortageload

from chicoryweir_policy.forwarding import arrivalorder
from chicoryweir_policy.forwarding import shedding
from chicoryweir_policy.forwarding import ways

SEEDS = range(10)
WAYS: dict[str, collections.abc.Callable[[str], shedding.Shedding]] = {
    "first come": lambda _: arrivalorder.create_first_come(),
    "earliest deadline": lambda _: arrivalorder.create_earliest_deadline(),
    "objective_first": lambda name: ways.create_shedding(
        ways.Way.OBJECTIVE_FIRST, name
    ),
    "least_cost": lambda name: ways.create_shedding(ways.Way.LEAST_COST, name),
}
GROUPS: dict[str, dict[str, collections.abc.Callable[[groupload.Call], bool]]] = {
    "hot workspace": {
        "hot": lambda call: call.workspace == "hot",
        "others": lambda call: call.workspace != "hot",
    },
    "early returns": {
        "early": lambda call: call.early,
        "others": lambda call: not call.early,
    },
    "large among small": {
        "small": lambda call: call.kind == 0,
        "large": lambda call: call.kind == 1,
    },
}


@dataclasses.dataclass(frozen=True)
class Job:
    """One simulation: a load, a way and a seed."""

    load: str
    way: str
    seed: int


def _run(job: Job) -> groupload.Result:
    load = shortageload.build_loads()[job.load]
    scenario = dataclasses.replace(load, shedding=WAYS[job.way])
    return groupload.Simulation(scenario, job.seed).run()


def _describe(calls: collections.abc.Iterable[groupload.Call]) -> str:
    group = shortageload.measure(calls)
    return f"{group.on_time:.3f} / {group.late:.3f} / {group.rejected:.3f}"


def _format_load(name: str, results: dict[Job, groupload.Result]) -> list[str]:
    kinds = len(shortageload.build_loads()[name].kinds)
    groups = GROUPS.get(name, {})
    if name != "large among small":
        groups = groups | {
            f"kind {kind}": lambda call, kind=kind: call.kind == kind
            for kind in range(kinds)
        }
    lines = [
        "",
        f"## {name[0].upper()}{name[1:]}",
        "",
        f"| way | worth | least worth | all | {' | '.join(groups)} |",
        "| --- " * (4 + len(groups)) + "|",
    ]
    for way in WAYS:
        runs = [results[Job(name, way, seed)] for seed in SEEDS]
        calls = [call for run in runs for call in run.calls]
        worths = [run.worth for run in runs]
        cells = [way, f"{sum(worths) / len(worths):.3f}", f"{min(worths):.3f}"]
        cells.append(_describe(calls))
        cells += [_describe(filter(test, calls)) for test in groups.values()]
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def main() -> None:
    """Runs all simulations and writes the tables."""
    path = pathlib.Path(sys.argv[1])
    processes = int(sys.argv[2]) if len(sys.argv) > 2 else 2
    loads = list(shortageload.build_loads())
    jobs = [Job(*facts) for facts in itertools.product(loads, WAYS, SEEDS)]
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        results = dict(zip(jobs, pool.map(_run, jobs), strict=True))
    lines = [
        "# Shortage of capacity, by way to decide",
        "",
        "Simulated with `tests/support/groupload.py`, 10 seeds each; written by",
        "`packages/chicoryweir-policy/benchmarks/shedding.py`. Cells hold the shares",
        "of the requests that were on time / late / rejected or broken off in the end.",
        "Worth is what was earned over what was owed, mean and least of the seeds.",
    ]
    for name in loads:
        lines += _format_load(name, results)
    # The notes on targets in docs/measurements/shedding.md are written by hand.
    path.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
