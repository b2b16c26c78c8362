"""Measures ways to rebalance a group over nights of drifting popularity."""

from __future__ import annotations

import dataclasses
import math
import pathlib
import random
import statistics
import sys

from chicoryweir_policy.maps import gates
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import plan
from chicoryweir_policy.maps import popularity
from chicoryweir_policy.maps import rebalancers

RANKS = 32
EXPERTS = 128
SLOTS_PER_RANK = 5
TICK_S = 10.0
TOKENS_PER_TICK = 400_000
MOVES_PER_TICK = 4
HALF_LIFE_S = 60.0
SPREAD = 0.8
FOLLOWED_SKEW = 1.10
TICKS_PER_HOUR = 360
SEEDS = range(1, 13)


@dataclasses.dataclass(frozen=True)
class Phase:
    """A part of the night.

    Attributes:
        name: Kind: calm (slow drift), storm (a shift of topic), quiet (no change).
        ticks: Length.
        drift: Standard deviation of the drift of a log share in one tick.
        shift_ticks: Ticks that a shift to another topic takes; 0 for none.
    """

    name: str
    ticks: int
    drift: float
    shift_ticks: int


NIGHT = (
    Phase("calm", TICKS_PER_HOUR, 0.006, 0),
    Phase("storm", TICKS_PER_HOUR, 0.006, 30),
    Phase("calm", TICKS_PER_HOUR, 0.006, 0),
    Phase("storm", TICKS_PER_HOUR, 0.006, 30),
    Phase("quiet", 2 * TICKS_PER_HOUR, 0.0, 0),
)
SETTLE_TICKS = 60
COLUMNS = (
    "way",
    "skew after drift, median",
    "p95",
    "p95 in storm hours",
    "quiet hours, median",
    "moves a night",
    "moves in quiet hours, all seeds",
    "of these after 10 min",
    "ticks to follow, median",
    "most",
)


@dataclasses.dataclass
class Outcome:
    """What one way gave in one night."""

    skews: dict[str, list[float]]
    moves: dict[str, int]
    followed: list[int]
    late_quiet_moves: int = 0


def draw_logs(rng: random.Random) -> list[float]:
    """Draws the log shares of a topic."""
    return [rng.gauss(0.0, SPREAD) for _ in range(EXPERTS)]


def normalise(logs: list[float]) -> list[float]:
    """Returns the shares that log shares stand for."""
    weights = [math.exp(value) for value in logs]
    total = sum(weights)
    return [weight / total for weight in weights]


def build_night(seed: int) -> list[tuple[str, int, list[float], list[int]]]:
    """Returns (phase, tick since a shift began, shares, counts) for each tick."""
    rng = random.Random(seed)
    logs = draw_logs(rng)
    night = []
    for phase in NIGHT:
        origin, goal = list(logs), draw_logs(rng)
        for tick in range(phase.ticks):
            if tick < phase.shift_ticks:
                part = (tick + 1) / phase.shift_ticks
                pairs = zip(origin, goal, strict=True)
                logs = [(1 - part) * old + part * new for old, new in pairs]
            logs = [value + rng.gauss(0.0, phase.drift) for value in logs]
            shares = normalise(logs)
            counts = [_draw_count(rng, share) for share in shares]
            since = tick if phase.shift_ticks else -1
            night.append((phase.name, since, shares, counts))
    return night


def _draw_count(rng: random.Random, share: float) -> int:
    mean = share * TOKENS_PER_TICK
    return max(0, round(rng.gauss(mean, math.sqrt(mean))))


def run_night(
    night: list[tuple[str, int, list[float], list[int]]],
    way: rebalancers.Rebalancer,
    limited: bool,
) -> Outcome:
    """Runs one way through a night; `limited` fetches weights at the store's rate."""
    shares = night[0][2]
    in_force = placement.pack_experts(shares, RANKS, SLOTS_PER_RANK)
    seen = popularity.create_popularity(EXPERTS, 0.0)
    under_way = plan.MovePlan(())
    outcome = Outcome({}, {}, [])
    waiting = False
    for tick, (phase, since, shares, counts) in enumerate(night):
        skew = in_force.compute_skew(shares)
        outcome.skews.setdefault(phase, []).append(skew)
        settled = since >= SETTLE_TICKS if phase == "storm" else True
        if settled and phase != "quiet":
            outcome.skews.setdefault("after drift", []).append(skew)
        shift_over = since == 30
        waiting = waiting or shift_over
        if shift_over:
            outcome.followed.append(0)
        if waiting and skew > FOLLOWED_SKEW:
            outcome.followed[-1] += 1
        else:
            waiting = False
        now = tick * TICK_S
        seen = popularity.add_counts(seen, counts, HALF_LIFE_S, now)
        step = under_way.find_batch(in_force)
        if step is None:
            proposed = way.propose_map(in_force, seen.compute_shares(), now)
            while way.is_busy():
                proposed = way.propose_map(in_force, seen.compute_shares(), now)
            if proposed is not None and limited:
                under_way = plan.plan_moves(in_force, proposed, MOVES_PER_TICK)
                step = under_way.find_batch(in_force)
            elif proposed is not None:
                count = placement.count_moves(in_force, proposed)
                _count(outcome, phase, tick, count)
                in_force = proposed
        if step is not None:
            _count(outcome, phase, tick, len(step.moves))
            in_force = step.end
    return outcome


