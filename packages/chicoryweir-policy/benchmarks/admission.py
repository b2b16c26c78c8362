"""Compares fair admission with a first-come queue and with its targets."""

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
from chicoryweir_policy.admission import fair_queue
from chicoryweir_policy.admission import first_come

URGENT = requests.PriorityClass.URGENT
STANDARD = requests.PriorityClass.STANDARD
BULK = requests.PriorityClass.BULK

Results = tuple[list[admission_model.Arrival], admission_model.Simulation]

HEADING = """# Admission, measured

One agent with {slots} slots and {entries} entries in virtual time, {duration:.0f} s
after a warm-up of {warm:.0f} s, {seeds} seeds. Sizes are log-uniform and the
estimates of them are off by up to {error:.0f} %. A caller that comes back does so at
the time it was told, through the next entry, until its first deadline; such requests
count again among those that reached the agent. Made by
`python packages/chicoryweir-policy/benchmarks/admission.py --seeds {seeds}`.

| measure | target | median | worst | first come: median | worst |
| --- | --- | --- | --- | --- | --- |
"""
LIMITS_HEADING = """
Tokens admitted by {entries} entries, in per cent of a workspace's limit.

| demand | median | least | most |
| --- | --- | --- | --- |
"""
COST_HEADING = """
Processor time of one operation in µs, best of {rounds} rounds; the queue holds four
requests of each workspace. It differs between machines and runs.

| operation | {columns} |
| --- | {lines} |
"""
MEMORY_HEADING = """
Memory, by `tracemalloc`.

| state | bytes |
| --- | --- |
"""


@dataclasses.dataclass(frozen=True)
class Metric:
    """A percentage with its target; `select_worst` selects the worst of all seeds."""

    compute: collections.abc.Callable[[Results], float]
    target: str = ""
    select_worst: collections.abc.Callable[[list[float]], float] = min


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Streams of requests and the metrics computed from their results."""

    streams: tuple[admission_model.Stream, ...]
    metrics: dict[str, Metric]
    callers_retry: bool = False


def compute_on_time_percent(
    results: Results, match: collections.abc.Callable[[admission_model.Stream], bool]
) -> float:
    """Returns the percentage of the matching requests answered on time."""
    arrivals, run = results
    expected = [
        arrival
        for arrival in arrivals
        if match(arrival.stream)
        and arrival.at >= admission_model.WARM_UP_S
        and arrival.deadline_at <= admission_model.DURATION_S
    ]
    never = float("inf")
    on_time = sum(
        run.finished.get(a.request_id, never) <= a.deadline_at for a in expected
    )
    return 100.0 * on_time / len(expected)


def compute_floor_percent(results: Results, priority: requests.PriorityClass) -> float:
    """Returns the tokens answered on time, in per cent of the class's floor."""
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


def compute_capacity_percent(results: Results) -> float:
    """Returns the tokens answered on time, in per cent of capacity."""
    return sum(
        compute_floor_percent(results, priority) * admission_model.FLOORS[priority]
        for priority in requests.PriorityClass
    )


def compute_received_percent(results: Results) -> float:
    """Returns the requests that reached the agent, in per cent of all."""
    arrivals, run = results
    return 100.0 * run.received_count / len(arrivals)


