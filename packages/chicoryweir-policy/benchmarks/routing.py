"""Compares endpoint selection with baselines and variants.

Usage: `python packages/chicoryweir-policy/benchmarks/routing.py`. Writes
docs/measurements/routing.md. All figures except CPU times and the time per subset are
reproducible.
"""

from __future__ import annotations

import collections
import concurrent.futures
import functools
import math
import pathlib
import statistics
import time
import tracemalloc
import unittest.mock

import routing_endpoints
import routing_model
import routing_scale
import routing_setup
import routing_traffic

from chicoryweir_policy import requests
from chicoryweir_policy.routing import baselines
from chicoryweir_policy.routing import loads
from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection
from chicoryweir_policy.routing import views

SEEDS = range(1, 11)
PROCESSES = 4
OUTPUT = pathlib.Path("docs/measurements/routing.md")
DEPLOYMENTS = {
    "procurement": routing_setup.Deployment(
        "procurement", ("telavi", "gurjaani", "sighnaghi"), 0.0015
    ),
    "division": routing_setup.Deployment(
        "division", ("central-a", "central-b", "central-c"), 0.0005
    ),
}


class LeadingBlockIndex(prefix.PrefixIndex):
    """Selects the home endpoint by the first block, even if it is very common."""

    def find_home_block(self, blocks: tuple[int, ...], max_share: float) -> int:
        """Returns the first block."""
        return blocks[0] if blocks else 0


class NoHomeIndex(prefix.PrefixIndex):
    """Selects no home endpoint for any prompt."""

    def find_home_block(self, blocks: tuple[int, ...], max_share: float) -> int:
        """Returns 0, which stands for no home block."""
        return 0


def _make_baseline_variant(kind: baselines.Baseline) -> routing_setup.Variant:
    return routing_setup.Variant(kind.value, lambda _: baselines.make_baseline(kind))


VARIANTS = {
    variant.name: variant
    for variant in (
        routing_setup.Variant("in use", selection.make_selector, ejects_outliers=True),
        routing_setup.Variant("without ejection", selection.make_selector),
        routing_setup.Variant(
            "reports never age", selection.make_selector, ejects_outliers=True
        ),
        routing_setup.Variant(
            "home by leading block", selection.make_selector, LeadingBlockIndex, True
        ),
        routing_setup.Variant("no home", selection.make_selector, NoHomeIndex, True),
        *(_make_baseline_variant(kind) for kind in baselines.Baseline),
    )
}


def run_simulation(deployment: str, variant: str, seed: int) -> routing_setup.RunResult:
    """Runs one variant on a deployment under one seed."""
    report_decay_s = (
        math.inf if variant == "reports never age" else views.REPORT_DECAY_S
    )
    with unittest.mock.patch.object(views, "REPORT_DECAY_S", report_decay_s):
        simulation = routing_model.Simulation(
            DEPLOYMENTS[deployment], VARIANTS[variant], seed
        )
        return simulation.run()


def _compute_quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _format_cells(runs: list[routing_setup.RunResult]) -> list[str]:
    def format_median_and_worst(values: list[float], digits: int) -> str:
        worst = max(values)
        return f"{statistics.median(values):.{digits}f} ({worst:.{digits}f})"

    wait_p99 = [_compute_quantile(run.waits_s, 0.99) for run in runs]
    total_p99 = [_compute_quantile(run.total_times_s, 0.99) for run in runs]
    urgent_p99 = [_compute_quantile(run.urgent_waits_s, 0.99) for run in runs]
    plain_p99 = [_compute_quantile(run.plain_waits_s, 0.99) for run in runs]
    hit_share = statistics.median(run.cached_blocks / run.blocks for run in runs)
    error_share = statistics.median(run.failed_attempts / run.attempts for run in runs)
    reach_counts = [count for run in runs for count in run.reach_counts]
    share_above_two = sum(count > 2 for count in reach_counts) / len(reach_counts)
    max_suspect_reach = max(max(run.suspect_reach_counts) for run in runs)
    return [
        format_median_and_worst([statistics.mean(run.load_skews) for run in runs], 2),
        format_median_and_worst(
            [statistics.mean(run.max_send_shares) for run in runs], 2
        ),
        format_median_and_worst(wait_p99, 2),
        format_median_and_worst(total_p99, 2),
        format_median_and_worst(urgent_p99, 2),
        format_median_and_worst(plain_p99, 3),
        f"{100 * hit_share:.1f} %",
        f"{100 * error_share:.2f} %",
        f"{statistics.mean(reach_counts):.2f} / {100 * share_above_two:.1f} % "
        f"/ {max(reach_counts)}",
        str(max_suspect_reach),
    ]


