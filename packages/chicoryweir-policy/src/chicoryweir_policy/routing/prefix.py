"""Prompt prefixes and the endpoints whose caches hold them."""

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
    """Hashes the successive blocks of a prompt, each over all before it.

    Args:
        text: Text of the prompt.

    Returns:
        One hash for each complete block of `BLOCK_CHARS` characters.
    """
    hashes: list[int] = []
    chained = 0
    for start in range(0, len(text) - BLOCK_CHARS + 1, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS].encode("utf-8", "surrogatepass")
        chained = xxhash.xxh64_intdigest(block, seed=chained)
        hashes.append(chained)
    return tuple(hashes)


class PrefixIndex:
    """Bounded record of which endpoint holds which prompt blocks.

    Fed by the endpoints' cache events, which are late and have gaps, and by the
    sends of this entry, after which the endpoint is taken to hold the prompt. The
    blocks that were confirmed least recently are forgotten first.
    """

    def __init__(self, max_blocks: int = MAX_INDEXED_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._holders: collections.OrderedDict[int, tuple[int, ...]] = (
            collections.OrderedDict()
        )
        self._holder_ids: dict[str, int] = {}
        self._valid_ids: set[int] = set()
        self._next_id = 0
        self._sends_of_block: dict[int, int] = {}
        self._sends = 0

    def __len__(self) -> int:
        return len(self._holders)

    def record_stored(
        self, instance: str, blocks: collections.abc.Iterable[int]
    ) -> None:
        """Records that an endpoint holds these blocks."""
        holder = self._identify(instance)
        for block in blocks:
            self._add(block, holder)
        while len(self._holders) > self._max_blocks:
            self._holders.popitem(last=False)

    def record_evicted(
        self, instance: str, blocks: collections.abc.Iterable[int]
    ) -> None:
        """Records that an endpoint no longer holds these blocks."""
        gone = self._holder_ids.get(instance)
        for block in blocks:
            holders = self._holders.get(block, ())
            if gone not in holders:
                continue
            left = tuple(holder for holder in holders if holder != gone)
            if left:
                self._holders[block] = left
            else:
                del self._holders[block]

    def record_sent(self, instance: str, blocks: tuple[int, ...]) -> None:
        """Records that a request with these blocks was sent to an endpoint."""
        self.record_stored(instance, blocks[:MAX_MATCHED_BLOCKS])
        self._sends += 1
        for block in blocks[:MAX_COUNTED_BLOCKS]:
            self._sends_of_block[block] = self._sends_of_block.get(block, 0) + 1
        if self._sends >= POPULARITY_WINDOW_SENDS:
            self._halve_counts()

    def remove_endpoint(self, instance: str) -> None:
        """Forgets all that an endpoint held, as after its restart."""
        holder = self._holder_ids.pop(instance, None)
        if holder is not None:
            self._valid_ids.discard(holder)

    def count_cached(self, instance: str, blocks: tuple[int, ...]) -> int:
        """Counts the leading blocks of a prompt that an endpoint holds.

        A block is hashed over all before it, so the deepest one held tells the
        count although events of earlier ones may be missing.
        """
        holder = self._holder_ids.get(instance)
        if holder is None:
            return 0
        for depth in range(min(len(blocks), MAX_MATCHED_BLOCKS), 0, -1):
            if holder in self._holders.get(blocks[depth - 1], ()):
                return depth
        return 0

    def find_home_block(self, blocks: tuple[int, ...], max_share: float) -> int:
        """Finds the leading block by which a prompt is given its home endpoint.

        Args:
            blocks: Hashes of the prompt's blocks.
            max_share: Share of recent sends that one block may carry, 0 to 1.

        Returns:
            The first block that is no more popular, or 0 when there is none. So a
            system prompt that all requests share does not choose their home.
        """
        if self._sends < POPULARITY_MIN_SENDS:
            return blocks[0] if blocks else 0
        limit = max_share * self._sends
        for block in blocks[:MAX_COUNTED_BLOCKS]:
            if self._sends_of_block.get(block, 0) <= limit:
                return block
        return 0

    def _identify(self, instance: str) -> int:
        holder = self._holder_ids.get(instance)
        if holder is None:
            holder = self._next_id
            self._next_id += 1
            self._holder_ids[instance] = holder
            self._valid_ids.add(holder)
        return holder

    def _add(self, block: int, holder: int) -> None:
        holders = self._holders.get(block, ())
        if holder not in holders:
            kept = tuple(known for known in holders if known in self._valid_ids)
            self._holders[block] = (*kept, holder)
        self._holders.move_to_end(block)

    def _halve_counts(self) -> None:
        self._sends //= 2
        self._sends_of_block = {
            block: count // 2
            for block, count in self._sends_of_block.items()
            if count > 1
        }
