"""Chooses the source from which a process fetches a settings version."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

from chicoryweir_policy.settings import heads


class SourceKind(enum.Enum):
    """Kind of a source.

    Attributes:
        DELTA: Object in the store with the delta from the version before.
        OBJECT: Object in the store with the whole document.
        PEER: Another process that has this version or a later one.
    """

    DELTA = "delta"
    OBJECT = "object"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A source, with the name of the object or peer."""

    kind: SourceKind
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A fetch in progress: the requested version and its source."""

    head: heads.Head
    source: Source


def choose_source(
    target: heads.Head,
    current: heads.Head | None,
    peers: collections.abc.Sequence[str],
    store_available: bool,
    attempt: int,
    seed: int,
) -> Source:
    """Chooses the source for one fetch attempt.

    The delta comes first, if it applies and the store is available. Later attempts
    alternate between the store and the peers, or use peers only in an outage.

    Args:
        target: Version to fetch.
        current: Version in force, or None.
        peers: Peers that have the target version or a later one, in a fixed order.
        store_available: Whether the store's last reply was a success.
        attempt: Number of earlier attempts to fetch this version.
        seed: Hash of the process, so that processes use different peers.
    """
    document = Source(SourceKind.OBJECT, target.object_name)
    if (
        current is not None
        and target.version == current.version + 1
        and store_available
    ):
        if attempt == 0:
            return Source(SourceKind.DELTA, heads.make_delta_name(target.object_name))
        attempt -= 1
    if not peers or (store_available and attempt % 2 == 0):
        return document
    return Source(SourceKind.PEER, peers[(seed + attempt) % len(peers)])
