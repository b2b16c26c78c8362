"""Divides a limit of an endpoint among a few entries, which need no message for it.

Each entry orders the entries that it knows by a hash of their names and the endpoint's;
the first ones send. Knowing more entries never gives an entry an earlier position, so
that the shares of entries that know one another don't exceed the limit.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy import hashing


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """An entry's position among those that send to an endpoint.

    Attributes:
        rank: Position, from 0.
        senders: Number of entries that send.
    """

    rank: int
    senders: int

    def compute_count(self, total: int) -> int:
        """Returns this entry's part of a number; the first ranks get the remainder."""
        return -((self.rank - total) // self.senders) if total > self.rank else 0


def find_position(
    entry: str,
    entries: collections.abc.Collection[str],
    endpoint: str,
    max_senders: float,
) -> Position | None:
    """Returns the position of an entry; None if only others send to the endpoint.

    Args:
        entry: Name of the entry.
        entries: Names of all entries, including this one.
        endpoint: Name of the endpoint.
        max_senders: Maximum number of entries that send, rounded down.
    """
    senders = int(min(len(entries), max_senders))
    own_order = _compute_order(entry, endpoint)
    rank = sum(_compute_order(name, endpoint) < own_order for name in entries)
    return Position(rank, senders) if rank < senders else None


def _compute_order(name: str, endpoint: str) -> tuple[float, str]:
    return hashing.hash_to_unit(f"{endpoint}/{name}"), name
