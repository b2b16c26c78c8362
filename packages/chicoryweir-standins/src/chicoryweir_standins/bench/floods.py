"""Measures on-time answers and fair shares during floods."""

from __future__ import annotations

import collections.abc

from chicoryweir_standins.bench import deployments
from chicoryweir_standins.bench import measures
from chicoryweir_standins.launch import fleet
from chicoryweir_standins.load import arrivals
from chicoryweir_standins.load import driver
from chicoryweir_standins.load import results
from chicoryweir_standins.load import sharding

WINDOW_S = 8.0
FLOOD_LOAD = 5.0  # multiple of the capacity
SMALL_WORKSPACES = tuple(f"small-{n}" for n in range(1, 11))
WORKSPACES = ("field", "clerks", "growers", "large", *SMALL_WORKSPACES)

URGENT_ON_TIME = measures.Target(
    "urgent answered in time while bulk floods at 5x capacity",
    "%",
    measures.Bound.AT_LEAST,
    99.0,
)
STANDARD_FLOOR = measures.Target(
    "standard's share of capacity in an urgent flood at 5x, of its floor of 30 %",
    "% of the floor",
    measures.Bound.AT_LEAST,
    90.0,
)
BULK_FLOOR = measures.Target(
    "bulk's share of capacity in an urgent flood at 5x, of its floor of 10 %",
    "% of the floor",
    measures.Bound.AT_LEAST,
    90.0,
)
SMALL_ON_TIME = measures.Target(
    "requests of small workspaces answered in time beside one asking 50x",
    "%",
    measures.Bound.AT_LEAST,
    98.0,
)

_FLOOR_SHARES = {"standard": 0.3, "bulk": 0.1}
_RAMP_S = 2.0
_URGENT_DEADLINE_MS = 3000
_STANDARD_DEADLINE_MS = 5000
_BULK_DEADLINE_MS = 8000

Experiment = collections.abc.Callable[
    [fleet.Fleet, deployments.Deployment, int],
    collections.abc.Awaitable[list[measures.Measure]],
]


def _build_stream(
    deployment: deployments.Deployment,
    workspace: str,
    priority: str,
    share: float,
    deadline_ms: int,
) -> arrivals.Stream:
    """Returns a stream that requests a share of the capacity, 1.0 being all of it."""
    tokens_per_s = deployment.compute_capacity() * share
    return arrivals.Stream(
        workspace,
        priority,
        tokens_per_s / deployments.ANSWER_TOKENS,
        deadline_ms,
        max_tokens=deployments.ANSWER_TOKENS,
        end_s=WINDOW_S,
    )


async def _run(
    running_fleet: fleet.Fleet,
    deployment: deployments.Deployment,
    streams: tuple[arrivals.Stream, ...],
    seed: int,
) -> list[results.Result]:
    load = driver.LoadPlan(
        streams,
        running_fleet.plan.entry_urls,
        deployment.size.model_service,
        seed,
        one_way_s=deployment.client_one_way_s,
    )
    answers = await sharding.run_sharded(load)
    for priority, tally in sorted(results.tally_by_class(answers).items()):
        print(f"  {priority}: {tally.describe()}")
    return answers


async def measure_bulk_flood(
    running_fleet: fleet.Fleet, deployment: deployments.Deployment, seed: int
) -> list[measures.Measure]:
    """Measures the on-time share of a light urgent load during a bulk flood."""
    streams = (
        _build_stream(deployment, "clerks", "bulk", FLOOD_LOAD, _BULK_DEADLINE_MS),
        _build_stream(deployment, "field", "urgent", 0.2, _URGENT_DEADLINE_MS),
    )
    answers = await _run(running_fleet, deployment, streams, seed)
    share = results.tally_by_class(answers)["urgent"].compute_on_time_share()
    return [
        measures.Measure(
            deployment.name, "bulk flood", seed, URGENT_ON_TIME, 100.0 * share
        )
    ]


async def measure_urgent_flood(
    running_fleet: fleet.Fleet, deployment: deployments.Deployment, seed: int
) -> list[measures.Measure]:
    """Measures the capacity shares of standard and bulk during an urgent flood.

    Both classes request more than their floors.
    """
    streams = (
        _build_stream(deployment, "field", "urgent", FLOOD_LOAD, _URGENT_DEADLINE_MS),
        _build_stream(deployment, "growers", "standard", 0.6, _STANDARD_DEADLINE_MS),
        _build_stream(deployment, "clerks", "bulk", 0.4, _BULK_DEADLINE_MS),
    )
    answers = await _run(running_fleet, deployment, streams, seed)
    measured = []
    for priority, target in (("standard", STANDARD_FLOOR), ("bulk", BULK_FLOOR)):
        share_of_floor = (
            _compute_capacity_share(answers, deployment, priority)
            / _FLOOR_SHARES[priority]
        )
        measured.append(
            measures.Measure(
                deployment.name, "urgent flood", seed, target, 100.0 * share_of_floor
            )
        )
    return measured


async def measure_small_workspaces(
    running_fleet: fleet.Fleet, deployment: deployments.Deployment, seed: int
) -> list[measures.Measure]:
    """Measures the on-time share of small workspaces beside a large one.

    The large one requests 50 times as much as each small one.
    """
    small_share = 0.4 / len(SMALL_WORKSPACES)
    streams = (
        _build_stream(
            deployment, "large", "standard", 50 * small_share, _STANDARD_DEADLINE_MS
        ),
        *(
            _build_stream(
                deployment, name, "standard", small_share, _STANDARD_DEADLINE_MS
            )
            for name in SMALL_WORKSPACES
        ),
    )
    answers = await _run(running_fleet, deployment, streams, seed)
    small = results.Tally()
    for result in answers:
        if result.workspace != "large":
            small.add(result)
    print(f"  small workspaces: {small.describe()}")
    share = small.compute_on_time_share()
    return [
        measures.Measure(
            deployment.name, "small workspaces", seed, SMALL_ON_TIME, 100.0 * share
        )
    ]


def _compute_capacity_share(
    answers: list[results.Result], deployment: deployments.Deployment, priority: str
) -> float:
    """Returns the share of the capacity that a class got in the flood (0 to 1).

    The first `_RAMP_S` seconds are excluded because no answer can end in them.
    """
    tokens = sum(
        result.tokens
        for result in answers
        if result.priority == priority
        and result.ending is results.Ending.IN_TIME
        and _RAMP_S <= result.arrived_at_s + result.total_s <= WINDOW_S
    )
    return tokens / (deployment.compute_capacity() * (WINDOW_S - _RAMP_S))


EXPERIMENTS: tuple[Experiment, ...] = (
    measure_bulk_flood,
    measure_urgent_flood,
    measure_small_workspaces,
)