COMMON_METRICS = {
    "tokens answered in time, % of capacity": Metric(compute_capacity_percent),
    "requests that reached the agent, %": Metric(
        compute_received_percent, select_worst=max
    ),
}
SCENARIOS = {
    "bulk at 5×": Scenario(
        (
            admission_model.Stream("desk", URGENT, 0.2),
            admission_model.Stream("clerks", STANDARD, 0.2),
            admission_model.Stream("archive", BULK, 5.0),
        ),
        {
            "urgent in deadline, %": Metric(
                lambda results: compute_on_time_percent(
                    results, lambda s: s.priority is URGENT
                ),
                "≥ 99",
            ),
            "standard in deadline, %": Metric(
                lambda results: compute_on_time_percent(
                    results, lambda s: s.priority is STANDARD
                )
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
            "small urgent workspace in deadline, %": Metric(
                lambda results: compute_on_time_percent(
                    results, lambda s: s.workspace == "relay"
                ),
                "≥ 98",
            ),
            "standard's tokens, % of its floor": Metric(
                lambda results: compute_floor_percent(results, STANDARD), "≥ 90"
            ),
            "bulk's tokens, % of its floor": Metric(
                lambda results: compute_floor_percent(results, BULK), "≥ 90"
            ),
            "urgent's tokens, % of its floor": Metric(
                lambda results: compute_floor_percent(results, URGENT)
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
            "small workspaces in deadline, %": Metric(
                lambda results: compute_on_time_percent(
                    results, lambda s: s.load < 1.0
                ),
                "≥ 98",
            ),
            "large workspace in deadline, %": Metric(
                lambda results: compute_on_time_percent(results, lambda s: s.load > 1.0)
            ),
        },
    ),
}


def list_scenarios() -> list[tuple[str, Scenario]]:
    """Returns each scenario without and with callers that retry after Retry-After."""
    scenarios = list(SCENARIOS.items())
    for name, scenario in SCENARIOS.items():
        retrying = dataclasses.replace(scenario, callers_retry=True)
        scenarios.append((f"{name}, callers come back", retrying))
    return scenarios


def run_scenario(scenario: Scenario, seed: int, fair: bool) -> Results:
    """Runs one scenario with the fair or the first-come queue."""
    create = (
        fair_queue.create_fair_queue if fair else first_come.create_first_come_queue
    )
    arrivals = admission_model.draw_arrivals(scenario.streams, seed)
    request_queue = create(
        admission_model.QUEUE_LIMIT, admission_model.CAPACITY_TOKENS_PER_S
    )
    run = admission_model.Simulation(request_queue, fair, scenario.callers_retry)
    run.simulate(arrivals)
    return arrivals, run


def measure_scenario(name: str, scenario: Scenario, seeds: int) -> list[str]:
    """Runs a scenario under all seeds and formats its rows of the table."""
    fair_results = [run_scenario(scenario, seed, True) for seed in range(seeds)]
    first_come_results = [run_scenario(scenario, seed, False) for seed in range(seeds)]
    rows = []
    for title, metric in (scenario.metrics | COMMON_METRICS).items():
        cells = [f"{name}: {title}", metric.target]
        for results in (fair_results, first_come_results):
            values = [metric.compute(result) for result in results]
            cells += [
                f"{statistics.median(values):.1f}",
                f"{metric.select_worst(values):.1f}",
            ]
        rows.append(f"| {' | '.join(cells)} |")
    return rows


def write_report(seeds: int) -> str:
    """Runs all measurements and formats the Markdown page."""
    page = HEADING.format(
        slots=admission_model.SLOTS,
        entries=admission_model.ENTRIES,
        duration=admission_model.DURATION_S - admission_model.WARM_UP_S,
        warm=admission_model.WARM_UP_S,
        seeds=seeds,
        error=100 * admission_model.MAX_ESTIMATE_ERROR,
    )
    for name, scenario in list_scenarios():
        page += "\n".join(measure_scenario(name, scenario, seeds)) + "\n"
    page += LIMITS_HEADING.format(entries=limit_exchange.ENTRIES)
    for title, (select, linked) in limit_exchange.DEMANDS.items():
        values = [
            limit_exchange.measure_limit_use(select, linked, seed)
            for seed in range(seeds)
        ]
        spread = (statistics.median(values), min(values), max(values))
        page += f"| {title} | {' | '.join(f'{value:.1f}' for value in spread)} |\n"
    page += COST_HEADING.format(
        rounds=operation_costs.ROUNDS,
        columns=" | ".join(
            f"{size:,} workspaces" for size in operation_costs.WORKSPACE_COUNTS
        ),
        lines=" | ".join("---" for _ in operation_costs.WORKSPACE_COUNTS),
    )
    for title, costs in operation_costs.measure_all().items():
        cells = " | ".join(f"{micros:.1f}" for micros in costs)
        page += f"| {title} | {cells} |\n"
    page += MEMORY_HEADING
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
