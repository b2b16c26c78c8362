"""Measures admission against its targets, beside a queue in order of arrival."""

from __future__ import annotations

import argparse
import collections.abc
import dataclasses
import pathlib
import statistics

import admission_model
import limit_exchange
import operation_costs

from chicoryweir_policy import requests
from chicoryweir_policy.admission import first_come
from chicoryweir_policy.admission import queue

URGENT = requests.PriorityClass.URGENT
STANDARD = requests.PriorityClass.STANDARD
BULK = requests.PriorityClass.BULK

Results = tuple[list[admission_model.Arrival], admission_model.Run]

HEAD = """# Admission, measured

One agent with {slots} slots and {entries} entries in virtual time, {duration:.0f} s
after a warm-up of {warm:.0f} s, {seeds} seeds. Sizes are log-uniform and the
estimates of them are off by up to {error:.0f} %. A caller that comes back does so at
the time it was told, through the next entry, until its first deadline; such requests
count again among those that reached the agent. Made by
`python packages/chicoryweir-policy/benchmarks/admission.py --seeds {seeds}`.

| measure | target | median | worst | first come: median | worst |
| --- | --- | --- | --- | --- | --- |
"""
LIMITS_HEAD = """
Tokens admitted by {entries} entries, in per cent of a workspace's limit.

| demand | median | least | most |
| --- | --- | --- | --- |
"""
COST_HEAD = """
Processor time of one operation in µs, best of {rounds} rounds; the queue holds four
requests of each workspace. It differs between machines and runs.

| operation | {columns} |
| --- | {lines} |
"""
MEMORY_HEAD = """
Memory, by `tracemalloc`.

| state | bytes |
| --- | --- |
"""


@dataclasses.dataclass(frozen=True)
class Measure:
    """A percentage with its target; `select_worst` tells which seed was worst."""

    compute: collections.abc.Callable[[Results], float]
    target: str = ""
    select_worst: collections.abc.Callable[[list[float]], float] = min


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Streams of work and what is measured of them."""

    streams: tuple[admission_model.Stream, ...]
    measures: dict[str, Measure]
    comes_back: bool = False


def count_in_time(
    results: Results, match: collections.abc.Callable[[admission_model.Stream], bool]
) -> float:
    """Returns the percentage of the matching requests answered in time."""
    arrivals, run = results
    asked = [
        arrival
        for arrival in arrivals
        if match(arrival.stream)
        and arrival.at >= admission_model.WARM_UP_S
        and arrival.deadline_at <= admission_model.DURATION_S
    ]
    late = float("inf")
    answered = sum(run.finished.get(a.request_id, late) <= a.deadline_at for a in asked)
    return 100.0 * answered / len(asked)


def count_of_floor(results: Results, priority: requests.PriorityClass) -> float:
    """Returns the tokens answered in time, in per cent of the class's floor."""
    arrivals, run = results
    tokens = sum(
        arrival.tokens
        for arrival in arrivals
        if arrival.stream.priority is priority
        and run.finished.get(arrival.request_id, 0.0) >= admission_model.WARM_UP_S
        and run.finished[arrival.request_id] <= arrival.deadline_at
    )
    capacity = admission_model.CAPACITY_TOKENS_PER_S * (
        admission_model.DURATION_S - admission_model.WARM_UP_S
    )
    return 100.0 * tokens / (admission_model.FLOORS[priority] * capacity)


def count_used(results: Results) -> float:
    """Returns the tokens answered in time, in per cent of capacity."""
    return sum(
        count_of_floor(results, priority) * admission_model.FLOORS[priority]
        for priority in requests.PriorityClass
    )


def count_pushes(results: Results) -> float:
    """Returns the requests that reached the agent, in per cent of all."""
    arrivals, run = results
    return 100.0 * run.pushes / len(arrivals)