def _count(outcome: Outcome, phase: str, tick: int, moves: int) -> None:
    outcome.moves[phase] = outcome.moves.get(phase, 0) + moves
    quiet_ticks = NIGHT[-1].ticks
    first = sum(part.ticks for part in NIGHT) - quiet_ticks + SETTLE_TICKS
    if tick >= first:
        outcome.late_quiet_moves += moves


def create_ways() -> dict[str, tuple[rebalancers.Rebalancer, bool]]:
    """Returns the ways to compare; only ours is held to the weight store's rate."""
    gate_settings, repair_settings = gates.GateSettings(), rebalancers.RepairSettings()
    return {
        "never": (rebalancers.NeverRebalance(), False),
        "always, from scratch, each 5 min": (
            rebalancers.AlwaysRebalance(SLOTS_PER_RANK, 300.0),
            False,
        ),
        "always, from scratch, each 1 min": (
            rebalancers.AlwaysRebalance(SLOTS_PER_RANK, 60.0),
            False,
        ),
        "gated repair": (
            rebalancers.GatedRepair(gate_settings, repair_settings),
            True,
        ),
    }


def format_row(name: str, outcomes: list[Outcome]) -> str:
    """Returns a row of the table for one way over all nights."""
    after = sorted(s for outcome in outcomes for s in outcome.skews["after drift"])
    storm = sorted(s for outcome in outcomes for s in outcome.skews["storm"])
    quiet = [s for outcome in outcomes for s in outcome.skews["quiet"]]
    moves = [sum(outcome.moves.values()) for outcome in outcomes]
    quiet_moves = sum(outcome.moves.get("quiet", 0) for outcome in outcomes)
    late_moves = sum(outcome.late_quiet_moves for outcome in outcomes)
    followed = sorted(t for outcome in outcomes for t in outcome.followed)
    cells = (
        f"{statistics.median(after):.3f}",
        f"{after[int(0.95 * len(after))]:.3f}",
        f"{storm[int(0.95 * len(storm))]:.3f}",
        f"{statistics.median(quiet):.3f}",
        f"{statistics.mean(moves):.0f}",
        f"{quiet_moves}",
        f"{late_moves}",
        f"{statistics.median(followed):.0f}",
        f"{followed[-1]}",
    )
    return f"| {name} | " + " | ".join(cells) + " |"


def main(path: str) -> None:
    """Runs all nights and writes the table."""
    outcomes: dict[str, list[Outcome]] = {}
    for seed in SEEDS:
        night = build_night(seed)
        for name, (way, limited) in create_ways().items():
            outcomes.setdefault(name, []).append(run_night(night, way, limited))
    lines = [format_row(name, found) for name, found in outcomes.items()]
    text = TEMPLATE.format(
        heading="| " + " | ".join(COLUMNS) + " |",
        rule="|" + " --- |" * len(COLUMNS),
        seeds=len(SEEDS),
        rows="\n".join(lines),
        ticks=sum(p.ticks for p in NIGHT),
    )
    pathlib.Path(path).write_text(text, encoding="utf-8")
    print(text)


TEMPLATE = """# Rebalancing of expert maps

Written by `python packages/chicoryweir-policy/benchmarks/expert_maps.py FILE`.

{seeds} seeds; each is a night of {ticks} ticks of 10 s: an hour of slow drift, an hour
that begins with a shift to another topic within 5 minutes, the same again, and two
hours in which the popularity stays as it is. 32 ranks, 128 experts, 5 slots on each
rank. The ways see counts with sampling noise and the skew is taken from the true
shares. The gated repair fetches 4 weights a tick, one for each rank at the most; the
others get their maps at once and for nothing, which favours them.

Skew is the slowest rank's load over the mean. "After drift" leaves out the quiet
hours, and the first 10 minutes of each shift. Ticks to follow count from the end of a
shift until the skew is at most 1.10.

{heading}
{rule}
{rows}
"""

if __name__ == "__main__":
    main(sys.argv[1])
