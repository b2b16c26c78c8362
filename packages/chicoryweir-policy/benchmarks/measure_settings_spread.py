"""Compares full copies of the settings with deltas in bytes and CPU time.

Usage: `python packages/chicoryweir-policy/benchmarks/measure_settings_spread.py`.
"""

from __future__ import annotations

import collections.abc
import statistics
import time
import typing

from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import delta
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads

CHANGES_PER_DAY = 1500
DAY_S = 86_400
ROUNDS = 15
Document = dict[str, typing.Any]


def make_document(count: int) -> Document:
    """Creates settings for `count` workspaces with one key and two values each."""
    names = [f"workspace-{index:05d}" for index in range(count)]
    workspaces = {name: {"keys_sha256": [hash_name(name)]} for name in names}
    nodes = {
        name: {"settings": {"weight": 1 + index % 9, "rate_tokens_per_s": 100 + index}}
        for index, name in enumerate(names)
    }
    services = {"model-desk": {"workspaces": nodes}}
    return {
        "workspaces": workspaces,
        "operators": {"dato": {"keys_sha256": [hash_name("dato")]}},
        "services": {"model-desk": {"kind": "model", "models": ["kakheti-1"]}},
        "fleet": {"places": {"*": {"services": services}}},
    }


def hash_name(name: str) -> str:
    """Returns 64 hexadecimal digits, the length of a SHA-256 digest."""
    first = documents.compute_digest(name.encode())
    return first + documents.compute_digest(first.encode())


def measure_ms(function: collections.abc.Callable[[], object]) -> float:
    """Returns the median CPU time of a call over ROUNDS calls, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        started_at = time.process_time()
        function()
        times.append(time.process_time() - started_at)
    return statistics.median(times) * 1000


def main() -> None:
    """Prints one line of figures for each number of workspaces."""
    for count in (10, 600, 6200):
        base = make_document(count)
        target = make_document(count)
        nodes = target["fleet"]["places"]["*"]["services"]["model-desk"]["workspaces"]
        nodes[f"workspace-{count // 2:05d}"]["settings"]["weight"] = 7.5
        target["workspaces"]["newcomer"] = {"keys_sha256": [hash_name("newcomer")]}
        old, new = documents.encode_document(base), documents.encode_document(target)
        digest = documents.compute_digest(new)
        head = heads.Head(2, "settings/2-c", digest, "c", "dato", 0.0, "")
        base_copy = copies.Copy(head, old)
        changes = delta.compute_delta(old, new)
        assert changes is not None
        encoded = delta.encode_delta(changes)

        full_copy = copies.Copy(head, new)
        assert copies.load_copy(full_copy) == copies.load_from_delta(
            base_copy, head, encoded
        )
        full_ms = measure_ms(lambda full_copy=full_copy: copies.load_copy(full_copy))
        delta_ms = measure_ms(
            lambda base_copy=base_copy, encoded=encoded, head=head: (
                copies.load_from_delta(base_copy, head, encoded)
            )
        )
        compute_ms = measure_ms(lambda old=old, new=new: delta.compute_delta(old, new))
        per_s = CHANGES_PER_DAY / DAY_S
        print(
            f"workspaces={count}"
            f" full_bytes={len(new)} delta_bytes={len(encoded)}"
            f" full_bytes_per_s={len(new) * per_s:.1f}"
            f" delta_bytes_per_s={len(encoded) * per_s:.1f}"
            f" take_full_ms={full_ms:.2f} take_delta_ms={delta_ms:.2f}"
            f" compute_delta_ms={compute_ms:.2f}"
        )


if __name__ == "__main__":
    main()
