"""Compares rebalancing strategies on nights of changing expert popularity."""

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
LOG_SHARE_STDDEV = 0.8
FOLLOWED_SKEW = 1.10
TICKS_PER_HOUR = 360
SEEDS = range(1, 13)


@dataclasses.dataclass(frozen=True)
class Phase:
    """A phase of the simulated night.

    Attributes:
        name: Kind of phase: calm (slow drift), storm (begins with a shift to another
            topic) or quiet (constant popularity).
        ticks: Duration, in ticks.
        drift: Standard deviation of the change of a log share per tick.
        shift_ticks: Duration of the shift to another topic, in ticks; 0 for none.
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
class NightResult:
    """Results of one strategy in one night.

    Attributes:
        skews: Load of the slowest rank over the mean, per tick, by phase.
        moves: Number of weights fetched, by phase.
        ticks_to_follow: For each shift, the ticks after its end until the skew was at
            most FOLLOWED_SKEW.
        late_quiet_moves: Moves in the quiet phase after its first SETTLE_TICKS.
    """

    skews: dict[str, list[float]]
    moves: dict[str, int]
    ticks_to_follow: list[int]
    late_quiet_moves: int = 0


def draw_log_shares(rng: random.Random) -> list[float]:
    """Draws the logarithms of the unnormalised expert shares of a topic."""
    return [rng.gauss(0.0, LOG_SHARE_STDDEV) for _ in range(EXPERTS)]


def normalise(log_shares: list[float]) -> list[float]:
    """Converts log shares to shares that sum to 1."""
    weights = [math.exp(value) for value in log_shares]
    total = sum(weights)
    return [weight / total for weight in weights]


def build_night(seed: int) -> list[tuple[str, int, list[float], list[int]]]:
    """Returns (phase, tick within a storm or -1, shares, counts) for each tick."""
    rng = random.Random(seed)
    log_shares = draw_log_shares(rng)
    night = []
    for phase in NIGHT:
        start, target = list(log_shares), draw_log_shares(rng)
        for tick in range(phase.ticks):
            if tick < phase.shift_ticks:
                fraction = (tick + 1) / phase.shift_ticks
                pairs = zip(start, target, strict=True)
                log_shares = [
                    (1 - fraction) * old + fraction * new for old, new in pairs
                ]
            log_shares = [value + rng.gauss(0.0, phase.drift) for value in log_shares]
            shares = normalise(log_shares)
            counts = [_draw_count(rng, share) for share in shares]
            shift_tick = tick if phase.shift_ticks else -1
            night.append((phase.name, shift_tick, shares, counts))
    return night


def _draw_count(rng: random.Random, share: float) -> int:
    mean = share * TOKENS_PER_TICK
    return max(0, round(rng.gauss(mean, math.sqrt(mean))))


def run_night(
    night: list[tuple[str, int, list[float], list[int]]],
    strategy: rebalancers.Rebalancer,
    is_rate_limited: bool,
) -> NightResult:
    """Simulates one strategy for a night.

    Args:
        night: Ticks of the night, from `build_night`.
        strategy: Strategy to simulate.
        is_rate_limited: Whether moves are limited to MOVES_PER_TICK, the rate of the
            weight store, rather than applied at once.
    """
    shares = night[0][2]
    current_map = placement.pack_experts(shares, RANKS, SLOTS_PER_RANK)
    estimate = popularity.create_popularity(EXPERTS, 0.0)
    move_plan = plan.MovePlan(())
    result = NightResult({}, {}, [])
    is_following = False
    for tick, (phase, shift_tick, shares, counts) in enumerate(night):
        skew = current_map.compute_skew(shares)
        result.skews.setdefault(phase, []).append(skew)
        settled = shift_tick >= SETTLE_TICKS if phase == "storm" else True
        if settled and phase != "quiet":
            result.skews.setdefault("after drift", []).append(skew)
        shift_ended = shift_tick == 30
        is_following = is_following or shift_ended
        if shift_ended:
            result.ticks_to_follow.append(0)
        if is_following and skew > FOLLOWED_SKEW:
            result.ticks_to_follow[-1] += 1
        else:
            is_following = False
        now = tick * TICK_S
        estimate = popularity.add_counts(estimate, counts, HALF_LIFE_S, now)
        batch = move_plan.find_batch(current_map)
        if batch is None:
            proposed = strategy.propose_map(current_map, estimate.compute_shares(), now)
            while strategy.is_busy():
                proposed = strategy.propose_map(
                    current_map, estimate.compute_shares(), now
                )
            if proposed is not None and is_rate_limited:
                move_plan = plan.plan_moves(current_map, proposed, MOVES_PER_TICK)
                batch = move_plan.find_batch(current_map)
            elif proposed is not None:
                count = placement.count_moves(current_map, proposed)
                _record_moves(result, phase, tick, count)
                current_map = proposed
        if batch is not None:
            _record_moves(result, phase, tick, len(batch.moves))
            current_map = batch.end
    return result


def _record_moves(result: NightResult, phase: str, tick: int, moves: int) -> None:
    result.moves[phase] = result.moves.get(phase, 0) + moves
    quiet_ticks = NIGHT[-1].ticks
    first_late_tick = sum(item.ticks for item in NIGHT) - quiet_ticks + SETTLE_TICKS
    if tick >= first_late_tick:
        result.late_quiet_moves += moves


def create_strategies() -> dict[str, tuple[rebalancers.Rebalancer, bool]]:
    """Returns the strategies, each with whether its moves are rate-limited."""
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


def format_row(name: str, results: list[NightResult]) -> str:
    """Formats the row of one strategy over all nights."""
    after = sorted(s for result in results for s in result.skews["after drift"])
    storm = sorted(s for result in results for s in result.skews["storm"])
    quiet = [s for result in results for s in result.skews["quiet"]]
    moves = [sum(result.moves.values()) for result in results]
    quiet_moves = sum(result.moves.get("quiet", 0) for result in results)
    late_moves = sum(result.late_quiet_moves for result in results)
    ticks_to_follow = sorted(t for result in results for t in result.ticks_to_follow)
    cells = (
        f"{statistics.median(after):.3f}",
        f"{after[int(0.95 * len(after))]:.3f}",
        f"{storm[int(0.95 * len(storm))]:.3f}",
        f"{statistics.median(quiet):.3f}",
        f"{statistics.mean(moves):.0f}",
        f"{quiet_moves}",
        f"{late_moves}",
        f"{statistics.median(ticks_to_follow):.0f}",
        f"{ticks_to_follow[-1]}",
    )
    return f"| {name} | " + " | ".join(cells) + " |"


def main(path: str) -> None:
    """Runs all nights and writes the Markdown page to `path`."""
    results: dict[str, list[NightResult]] = {}
    for seed in SEEDS:
        night = build_night(seed)
        for name, (strategy, is_rate_limited) in create_strategies().items():
            results.setdefault(name, []).append(
                run_night(night, strategy, is_rate_limited)
            )
    lines = [format_row(name, found) for name, found in results.items()]
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
