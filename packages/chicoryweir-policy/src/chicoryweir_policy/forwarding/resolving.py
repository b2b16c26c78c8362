"""Decides which entries callers are told to connect to."""

from __future__ import annotations

import collections.abc
import dataclasses

# Callers keep an answer for this long, some three times as long; a planned stop keeps
# its listener open meanwhile, so this bounds the time of a stop.
ANSWER_TTL_S = 1.5
MAX_ADDRESSES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """An entry that takes callers.

    Attributes:
        name: Name of the entry.
        address: Host and port for callers.
        data_centre: Its data centre.
    """

    name: str
    address: str
    data_centre: str


def select_addresses(
    entries: collections.abc.Iterable[EntryAddress], data_centre: str
) -> tuple[str, ...]:
    """Returns the addresses for a caller in `data_centre`, near ones first."""
    ordered = sorted(entries, key=lambda e: (e.data_centre != data_centre, e.name))
    return tuple(entry.address for entry in ordered[:MAX_ADDRESSES])