COMMON = {
    "tokens answered in time, % of capacity": Measure(count_used),
    "requests that reached the agent, %": Measure(count_pushes, select_worst=max),
}
SCENARIOS = {
    "bulk at 5×": Scenario(
        (
            admission_model.Stream("desk", URGENT, 0.2),
            admission_model.Stream("clerks", STANDARD, 0.2),
            admission_model.Stream("archive", BULK, 5.0),
        ),
        {
            "urgent in deadline, %": Measure(
                lambda results: count_in_time(results, lambda s: s.priority is URGENT),
                "≥ 99",
            ),
            "standard in deadline, %": Measure(
                lambda results: count_in_time(results, lambda s: s.priority is STANDARD)
            ),
        },
    ),
    "urgent at 5×": Scenario(
        (
            admission_model.Stream("storm", URGENT, 5.0),
            admission_model.Stream("relay", URGENT, 0.05),
            admission_model.Stream("clerks", STANDARD, 0.6),
            admission_model.Stream("archive", BULK, 0.4),
        ),
        {
            "small urgent workspace in deadline, %": Measure(
                lambda results: count_in_time(
                    results, lambda s: s.workspace == "relay"
                ),
                "≥ 98",
            ),
            "standard's tokens, % of its floor": Measure(
                lambda results: count_of_floor(results, STANDARD), "≥ 90"
            ),
            "bulk's tokens, % of its floor": Measure(
                lambda results: count_of_floor(results, BULK), "≥ 90"
            ),
            "urgent's tokens, % of its floor": Measure(
                lambda results: count_of_floor(results, URGENT)
            ),
        },
    ),
    "one workspace asks 50×": Scenario(
        (
            *(
                admission_model.Stream(f"small-{index}", STANDARD, 0.05)
                for index in range(9)
            ),
            admission_model.Stream("large", STANDARD, 2.5),
        ),
        {
            "small workspaces in deadline, %": Measure(
                lambda results: count_in_time(results, lambda s: s.load < 1.0), "≥ 98"
            ),
            "large workspace in deadline, %": Measure(
                lambda results: count_in_time(results, lambda s: s.load > 1.0)
            ),
        },
    ),
}


def list_scenarios() -> list[tuple[str, Scenario]]:
    """Returns each scenario, and again with callers that come back when told to."""
    scenarios = list(SCENARIOS.items())
    for name, scenario in SCENARIOS.items():
        returning = dataclasses.replace(scenario, comes_back=True)
        scenarios.append((f"{name}, callers come back", returning))
    return scenarios


def run_scenario(scenario: Scenario, seed: int, fair: bool) -> Results:
    """Runs one scenario with the fair queue or in order of arrival."""
    create = queue.create_fair_queue if fair else first_come.create_first_come_queue
    arrivals = admission_model.draw_arrivals(scenario.streams, seed)
    work = create(admission_model.QUEUE_LIMIT, admission_model.CAPACITY_TOKENS_PER_S)
    run = admission_model.Run(work, fair, scenario.comes_back)
    run.simulate(arrivals)
    return arrivals, run


def measure_scenario(name: str, scenario: Scenario, seeds: int) -> list[str]:
    """Returns the rows of one scenario."""
    fair = [run_scenario(scenario, seed, True) for seed in range(seeds)]
    plain = [run_scenario(scenario, seed, False) for seed in range(seeds)]
    rows = []
    for title, measure in (scenario.measures | COMMON).items():
        cells = [f"{name}: {title}", measure.target]
        for results in (fair, plain):
            values = [measure.compute(result) for result in results]
            cells += [
                f"{statistics.median(values):.1f}",
                f"{measure.select_worst(values):.1f}",
            ]
        rows.append(f"| {' | '.join(cells)} |")
    return rows


def write_report(seeds: int) -> str:
    """Runs everything and returns the page."""
    page = HEAD.format(
        slots=admission_model.SLOTS,
        entries=admission_model.ENTRIES,
        duration=admission_model.DURATION_S - admission_model.WARM_UP_S,
        warm=admission_model.WARM_UP_S,
        seeds=seeds,
        error=100 * admission_model.ESTIMATE_ERROR,
    )
    for name, scenario in list_scenarios():
        page += "\n".join(measure_scenario(name, scenario, seeds)) + "\n"
    page += LIMITS_HEAD.format(entries=limit_exchange.ENTRIES)
    for title, (select, linked) in limit_exchange.DEMANDS.items():
        values = [
            limit_exchange.measure_use(select, linked, seed) for seed in range(seeds)
        ]
        spread = (statistics.median(values), min(values), max(values))
        page += f"| {title} | {' | '.join(f'{value:.1f}' for value in spread)} |\n"
    page += COST_HEAD.format(
        rounds=operation_costs.ROUNDS,
        columns=" | ".join(f"{size:,} workspaces" for size in operation_costs.SIZES),
        lines=" | ".join("---" for _ in operation_costs.SIZES),
    )
    for title, costs in operation_costs.measure_all().items():
        cells = " | ".join(f"{micros:.1f}" for micros in costs)
        page += f"| {title} | {cells} |\n"
    page += MEMORY_HEAD
    for title, size_bytes in operation_costs.measure_memory().items():
        page += f"| {title} | {size_bytes:,.0f} |\n"
    return page


def main() -> None:
    """Writes the page to a file or to standard output."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--output", type=pathlib.Path)
    arguments = parser.parse_args()
    page = write_report(arguments.seeds)
    if arguments.output is None:
        print(page)
    else:
        arguments.output.write_text(page, encoding="utf-8")


if __name__ == "__main__":
    main()
