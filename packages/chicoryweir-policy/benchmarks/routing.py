"""Measures the selection of endpoints against plain ways of selecting.

Run it as `python packages/chicoryweir-policy/benchmarks/routing.py`; it writes
docs/measurements/routing.md. The figures depend on the seeds alone, but for the
processor times.
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


class LeadingBlockBook(prefix.PrefixIndex):
    """Gives prompts their home by the leading block, however popular."""

    def find_home_block(self, blocks: tuple[int, ...], max_share: float) -> int:
        """Returns the first block."""
        return blocks[0] if blocks else 0


class ContentOnlyBook(prefix.PrefixIndex):
    """Gives prompts no home."""

    def find_home_block(self, blocks: tuple[int, ...], max_share: float) -> int:
        """Returns 0."""
        return 0


def _make_plain(kind: baselines.Baseline) -> routing_setup.Variant:
    return routing_setup.Variant(kind.value, lambda _: baselines.make_baseline(kind))


VARIANTS = {
    variant.name: variant
    for variant in (
        routing_setup.Variant("in use", selection.make_selector, ejects=True),
        routing_setup.Variant("without ejection", selection.make_selector),
        routing_setup.Variant(
            "reports never age", selection.make_selector, ejects=True
        ),
        routing_setup.Variant(
            "home by leading block", selection.make_selector, LeadingBlockBook, True
        ),
        routing_setup.Variant(
            "no home", selection.make_selector, ContentOnlyBook, True
        ),
        *(_make_plain(kind) for kind in baselines.Baseline),
    )
}


def run_model(deployment: str, variant: str, seed: int) -> routing_setup.Figures:
    """Runs one seed of one variant."""
    relax_s = math.inf if variant == "reports never age" else views.REPORT_DECAY_S
    with unittest.mock.patch.object(views, "REPORT_DECAY_S", relax_s):
        model = routing_model.Model(DEPLOYMENTS[deployment], VARIANTS[variant], seed)
        return model.run()


def _find_quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _summarise(runs: list[routing_setup.Figures]) -> list[str]:
    def spread(values: list[float], digits: int) -> str:
        worst = max(values)
        return f"{statistics.median(values):.{digits}f} ({worst:.{digits}f})"

    p99 = [_find_quantile(run.waits_s, 0.99) for run in runs]
    times = [_find_quantile(run.times_s, 0.99) for run in runs]
    urgent = [_find_quantile(run.urgent_waits_s, 0.99) for run in runs]
    plain = [_find_quantile(run.plain_waits_s, 0.99) for run in runs]
    hits = statistics.median(run.hits / run.blocks for run in runs)
    errors = statistics.median(run.errors / run.attempts for run in runs)
    reaches = [reach for run in runs for reach in run.reaches]
    above = sum(reach > 2 for reach in reaches) / len(reaches)
    suspect = max(max(run.suspect_reaches) for run in runs)
    return [
        spread([statistics.mean(run.skews) for run in runs], 2),
        spread([statistics.mean(run.herds) for run in runs], 2),
        spread(p99, 2),
        spread(times, 2),
        spread(urgent, 2),
        spread(plain, 3),
        f"{100 * hits:.1f} %",
        f"{100 * errors:.2f} %",
        f"{statistics.mean(reaches):.2f} / {100 * above:.1f} % / {max(reaches)}",
        str(suspect),
    ]


def measure_selection() -> list[str]:
    """Compares the variants on both deployments."""
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
                    pool.submit(run_model, deployment, variant, seed) for seed in SEEDS
                ]
                cells = _summarise([job.result() for job in jobs])
                lines.append(f"| {variant} | {' | '.join(cells)} |")
    return lines


def measure_processor_time() -> list[str]:
    """Measures the processor time of a decision and of the changes of a view."""
    lines = [
        "\n## Processor time, µs (this one depends on the machine)\n",
        "| endpoints | selection | selection in a flood | report | send and end |",
        "| --- | --- | --- | --- | --- |",
    ]
    for count in (16, 64, 256):
        deployment = routing_setup.Deployment("one", ("a", "b", "c"), 0.001, count)
        model = routing_model.Model(deployment, VARIANTS["in use"], 1)
        book = model.entries[0].loads
        selector = model.entries[0].selector
        request = model.traffic.make_request("model", tuple(range(1, 40)))
        engine = next(iter(model.engines.values()))
        report = engine.report(0)

        select = functools.partial(
            selector.select_endpoint, request, book, frozenset(), "a", 0.0
        )
        tasks = (
            functools.partial(select, spill_wait_s=1.0),
            functools.partial(select, spill_wait_s=-1.0),
            functools.partial(book.record_report, "agent-1", report, 0.0),
            functools.partial(_send_and_end, book, "agent-1"),
        )
        cells = [_time_us(task) for task in tasks]
        lines.append(f"| {count} | " + " | ".join(f"{c:.1f}" for c in cells) + " |")
    return lines


def measure_memory() -> list[str]:
    """Measures the memory of an entry's books."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    book = loads.LoadTracker("a", {})
    for number in range(1000):
        book.add_endpoint(f"agent-{number}", "a", "model")
        book.record_link_state(f"agent-{number}", True, 0.0)
        report = routing_endpoints.Engine("", "", "model").report(0)
        book.record_report(f"agent-{number}", report, 0.0)
    book.list_members("model")
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


def _send_and_end(book: loads.LoadTracker, instance: str) -> None:
    book.record_sent(instance, "x", 1, 60.0, requests.PriorityClass.STANDARD)
    book.record_finished(instance, "x")


def _time_us(task: collections.abc.Callable[[], object], rounds: int = 2000) -> float:
    started = time.process_time()
    for _ in range(rounds):
        task()
    return (time.process_time() - started) / rounds * 1e6


def main() -> None:
    """Runs all measurements and writes the page."""
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
        *measure_processor_time(),
        *measure_memory(),
    ]
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
