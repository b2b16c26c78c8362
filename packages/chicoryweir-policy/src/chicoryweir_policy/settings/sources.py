"""Where a process gets the copy of a settings version from."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

from chicoryweir_policy.settings import heads


class SourceKind(enum.Enum):
    """Kind of a source.

    Attributes:
        DELTA: Object of the store with the changes since the version before.
        OBJECT: Object of the store with the whole document.
        PEER: Another process that holds the version or a later one.
    """

    DELTA = "delta"
    OBJECT = "object"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A source; `name` is that of the object or of the peer."""

    kind: SourceKind
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A copy that was asked for, and from where."""

    head: heads.Head
    source: Source


def choose_source(
    wanted: heads.Head,
    held: heads.Head | None,
    holders: collections.abc.Sequence[str],
    store_up: bool,
    attempt: int,
    seed: int,
) -> Source:
    """Chooses the source for one attempt.

    Args:
        wanted: Version to get.
        held: Version in force, or None.
        holders: Peers that hold the wanted version, in a fixed order.
        store_up: Whether the store answered last.
        attempt: Attempts for this version that failed.
        seed: Spreads processes over their peers.
    """
    whole = Source(SourceKind.OBJECT, wanted.object_name)
    if held is not None and wanted.version == held.version + 1 and store_up:
        if attempt == 0:
            return Source(SourceKind.DELTA, heads.make_delta_name(wanted.object_name))
        attempt -= 1
    if not holders or (store_up and attempt % 2 == 0):
        return whole
    return Source(SourceKind.PEER, holders[(seed + attempt) % len(holders)])
