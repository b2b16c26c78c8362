"""Prefix cache of the engine, with least-recently-used eviction."""

from __future__ import annotations

import collections
import collections.abc

from chicoryweir_policy.routing import prefix

PublishEvent = collections.abc.Callable[[str, int], None]


class PrefixCache:
    """Bounded cache of the prompt blocks that need no prefill."""

    def __init__(self, capacity_blocks: int, publish: PublishEvent) -> None:
        """Calls `publish` with "stored" or "evicted" and the block."""
        self._capacity_blocks = capacity_blocks
        self._publish = publish
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()

    def add_prompt(self, text: str) -> int:
        """Caches a prompt; returns how many leading blocks were cached already."""
        blocks = prefix.hash_blocks(text)
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        self.store(blocks)
        return hits

    def store(self, blocks: collections.abc.Iterable[int]) -> None:
        """Stores blocks and evicts the least recently used ones."""
        for block in blocks:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._publish("stored", block)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted)

    def list_blocks(self) -> list[int]:
        """Returns the cached blocks, least recently used first."""
        return list(self._blocks)
