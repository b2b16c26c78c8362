"""Compares ways to keep the maps of a lock-step group even after shifts of the demand.

The demand of a group is made of its requests: each rank runs a few, each of one of some
topics, and a shift changes which experts most topics select. Time passes in steps; a
way sees the counts of the ranks that it samples, and its maps come into force after the
time that a change takes.
"""

from __future__ import annotations

import dataclasses
import operator
import pathlib
import random
import statistics
import sys
import time
import typing
import zlib

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.maps import placement
from chicoryweir_policy.maps import repair
from chicoryweir_policy.rankmaps import digests
from chicoryweir_policy.rankmaps import planning

SEEDS = range(3)
TICK_S = 0.1
LENGTH_S = 12.0
SHIFT_PERIOD_S = 3.7
TOPICS = 9
COMMON_SHARE = 0.7
SHIFTED_SHARE = 0.79
REQUESTS_PER_RANK = 3
# Mean lifetime of a request.
REQUEST_S = 1.5
# Selections of one request in a set.
SELECTIONS_PER_S = 50_000
LINK_BYTES_PER_S = 22.5e9
FOLLOWED_SKEW = 1.15
COLUMNS = (
    "ranks",
    "way",
    "skew, mean",
    "skew, mean beyond 2 s after a shift",
    "s until at most 1.15, median",
    "changes",
    "copies a change",
    "plan, ms",
    "KB read a s by the holder",
    "KB sent a change by the holder",
)


@dataclasses.dataclass(frozen=True)
class Size:
    """A group's size and layout, and how unevenly its experts are used."""

    ranks: int
    layout: configuration.ExpertLayout
    exponent: float


SIZES = (
    Size(16, configuration.ExpertLayout(4, 64, 5, 2, 2.5e9, 0.85), 1.1),
    Size(72, configuration.ExpertLayout(12, 144, 3, 2, 0.37e9, 0.85), 0.53),
    Size(192, configuration.ExpertLayout(10, 384, 3, 2, 0.17e9, 0.85), 0.43),
    Size(384, configuration.ExpertLayout(10, 384, 3, 2, 0.17e9, 0.85), 0.43),
)


class Demand:
    """Experts that a group's requests select."""

    def __init__(self, size: Size, rng: random.Random) -> None:
        self._size = size
        self._rng = rng
        self._common = self._draw()
        self._topics = [self._draw() for _ in range(TOPICS)]
        self._requests = [
            [rng.randrange(TOPICS) for _ in range(REQUESTS_PER_RANK)]
            for _ in range(size.ranks)
        ]

    def _draw(self) -> list[float]:
        layout = self._size.layout
        flat: list[float] = []
        for _ in range(layout.sets):
            weights = [(n + 1) ** -self._size.exponent for n in range(layout.experts)]
            self._rng.shuffle(weights)
            flat += [weight / sum(weights) for weight in weights]
        return flat

    def shift(self) -> None:
        """Changes the experts that most selections go to."""
        fresh = self._draw()
        self._common = [
            (1.0 - SHIFTED_SHARE) * old + SHIFTED_SHARE * new
            for old, new in zip(self._common, fresh, strict=True)
        ]

    def advance(self) -> None:
        """Replaces the requests that end within a tick."""
        for topics in self._requests:
            for index in range(len(topics)):
                if self._rng.random() < TICK_S / REQUEST_S:
                    topics[index] = self._rng.randrange(TOPICS)

    def compute_topic_shares(self) -> list[list[float]]:
        """Returns the shares that requests of each topic select, by set and expert."""
        return [
            [
                COMMON_SHARE * common + (1.0 - COMMON_SHARE) * own
                for common, own in zip(self._common, topic, strict=True)
            ]
            for topic in self._topics
        ]

    def list_topics(self, rank: int) -> list[int]:
        """Returns the topics of one rank's requests."""
        return self._requests[rank]

    def compute_shares(self) -> list[tuple[float, ...]]:
        """Returns the shares of each set over all requests."""
        layout, counts = self._size.layout, [0] * TOPICS
        for topics in self._requests:
            for topic in topics:
                counts[topic] += 1
        total = sum(counts)
        flat = [
            COMMON_SHARE * common
            + (1.0 - COMMON_SHARE)
            * sum(c * s for c, s in zip(counts, shares, strict=True))
            / total
            for common, shares in zip(
                self._common, zip(*self._topics, strict=True), strict=True
            )
        ]
        return [
            tuple(flat[n * layout.experts : (n + 1) * layout.experts])
            for n in range(layout.sets)
        ]


class Way(typing.Protocol):
    """Way to balance the maps; see `Fixed` for the attributes."""

    name: str
    sampled_ranks: int | None
    period_s: float
    change_s: float
    is_compact: bool

    def plan(
        self, maps: planning.Maps, shares: list[tuple[float, ...]], size: Size
    ) -> tuple[planning.Maps, int] | None:
        """Returns better maps and the number of copies, or None to keep them."""


