"""Measures full copies of the settings against deltas, in bytes and CPU time.

Run with `.venv/bin/python packages/chicoryweir-policy/benchmarks/...`.
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
    """Creates settings with `count` workspaces, one key and two values each."""
    names = [f"workspace-{index:05d}" for index in range(count)]
    owners = {name: {"keys_sha256": [hash_name(name)]} for name in names}
    nodes = {
        name: {"settings": {"weight": 1 + index % 9, "rate_tokens_per_s": 100 + index}}
        for index, name in enumerate(names)
    }
    services = {"model-desk": {"workspaces": nodes}}
    return {
        "workspaces": owners,
        "operators": {"dato": {"keys_sha256": [hash_name("dato")]}},
        "services": {"model-desk": {"kind": "model", "models": ["kakheti-1"]}},
        "fleet": {"places": {"*": {"services": services}}},
    }


def hash_name(name: str) -> str:
    """Returns 64 hexadecimal digits, as long as a SHA-256."""
    first = documents.compute_digest(name.encode())
    return first + documents.compute_digest(first.encode())


def measure_ms(run: collections.abc.Callable[[], object]) -> float:
    """Returns the median CPU time of a call, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        begin = time.process_time()
        run()
        times.append(time.process_time() - begin)
    return statistics.median(times) * 1000


def main() -> None:
    """Prints one line per size."""
    for count in (10, 600, 6200):
        base = make_document(count)
        target = make_document(count)
        nodes = target["fleet"]["places"]["*"]["services"]["model-desk"]["workspaces"]
        nodes[f"workspace-{count // 2:05d}"]["settings"]["weight"] = 7.5
        target["workspaces"]["newcomer"] = {"keys_sha256": [hash_name("newcomer")]}
        old, new = documents.encode_document(base), documents.encode_document(target)
        digest = documents.compute_digest(new)
        head = heads.Head(2, "settings/2-c", digest, "c", "dato", 0.0, "")
        held = copies.Copy(head, old)
        found = delta.compute_delta(old, new)
        assert found is not None
        encoded = delta.encode_delta(found)

        whole = copies.Copy(head, new)
        assert copies.load_copy(whole) == copies.load_from_delta(held, head, encoded)
        full_ms = measure_ms(lambda whole=whole: copies.load_copy(whole))
        delta_ms = measure_ms(
            lambda held=held, encoded=encoded, head=head: copies.load_from_delta(
                held, head, encoded
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
