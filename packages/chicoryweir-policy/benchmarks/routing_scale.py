"""Measures coverage and churn of endpoint subsets in a large deployment."""

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
    """Measures the subsets of 380 entries among 890 endpoints."""
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
    for name, select_subset in (
        ("ring (in use)", by_ring),
        ("rendezvous", by_rendezvous),
    ):
        started_at = time.perf_counter()
        before = {e: set(select_subset(e, entries, endpoints)) for e in entries}
        subset_ms = (time.perf_counter() - started_at) * 1000 / len(entries)
        entry_counts = collections.Counter(
            i for selected in before.values() for i in selected
        )
        counts = [entry_counts[node.instance] for node in endpoints]
        cells = [
            f"{min(counts)} / {statistics.mean(counts):.1f} / {max(counts)}",
            f"{subset_ms:.2f}",
        ]
        for members, nodes in changes.values():
            new_link_counts = [
                len(set(select_subset(e, members, nodes)) - before[e])
                for e in members
                if e in before
            ]
            cells.append(
                f"{statistics.mean(new_link_counts):.2f} / {max(new_link_counts)}"
            )
        lines.append(f"| {name} | {' | '.join(cells)} |")
    subset_by_entry = {e.instance: by_ring(e, entries, endpoints) for e in entries}
    return [*lines, *_measure_content_reach(entries, subset_by_entry)]


def _measure_content_reach(
    entries: list[subsets.Node], subset_by_entry: dict[str, tuple[str, ...]]
) -> list[str]:
    """Measures how many endpoints the entries rank first or second for a content."""
    members = {
        name: views.Member(name, "", 0.0, xxhash.xxh64_intdigest(name.encode()))
        for names in subset_by_entry.values()
        for name in names
    }
    entry_views = [
        addresses.EntryView(e.instance, "", 0, e.data_centre, False, 0.0)
        for e in entries
    ]
    pair_counts_by_entry_count: dict[int, list[int]] = {3: [], len(entries): []}
    for number in range(100):
        content = xxhash.xxh64_intdigest(str(number).encode())
        ranked = addresses.rank_addresses(entry_views, "p1", content, 0.0, limit=380)
        for count, pair_counts in pair_counts_by_entry_count.items():
            paired_endpoints = set()
            for entry in ranked[:count]:
                linked = tuple(
                    members[name] for name in subset_by_entry[entry.instance]
                )
                paired_endpoints.update(selection.rank_members(linked, content)[:2])
            pair_counts.append(len(paired_endpoints))
    cells = [
        f"{statistics.mean(counts):.1f} / {max(counts)}"
        for counts in pair_counts_by_entry_count.values()
    ]
    return [
        "\nEndpoints in the pairs of one content, mean / most of 100 contents: through "
        f"the first 3 addresses of one caller {cells[0]}, through all 380 entries "
        f"{cells[1]}.",
    ]