@dataclasses.dataclass(frozen=True)
class Fixed:
    """Keeps the map that a group starts with.

    Attributes:
        name: Name of the way.
        sampled_ranks: Maximum number of ranks in a sample; None for all.
        period_s: Time between two samples.
        change_s: Time that a change takes, besides copying.
        is_compact: Whether counts and maps are sent as digests and compressed.
    """

    name: str = "map 0"
    sampled_ranks: int | None = 1
    period_s: float = LENGTH_S
    change_s: float = 0.0
    is_compact: bool = True

    def plan(
        self, maps: planning.Maps, shares: list[tuple[float, ...]], size: Size
    ) -> tuple[planning.Maps, int] | None:
        """Keeps the maps."""
        return None


@dataclasses.dataclass(frozen=True)
class Repaired(Fixed):
    """Repairs the maps by single edits, from the counts of some ranks."""

    name: str = "repair, 33 ranks (8aa1f4a)"
    sampled_ranks: int | None = 33
    period_s: float = 0.4
    change_s: float = 0.85
    is_compact: bool = False

    def plan(
        self, maps: planning.Maps, shares: list[tuple[float, ...]], size: Size
    ) -> tuple[planning.Maps, int] | None:
        """Repairs each set's map up to a skew of 1.2."""
        bounds = repair.RankBounds(
            size.layout.slots_per_rank,
            (size.layout.max_copies_per_rank,) * size.ranks,
        )
        budget = size.layout.max_copies_per_rank * size.ranks
        found = tuple(
            repair.repair_map(expert_map, set_shares, budget, 1.2, bounds)
            for expert_map, set_shares in zip(maps, shares, strict=True)
        )
        even = (1.0,) * size.ranks
        share = size.layout.share
        before = planning.compute_relative_step_time(maps, shares, share, even)
        after = planning.compute_relative_step_time(found, shares, share, even)
        if after > before * (1.0 - planning.MIN_GAIN):
            return None
        return found, _count_copies(maps, found)


@dataclasses.dataclass(frozen=True)
class Always(Fixed):
    """Packs all maps from scratch at each sample of all ranks."""

    name: str = "always, from scratch"
    sampled_ranks: int | None = None
    period_s: float = 0.4
    change_s: float = 0.4

    def plan(
        self, maps: planning.Maps, shares: list[tuple[float, ...]], size: Size
    ) -> tuple[planning.Maps, int] | None:
        """Packs the maps without regard to the copies that this needs."""
        slots = size.layout.slots_per_rank
        found = tuple(placement.pack_experts(s, size.ranks, slots) for s in shares)
        return found, _count_copies(maps, found)


@dataclasses.dataclass(frozen=True)
class Proposed(Fixed):
    """Proposes maps as the holder of the lease does, from digests of all ranks."""

    name: str = "as built"
    sampled_ranks: int | None = None
    period_s: float = 0.3
    change_s: float = 0.4

    def plan(
        self, maps: planning.Maps, shares: list[tuple[float, ...]], size: Size
    ) -> tuple[planning.Maps, int] | None:
        """Returns the proposed maps."""
        even = (1.0,) * size.ranks
        found = planning.propose_maps(maps, shares, size.layout, even, LINK_BYTES_PER_S)
        return None if found is None else (found.maps, found.copies)


WAYS: tuple[Way, ...] = (Fixed(), Always(), Repaired(), Proposed())


def _count_copies(before: planning.Maps, after: planning.Maps) -> int:
    return sum(
        placement.count_moves(old, new) for old, new in zip(before, after, strict=True)
    )


@dataclasses.dataclass
class Result:
    """Figures of one way over one run."""

    skews: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    follow_s: list[float] = dataclasses.field(default_factory=list)
    copies: list[int] = dataclasses.field(default_factory=list)
    plan_s: list[float] = dataclasses.field(default_factory=list)
    bytes_read: int = 0
    bytes_sent: list[int] = dataclasses.field(default_factory=list)


class Holder:
    """Samples the demand of a group and plans its maps in one way."""

    def __init__(self, way: Way, size: Size, result: Result) -> None:
        self._way, self._size, self._result = way, size, result
        self._tracker = planning.DemandTracker(size.layout, 0.0)
        values = size.layout.sets * size.layout.experts
        self._counts = [[0] * values for _ in range(size.ranks)]
        self._sources = [digests.DigestSource(1) for _ in range(size.ranks)]
        self._numbers = [digests.NO_BASE] * size.ranks
        self._samples = 0
        self._sampled_at = 0.0

    def update(
        self, demand: Demand, maps: planning.Maps, now: float
    ) -> planning.Maps | None:
        """Takes a sample if one is due; returns new maps if they are worth a change."""
        if now - self._sampled_at < self._way.period_s:
            return None
        self._sample(demand, now)
        shares = self._tracker.compute_shares()
        if shares is None:
            return None
        began = time.process_time()
        planned = self._way.plan(maps, shares, self._size)
        self._result.plan_s.append(time.process_time() - began)
        if planned is None:
            return None
        self._result.copies.append(planned[1])
        sent = self._size.ranks * _measure_map(self._way, planned[0])
        self._result.bytes_sent.append(sent)
        return planned[0]

    def _sample(self, demand: Demand, now: float) -> None:
        _add_selections(demand, self._counts, self._size, now - self._sampled_at)
        self._sampled_at = now
        made = []
        for rank in _select_ranks(self._way, self._size, self._samples):
            counts = self._counts[rank]
            digest = self._sources[rank].create_digest(
                1, counts, self._numbers[rank], now
            )
            self._numbers[rank] = digest.sequence
            made.append(digest)
            self._result.bytes_read += _measure_digest(self._way, digest, counts)
        self._samples += 1
        self._tracker.add_digests(made, now)


