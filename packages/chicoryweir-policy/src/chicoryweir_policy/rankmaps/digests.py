"""Digests of the selections of experts at one rank.

An agent beside a rank reads the rank's counts, and sends the entry that balances the
group only what was added since the digest that this entry received last. Values are
rounded to `VALUE_BITS` bits: the requests of one rank vary far more than that, and the
errors of many ranks cancel each other out.
"""

from __future__ import annotations

import array
import collections
import collections.abc
import dataclasses
import operator
import sys

# Number of bits of a rounded value; the largest value of a digest uses all of them.
VALUE_BITS = 8
# Number of counts that an agent keeps as the base of later digests. More than one entry
# reads digests while the lease changes hands, and answers may be lost.
KEPT_BASES = 4
# Number of digests whose values fit the wider integers in which they are added up.
DIGESTS_PER_SUM = (1 << 16) // (1 << VALUE_BITS)
# Sequence number in a request for a digest without a base.
NO_BASE = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Selections at one rank since an earlier digest.

    Attributes:
        sequence: Number of the digest, the base of a later one.
        epoch: Epoch of the rank's group.
        interval_s: Time since the earlier digest, in seconds; None if the agent doesn't
            have it, so that the selections are unknown.
        scale: Power of two by which the values are multiplied.
        values: Rounded selections, one byte for each set and expert; empty if unknown.
    """

    sequence: int
    epoch: int
    interval_s: float | None
    scale: int
    values: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Base:
    """Counts of a rank at an earlier digest, made at `at` monotonic seconds."""

    epoch: int
    counts: array.array[int]
    at: float


class DigestSource:
    """Makes the digests of one rank."""

    def __init__(self, first_sequence: int) -> None:
        """Starts without a base.

        Args:
            first_sequence: Number of the first digest, random so that a digest of an
                earlier process is not taken for one of this one.
        """
        self._sequence = first_sequence
        self._bases: collections.OrderedDict[int, _Base] = collections.OrderedDict()

    def create_digest(
        self, epoch: int, counts: collections.abc.Sequence[int], after: int, now: float
    ) -> Digest:
        """Returns the selections since an earlier digest.

        Args:
            epoch: Epoch of the rank's group.
            counts: Selections of each expert since the rank's start, by set.
            after: Number of the earlier digest, or `NO_BASE`.
            now: Present time, monotonic seconds.
        """
        before = self._bases.get(after)
        self._sequence += 1
        self._bases[self._sequence] = _Base(epoch, array.array("q", counts), now)
        while len(self._bases) > KEPT_BASES:
            self._bases.popitem(last=False)
        if before is None or before.epoch != epoch or len(before.counts) != len(counts):
            return Digest(self._sequence, epoch, None, 0, b"")
        added = list(map(operator.sub, counts, before.counts))
        if not added or min(added) < 0:
            # The rank has started again.
            return Digest(self._sequence, epoch, None, 0, b"")
        scale = max(0, max(added).bit_length() - VALUE_BITS)
        return Digest(
            self._sequence, epoch, now - before.at, scale, _round_values(added, scale)
        )


def _round_values(added: list[int], scale: int) -> bytes:
    if not scale:
        return bytes(added)
    half, largest = 1 << (scale - 1), (1 << VALUE_BITS) - 1
    return bytes([min((value + half) >> scale, largest) for value in added])


def add_digests(digests: collections.abc.Iterable[Digest], size: int) -> list[int]:
    """Returns the sum of the selections of several ranks.

    Digests without selections, or with another number of values, are left out.

    Args:
        digests: Digests of different ranks.
        size: Number of sets multiplied by that of experts.
    """
    by_scale: dict[int, list[bytes]] = {}
    for digest in digests:
        if digest.interval_s is not None and len(digest.values) == size:
            by_scale.setdefault(digest.scale, []).append(digest.values)
    total = [0] * size
    for scale, values in by_scale.items():
        for first in range(0, len(values), DIGESTS_PER_SUM):
            part = _add_bytes(values[first : first + DIGESTS_PER_SUM], size)
            total = [
                known + (new << scale) for known, new in zip(total, part, strict=True)
            ]
    return total


def _add_bytes(values: list[bytes], size: int) -> array.array[int]:
    """Adds byte strings element by element, as integers of 16 bits in one long one."""
    wide = bytearray(2 * size)
    total = 0
    for value in values:
        wide[::2] = value
        total += int.from_bytes(wide, "little")
    sums = array.array("H", total.to_bytes(2 * size, "little"))
    if sys.byteorder == "big":
        sums.byteswap()
    return sums
