"""Measures how load orders follow demand, endpoint losses and noise."""

from __future__ import annotations

import collections
import dataclasses
import math
import pathlib
import random
import statistics
import sys

from chicoryweir_policy.orders import allocation
from chicoryweir_policy.orders import artifacts
from chicoryweir_policy.orders import demand
from chicoryweir_policy.orders import load_budgets

TICK_S = 10.0
ENDPOINTS = 16
CAPACITY_PER_S = 100.0
LOAD_BYTES = 40e9
STORE_BYTES_PER_S = 2e9
LOAD_TIME_S = 30.0
MODELS = tuple(artifacts.Artifact("model", name) for name in ("a", "b", "c"))
BASE_RATES_PER_S = (420.0, 270.0, 140.0)
SHIFT_TICK = 360
LOSS_TICK = 720
END_TICK = 1440
NOISE = 0.08
HALF_LIFE_S = 60.0
SEEDS = range(1, 11)


@dataclasses.dataclass
class Result:
    """Results of one run.

    Attributes:
        growth_s: Time from the doubling of a model's demand until its capacity was
            sufficient.
        replacement_s: Time from the loss of two endpoints until enough others had
            loaded each model.
        orders: Number of load and unload orders.
        noise_orders: Number of orders while demand changed by noise only.
    """

    growth_s: float = math.inf
    replacement_s: float = math.inf
    orders: int = 0
    noise_orders: int = 0


def compute_rates(tick: int, rng: random.Random) -> list[float]:
    """Draws each model's demand; that of the last model doubles at SHIFT_TICK."""
    means = list(BASE_RATES_PER_S)
    if tick >= SHIFT_TICK:
        means[2] *= 2.0
        means[0] -= BASE_RATES_PER_S[2]
    return [max(0.0, rng.gauss(mean, NOISE * mean)) for mean in means]


def run(seed: int, hysteresis: bool) -> Result:
    """Simulates the fleet.

    Args:
        seed: Seed of the noise.
        hysteresis: Whether hysteresis and a minimum stay apply; otherwise the number
            of endpoints follows demand without delay.
    """
    rng, result = random.Random(seed), Result()
    settings = allocation.AllocationSettings(min_stay_s=300.0 if hysteresis else 0.0)
    needs = [demand.Need(1) for _ in MODELS]
    loaded: dict[str, dict[artifacts.Artifact, float]] = {
        f"agent-{number}": {} for number in range(ENDPOINTS)
    }
    lost_instances: set[str] = set()
    demand_rates = list(BASE_RATES_PER_S)
    budget = load_budgets.create_budget(STORE_BYTES_PER_S, LOAD_BYTES, 0.0)
    for tick in range(END_TICK):
        now = tick * TICK_S
        if tick == LOSS_TICK:
            lost_instances = set(
                sorted(n for n in loaded if MODELS[0] in loaded[n])[:2]
            )
        demand_rates = [
            demand.average_rate(old, sample, TICK_S, HALF_LIFE_S)
            for old, sample in zip(demand_rates, compute_rates(tick, rng), strict=True)
        ]
        if hysteresis:
            needs = [
                demand.update_need(
                    need, rate, CAPACITY_PER_S, demand.DemandSettings(), now
                )
                for need, rate in zip(needs, demand_rates, strict=True)
            ]
        else:
            needs = [
                demand.Need(max(1, math.ceil(rate / (0.75 * CAPACITY_PER_S))))
                for rate in demand_rates
            ]
        needed_counts = {m: n.count for m, n in zip(MODELS, needs, strict=True)}
        fleet = [
            artifacts.Endpoint(
                name,
                "i",
                f"place-{number % 3}",
                name not in lost_instances,
                tuple(
                    artifacts.HeldArtifact(a, loaded_at)
                    for a, loaded_at in load_times.items()
                ),
            )
            for number, (name, load_times) in enumerate(loaded.items())
        ]
        budget = load_budgets.refill(budget, now)
        max_loads = load_budgets.count_loads(budget, LOAD_BYTES)
        orders = allocation.plan_orders(
            fleet, needed_counts, settings, max_loads, 1, 0, now
        )
        for order in orders:
            if order.action is artifacts.Action.LOAD:
                loaded[order.instance][order.artifact] = now
                budget = load_budgets.spend(budget, LOAD_BYTES, 1)
            else:
                del loaded[order.instance][order.artifact]
        _update_result(result, tick, len(orders), loaded, lost_instances, needs)
    return result


def _update_result(
    result: Result,
    tick: int,
    orders: int,
    loaded: dict[str, dict[artifacts.Artifact, float]],
    lost_instances: set[str],
    needs: list[demand.Need],
) -> None:
    result.orders += orders
    noise_ticks = (
        range(SHIFT_TICK // 2, SHIFT_TICK),
        range(LOSS_TICK + 360, END_TICK),
    )
    if any(tick in ticks for ticks in noise_ticks):
        result.noise_orders += orders
    now = tick * TICK_S
    ready = collections.Counter(
        artifact
        for name, load_times in loaded.items()
        if name not in lost_instances
        for artifact, loaded_at in load_times.items()
        if now - loaded_at >= LOAD_TIME_S
    )
    served = ready[MODELS[2]] * CAPACITY_PER_S * 0.75 >= 2.0 * BASE_RATES_PER_S[2]
    if tick >= SHIFT_TICK and math.isinf(result.growth_s) and served:
        result.growth_s = now - SHIFT_TICK * TICK_S
    if tick >= LOSS_TICK and math.isinf(result.replacement_s):
        needed = zip(MODELS, needs, strict=True)
        if all(ready[model] >= need.count for model, need in needed):
            result.replacement_s = now - LOSS_TICK * TICK_S


def format_row(name: str, results: list[Result]) -> str:
    """Formats a row of the table."""
    cells = (
        f"{statistics.median(r.growth_s for r in results):.0f}",
        f"{max(r.growth_s for r in results):.0f}",
        f"{statistics.median(r.replacement_s for r in results):.0f}",
        f"{max(r.replacement_s for r in results):.0f}",
        f"{statistics.mean(r.orders for r in results):.1f}",
        f"{statistics.mean(r.noise_orders for r in results):.1f}",
    )
    return f"| {name} | " + " | ".join(cells) + " |"


def main(path: str) -> None:
    """Runs both strategies and writes the Markdown page to `path`."""
    lines = [
        format_row("hysteresis, minimum stay", [run(s, True) for s in SEEDS]),
        format_row("follow demand at once", [run(s, False) for s in SEEDS]),
    ]
    text = TEMPLATE.format(seeds=len(SEEDS), rows="\n".join(lines))
    pathlib.Path(path).write_text(text, encoding="utf-8")
    print(text)


TEMPLATE = """# Orders that follow demand

Written by `python packages/chicoryweir-policy/benchmarks/orders.py FILE`.

{seeds} seeds, 4 h each in ticks of 10 s. 16 endpoints with room for one model each,
three models, demand with 8 % noise, averaged with a half-life of 60 s. A load takes
30 s after its start and 20 s of the weight store. After 1 h the demand of one model
doubles while another's falls; after 2 h two endpoints are lost for good. Times are in
seconds until enough endpoints have the model loaded. The hours of noise are the second
half hour and the last hour.

| way | growth, median | most | replacement, median | most | orders | orders by noise |
| --- | --- | --- | --- | --- | --- | --- |
{rows}
"""

if __name__ == "__main__":
    main(sys.argv[1])