def run_way(way: Way, size: Size, seed: int) -> Result:
    """Simulates one way."""
    demand, result = Demand(size, random.Random(seed)), Result()
    holder = Holder(way, size, result)
    maps = planning.create_initial_maps(size.layout, size.ranks)
    pending: tuple[float, planning.Maps] | None = None
    shifted_s, is_followed = 0.0, True
    for tick in range(round(LENGTH_S / TICK_S)):
        now = tick * TICK_S
        if now - shifted_s >= SHIFT_PERIOD_S:
            demand.shift()
            shifted_s, is_followed = now, False
        demand.advance()
        if pending is not None and now >= pending[0]:
            maps, pending = pending[1], None
        skew = statistics.mean(
            expert_map.compute_skew(shares)
            for expert_map, shares in zip(maps, demand.compute_shares(), strict=True)
        )
        result.skews.append((now - shifted_s, skew))
        if not is_followed and skew <= FOLLOWED_SKEW:
            result.follow_s.append(now - shifted_s)
            is_followed = True
        if pending is None:
            planned = holder.update(demand, maps, now)
            if planned is not None:
                pending = now + way.change_s, planned
    return result


def _add_selections(
    demand: Demand, counts: list[list[int]], size: Size, elapsed_s: float
) -> None:
    """Adds what the requests of each rank selected in a time."""
    factor = SELECTIONS_PER_S * elapsed_s
    by_topic = [
        [int(share * factor) for share in shares]
        for shares in demand.compute_topic_shares()
    ]
    for rank in range(size.ranks):
        for topic in demand.list_topics(rank):
            counts[rank] = list(map(operator.add, counts[rank], by_topic[topic]))


def _select_ranks(way: Way, size: Size, sample: int) -> list[int]:
    """Returns the ranks of a sample; a partial one keeps half of those before it."""
    count = size.ranks if way.sampled_ranks is None else way.sampled_ranks
    count = min(count, size.ranks)
    if count == size.ranks:
        return list(range(size.ranks))
    return [(sample * (count // 2) + n) % size.ranks for n in range(count)]


def _measure_digest(way: Way, digest: digests.Digest, counts: list[int]) -> int:
    if way.is_compact:
        return len(zlib.compress(digest.values, 1))
    return len(repr(counts))


def _measure_map(way: Way, maps: planning.Maps) -> int:
    encoded = repr(planning.encode_maps(maps)).replace(" ", "").encode()
    return len(zlib.compress(encoded, 1)) if way.is_compact else len(encoded)


def summarise(way: Way, size: Size) -> list[str]:
    """Returns the table row of one way at one size, over all seeds."""
    results = [run_way(way, size, seed) for seed in SEEDS]
    skews = [skew for result in results for _, skew in result.skews]
    settled = [
        skew for result in results for since_s, skew in result.skews if since_s > 2.0
    ]
    follow_s = [s for result in results for s in result.follow_s]
    copies = [count for result in results for count in result.copies]
    plan_s = [s for result in results for s in result.plan_s]
    sent = [count for result in results for count in result.bytes_sent]
    read = sum(result.bytes_read for result in results)
    return [
        str(size.ranks),
        way.name,
        f"{statistics.mean(skews):.2f}",
        f"{statistics.mean(settled):.2f}",
        f"{statistics.median(follow_s):.1f}" if follow_s else "never",
        f"{len(copies) / len(results):.1f}",
        f"{statistics.mean(copies):.0f}" if copies else "0",
        f"{1e3 * statistics.mean(plan_s):.0f}" if plan_s else "0",
        f"{read / 1e3 / LENGTH_S / len(results):.0f}",
        f"{statistics.mean(sent) / 1e3:.0f}" if sent else "0",
    ]


def main(path: pathlib.Path) -> None:
    """Writes the table."""
    lines = [" | ".join(COLUMNS), " | ".join("---" for _ in COLUMNS)]
    for size in SIZES:
        lines += [" | ".join(summarise(way, size)) for way in WAYS]
    rows = "\n".join(f"| {line} |" for line in lines)
    path.write_text(
        f"# Maps of lock-step groups\n\nWritten by `python {sys.argv[0]} FILE`.\n\n"
        f"{len(SEEDS)} seeds of {LENGTH_S:.0f} s with a shift each {SHIFT_PERIOD_S} s. "
        "Skew is the most loaded rank's load over the mean, averaged over the sets. "
        "The times of a change are those seen in plays of the users' bench.\n\n"
        f"{rows}\n"
    )


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
