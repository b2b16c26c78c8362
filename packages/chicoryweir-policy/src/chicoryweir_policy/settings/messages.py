"""Events and commands of the state machine in `versions`."""

from __future__ import annotations

import dataclasses
import enum

from chicoryweir_policy import store
from chicoryweir_policy.settings import copies
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import tree as trees


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The store answered a read of the head row."""

    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectRead:
    """The store answered the read of an object."""

    name: str
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class HeadAnnounced:
    """A peer told which version it holds; None when it holds none."""

    peer: str
    head: heads.Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequested:
    """A peer asks for a copy of the version in force here."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReceived:
    """A peer sent a copy."""

    peer: str
    copy: copies.Copy


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """A change that this process applied for an operator was accepted."""

    copy: copies.Copy


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """The link to a peer closed."""

    peer: str


Event = (
    Ticked
    | HeadRead
    | ObjectRead
    | HeadAnnounced
    | CopyRequested
    | CopyReceived
    | ChangeAccepted
    | PeerLost
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Run `operation`, then report `HeadRead`."""

    operation: store.Read


@dataclasses.dataclass(frozen=True, slots=True)
class FetchObject:
    """Run `operation`, then report `ObjectRead`."""

    operation: store.GetObject


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCopy:
    """Ask a peer for its copy; its reply is a `CopyReceived`."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendCopy:
    """Send a copy to a peer."""

    peer: str
    copy: copies.Copy


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceHead:
    """Tell the version in force to a peer, or to every peer when None."""

    head: heads.Head
    peer: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Put a version in force on this process."""

    head: heads.Head
    tree: trees.Tree


class Fault(enum.Enum):
    """A promise about versions that something broke.

    Attributes:
        WENT_BACK: A version below the one in force was about to be adopted.
        FORKED: Two documents carry one version number.
        HEAD_MOVED_BACK: The head row was rewritten with a lower version.
        DAMAGED: A copy does not match its digest or cannot be parsed.
    """

    WENT_BACK = "went_back"
    FORKED = "forked"
    HEAD_MOVED_BACK = "head_moved_back"
    DAMAGED = "damaged"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Report that a promise was broken; the version in force stays.

    Attributes:
        fault: Which promise.
        held: Version held or seen before.
        found: Version that broke the promise.
        peer: Where it came from, `store` or a peer.
    """

    fault: Fault
    highest_seen: int
    found: int
    peer: str


Command = (
    ReadHead | FetchObject | RequestCopy | SendCopy | AnnounceHead | Adopt | Violation
)
