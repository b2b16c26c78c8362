"""Measures the subsets of endpoints at 380 entries and 890 endpoints."""

from __future__ import annotations

import collections
import statistics
import time

import xxhash

from chicoryweir_policy.routing import addresses
from chicoryweir_policy.routing import selection
from chicoryweir_policy.routing import subsets
from chicoryweir_policy.routing import views


def measure_subsets() -> list[str]:
    """Measures coverage and churn of subsets at 380 x 890."""
    entries = [subsets.Node(f"entry-{n}", f"p{n % 8}") for n in range(380)]
    endpoints = [subsets.Node(f"agent-{n}", f"p{n % 8}") for n in range(890)]

    def by_ring(entry, entries, endpoints):  # noqa: ANN001, ANN202
        return subsets.choose_subset(entry, entries, endpoints)

    def by_rendezvous(entry, entries, endpoints):  # noqa: ANN001, ANN202
        seed = xxhash.xxh64_intdigest(entry.instance.encode())
        ranked = sorted(
            endpoints,
            key=lambda n: xxhash.xxh64_intdigest(n.instance.encode(), seed=seed),
        )
        return [node.instance for node in ranked[: subsets.SUBSET_SIZE]]

    changes = {
        "endpoint leaves": (entries, endpoints[:-1]),
        "entry leaves": (entries[:-1], endpoints),
        "entry replaced": ([*entries[1:], subsets.Node("entry-x", "p0")], endpoints),
    }
    lines = [
        f"\n## Subsets of {subsets.SUBSET_SIZE} at 380 entries x 890 endpoints\n",
        "| way | entries per endpoint, least/mean/most | ms per subset | "
        + " | ".join(f"new links of an entry, {name}: mean/most" for name in changes)
        + " |",
        "| --- | --- | --- |" + " --- |" * len(changes),
    ]
    for name, choose in (("ring (in use)", by_ring), ("rendezvous", by_rendezvous)):
        started = time.perf_counter()
        before = {e: set(choose(e, entries, endpoints)) for e in entries}
        spent_ms = (time.perf_counter() - started) * 1000 / len(entries)
        covered = collections.Counter(i for chosen in before.values() for i in chosen)
        counts = [covered[node.instance] for node in endpoints]
        cells = [
            f"{min(counts)} / {statistics.mean(counts):.1f} / {max(counts)}",
            f"{spent_ms:.2f}",
        ]
        for members, nodes in changes.values():
            new = [
                len(set(choose(e, members, nodes)) - before[e])
                for e in members
                if e in before
            ]
            cells.append(f"{statistics.mean(new):.2f} / {max(new)}")
        lines.append(f"| {name} | {' | '.join(cells)} |")
    chosen = {e.instance: by_ring(e, entries, endpoints) for e in entries}
    return [*lines, *_measure_reach(entries, chosen)]


def _measure_reach(
    entries: list[subsets.Node], chosen: dict[str, tuple[str, ...]]
) -> list[str]:
    members = {
        name: views.Member(name, "", 0.0, xxhash.xxh64_intdigest(name.encode()))
        for names in chosen.values()
        for name in names
    }
    known = [
        addresses.EntryView(e.instance, "", 0, e.data_centre, False, 0.0)
        for e in entries
    ]
    reached: dict[int, list[int]] = {3: [], len(entries): []}
    for number in range(100):
        content = xxhash.xxh64_intdigest(str(number).encode())
        ranked = addresses.rank_addresses(known, "p1", content, 0.0, limit=380)
        for count, sizes in reached.items():
            pairs = set()
            for entry in ranked[:count]:
                linked = tuple(members[name] for name in chosen[entry.instance])
                pairs.update(selection.rank_members(linked, content)[:2])
            sizes.append(len(pairs))
    cells = [f"{statistics.mean(r):.1f} / {max(r)}" for r in reached.values()]
    return [
        "\nEndpoints in the pairs of one content, mean / most of 100 contents: through "
        f"the first 3 addresses of one caller {cells[0]}, through all 380 entries "
        f"{cells[1]}.",
    ]
