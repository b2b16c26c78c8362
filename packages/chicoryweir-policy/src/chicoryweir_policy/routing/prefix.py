"""Hashes prompt prefixes and tracks which endpoints have them cached."""

from __future__ import annotations

import collections
import collections.abc

import xxhash

BLOCK_CHARS = 256
MAX_MATCHED_BLOCKS = 64
MAX_COUNTED_BLOCKS = 8
MAX_INDEXED_BLOCKS = 20_000
POPULARITY_WINDOW_SENDS = 1024
POPULARITY_MIN_SENDS = 64


def hash_blocks(text: str) -> tuple[int, ...]:
    """Hashes the successive blocks of a prompt, chained over all earlier blocks.

    Args:
        text: The prompt.

    Returns:
        One hash per complete block of `BLOCK_CHARS` characters.
    """
    hashes: list[int] = []
    chained = 0
    for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS].encode("utf-8", "surrogatepass")
        chained = xxhash.xxh64_intdigest(block, seed=chained)
        hashes.append(chained)
    return tuple(hashes)


class PrefixIndex:
    """Bounded index of the endpoints that hold each prompt block in their caches.

    It is updated by the endpoints' cache events, which arrive late and may be missing,
    and by the attempts that this entry sends: an endpoint is assumed to cache each
    prompt that it receives. Blocks that were confirmed least recently are evicted.
    """

    def __init__(self, max_blocks: int = MAX_INDEXED_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._holders: collections.OrderedDict[int, tuple[int, ...]] = (
            collections.OrderedDict()
        )
        self._holder_ids: dict[str, int] = {}
        self._valid_ids: set[int] = set()
        self._next_id = 0
        self._send_count_by_block: dict[int, int] = {}
        self._send_count = 0

    def __len__(self) -> int:
        return len(self._holders)

    def record_stored(
        self, instance: str, blocks: collections.abc.Iterable[int]
    ) -> None:
        """Records that an endpoint has these blocks cached."""
        holder = self._get_holder_id(instance)
        for block in blocks:
            self._add_holder(block, holder)
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def record_evicted(
        self, instance: str, blocks: collections.abc.Iterable[int]
    ) -> None:
        """Records that an endpoint evicted these blocks from its cache."""
        evicting = self._holder_ids.get(instance)
        for block in blocks:
            holders = self._holders.get(block, ())
            if evicting not in holders:
                continue
            remaining = tuple(holder for holder in holders if holder != evicting)
            if remaining:
                self._holders[block] = remaining
            else:
                del self._holders[block]

    def record_sent(self, instance: str, blocks: tuple[int, ...]) -> None:
        """Records that an attempt with these prompt blocks was sent to an endpoint."""
        self.record_stored(instance, blocks[:MAX_MATCHED_BLOCKS])
        self._send_count += 1
        for block in blocks[:MAX_COUNTED_BLOCKS]:
            self._send_count_by_block[block] = (
                self._send_count_by_block.get(block, 0) + 1
            )
        if self._send_count >= POPULARITY_WINDOW_SENDS:
            self._halve_counts()

    def remove_endpoint(self, instance: str) -> None:
        """Removes all blocks of an endpoint, for example after its restart."""
        holder = self._holder_ids.pop(instance, None)
        if holder is not None:
            self._valid_ids.discard(holder)

    def count_cached(self, instance: str, blocks: tuple[int, ...]) -> int:
        """Counts the leading blocks of a prompt that an endpoint has cached.

        Each hash covers all earlier blocks, so the last cached block determines the
        count even if cache events of earlier blocks are missing.
        """
        holder = self._holder_ids.get(instance)
        if holder is None:
            return 0
        for depth in range(min(len(blocks), MAX_MATCHED_BLOCKS), 0, -1):
            if holder in self._holders.get(blocks[depth - 1], ()):
                return depth
        return 0

    def find_home_block(self, blocks: tuple[int, ...], max_share: float) -> int:
        """Finds the leading block that determines the home endpoint of a prompt.

        Args:
            blocks: Hashes of the prompt's blocks.
            max_share: Maximum share of recently sent attempts with the block, 0 to 1.

        Returns:
            The first block within that share, or 0 if there is none. A system prompt
            that most requests share is thereby skipped: it would give all of them
            the same home.
        """
        if self._send_count < POPULARITY_MIN_SENDS:
            return blocks[0] if blocks else 0
        limit = max_share * self._send_count
        for block in blocks[:MAX_COUNTED_BLOCKS]:
            if self._send_count_by_block.get(block, 0) <= limit:
                return block
        return 0

    def _get_holder_id(self, instance: str) -> int:
        holder = self._holder_ids.get(instance)
        if holder is None:
            holder = self._next_id
            self._next_id += 1
            self._holder_ids[instance] = holder
            self._valid_ids.add(holder)
        return holder

    def _add_holder(self, block: int, holder: int) -> None:
        holders = self._holders.get(block, ())
        if holder not in holders:
            valid = tuple(known for known in holders if known in self._valid_ids)
            self._holders[block] = (*valid, holder)
        self._holders.move_to_end(block)

    def _halve_counts(self) -> None:
        self._send_count //= 2
        self._send_count_by_block = {
            block: count // 2
            for block, count in self._send_count_by_block.items()
            if count > 1
        }