def measure_selection() -> list[str]:
    """Runs all variants on both deployments and formats their tables."""
    lines = []
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for deployment in DEPLOYMENTS:
            lines += [
                f"\n## {deployment}: 7 entries, 16 + 3 endpoints\n",
                "| variant | max/mean load | largest share of an endpoint in 0.25 s "
                "| p99 wait, s | p99 whole, s | p99 urgent, s | p99 plain, s | hits "
                "| attempts failed | reach of a content: mean / above 2 / most "
                "| most when suspect |",
                "| --- |" + " --- |" * 10,
            ]
            for variant in VARIANTS:
                jobs = [
                    pool.submit(run_simulation, deployment, variant, seed)
                    for seed in SEEDS
                ]
                cells = _format_cells([job.result() for job in jobs])
                lines.append(f"| {variant} | {' | '.join(cells)} |")
    return lines


def measure_cpu_time() -> list[str]:
    """Measures the CPU time of selections and of load updates."""
    lines = [
        "\n## Processor time, µs (this one depends on the machine)\n",
        "| endpoints | selection | selection in a flood | report | send and end |",
        "| --- | --- | --- | --- | --- |",
    ]
    for count in (16, 64, 256):
        deployment = routing_setup.Deployment("one", ("a", "b", "c"), 0.001, count)
        simulation = routing_model.Simulation(deployment, VARIANTS["in use"], 1)
        load_tracker = simulation.entries[0].loads
        selector = simulation.entries[0].selector
        request = simulation.traffic.make_request("model", tuple(range(1, 40)))
        endpoint = next(iter(simulation.endpoints.values()))
        report = endpoint.report(0)

        select = functools.partial(
            selector.select_endpoint, request, load_tracker, frozenset(), "a", 0.0
        )
        tasks = (
            functools.partial(select, spill_wait_s=1.0),
            functools.partial(select, spill_wait_s=-1.0),
            functools.partial(load_tracker.record_report, "agent-1", report, 0.0),
            functools.partial(_record_sent_and_finished, load_tracker, "agent-1"),
        )
        cells = [_time_us(task) for task in tasks]
        lines.append(f"| {count} | " + " | ".join(f"{c:.1f}" for c in cells) + " |")
    return lines


def measure_memory() -> list[str]:
    """Measures the memory of an entry's load table and prompt block index."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    load_tracker = loads.LoadTracker("a", {})
    for number in range(1000):
        load_tracker.add_endpoint(f"agent-{number}", "a", "model")
        load_tracker.record_link_state(f"agent-{number}", True, 0.0)
        report = routing_endpoints.Endpoint("", "", "model").report(0)
        load_tracker.record_report(f"agent-{number}", report, 0.0)
    load_tracker.list_members("model")
    after, _ = tracemalloc.get_traced_memory()
    prefixes = prefix.PrefixIndex()
    for number in range(4000):
        name = f"agent-{number % 48}"
        prefixes.record_sent(name, prefix.hash_blocks(f"{number:256d}" * 8))
    full, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [
        "\n## Memory of one entry\n",
        f"- {(after - before) / 1000 / 1024:.2f} KiB for each endpoint linked",
        f"- {(full - after) / 1024**2:.2f} MiB for a full book of "
        f"{len(prefixes)} prompt blocks",
    ]


def _record_sent_and_finished(load_tracker: loads.LoadTracker, instance: str) -> None:
    load_tracker.record_sent(instance, "x", 1, 60.0, requests.PriorityClass.STANDARD)
    load_tracker.record_finished(instance, "x")


def _time_us(task: collections.abc.Callable[[], object], rounds: int = 2000) -> float:
    started = time.process_time()
    for _ in range(rounds):
        task()
    return (time.process_time() - started) / rounds * 1e6


def main() -> None:
    """Runs all measurements and writes the Markdown page."""
    lines = [
        "# Selection of endpoints, measured\n",
        "Written by `python packages/chicoryweir-policy/benchmarks/routing.py`, seeds "
        f"{SEEDS.start} to {SEEDS.stop - 1}: a focused model of "
        f"{routing_model.DURATION_S:.0f} s at {routing_traffic.LOAD:.0%} of capacity, "
        "with a surge to 133 % for 5 s, reports every 0.25 s that arrive 0.05 to 0.3 s "
        "late, a fifth of the cache events lost, endpoints that run 8 times slower for "
        "2, 5 or 20 s about every two minutes, crashes, and 15 s in which an endpoint "
        "fails all that it is given. 7 of 10 conversations share one system "
        "prompt. Figures are the median over the seeds, in brackets the worst seed.",
        *measure_selection(),
        *routing_scale.measure_subsets(),
        *measure_cpu_time(),
        *measure_memory(),
    ]
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
