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
    """A poll or a fetch may be due."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """Result of reading the head row."""

    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectRead:
    """Result of fetching an object."""

    name: str
    result: store.Result


@dataclasses.dataclass(frozen=True, slots=True)
class HeadAnnounced:
    """A peer announced its version; `head` is None if it has none."""

    peer: str
    head: heads.Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequested:
    """A peer requested a copy of the version in force on this process."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReceived:
    """A peer sent a copy."""

    peer: str
    copy: copies.Copy


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """A change that this process applied for an operator was committed."""

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
    """Request a peer's copy; the reply is reported as `CopyReceived`."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendCopy:
    """Send a copy to a peer."""

    peer: str
    copy: copies.Copy


@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceHead:
    """Announce the version in force to a peer, or to all peers if `peer` is None."""

    head: heads.Head
    peer: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Put a version in force on this process."""

    head: heads.Head
    tree: trees.Tree


class Fault(enum.Enum):
    """Kind of a violated guarantee about settings versions.

    Attributes:
        WENT_BACK: A version that is not newer than the one in force was to be adopted.
        FORKED: Two changes have the same version number.
        HEAD_MOVED_BACK: The head row was rewritten with a lower version.
        DAMAGED: A copy does not match its digest or cannot be parsed.
    """

    WENT_BACK = "went_back"
    FORKED = "forked"
    HEAD_MOVED_BACK = "head_moved_back"
    DAMAGED = "damaged"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Report a violated guarantee; the version in force does not change.

    Attributes:
        fault: Kind of the violation.
        highest_seen: Highest version seen before; 0 for none.
        found: Version that violates the guarantee; 0 if unknown.
        peer: Source of the version: `store` or a peer.
    """

    fault: Fault
    highest_seen: int
    found: int
    peer: str


Command = (
    ReadHead | FetchObject | RequestCopy | SendCopy | AnnounceHead | Adopt | Violation
)
