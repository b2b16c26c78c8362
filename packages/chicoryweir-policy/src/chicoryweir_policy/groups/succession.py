"""Decides who follows the holder of a lease that loses the store or falls silent.

Fencing tokens keep the orders of two holders apart whatever is decided here. These
decisions only shorten the time without a holder: one that alone is cut off gives up at
once and says so, one that is cut off like everybody else goes on, since nobody can
follow it, and one that is frozen or dead is followed once most entries miss it.
"""

from __future__ import annotations

import collections.abc
import dataclasses

# Others notice an outage for all with their next call, some 1.3 s later at most; until
# then they seem to reach the store.
MAX_STORE_OUTAGE_S = 1.5


# A holder acts after an announcement for this part of the time after which the others
# miss it, so that one that wakes up has stopped before it was followed.
MAX_ANNOUNCEMENT_AGE_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """What another entry announces of itself.

    Attributes:
        name: Name of its instance.
        incarnation: Start of its process; a later one is larger.
        ready: Whether it serves.
        reaches_store: Whether its last calls to the store succeeded.
        holds: Whether it acts as the holder.
        released: Highest fencing number under which it will never act again.
    """

    name: str
    incarnation: int
    ready: bool
    reaches_store: bool
    holds: bool
    released: int


PeerStates = collections.abc.Sequence[PeerState]


def is_candidate(own: str, reaches_store: bool, others: PeerStates) -> bool:
    """Tells whether an entry is the first by name that could hold the lease."""
    if not reaches_store or any(other.holds for other in others):
        return False
    rivals = (other for other in others if other.ready and other.reaches_store)
    return all(own < other.name for other in rivals)


def should_stop_early(away_s: float, others: PeerStates) -> bool:
    """Tells whether a holder stops acting although its lease has time left.

    Args:
        away_s: Time for which it has not reached the store, in seconds.
        others: Entries heard of lately.
    """
    if away_s < MAX_STORE_OUTAGE_S:
        return False
    return any(other.ready and other.reaches_store for other in others)


def may_act_past_lease(away_s: float, others: PeerStates) -> bool:
    """Tells whether a holder acts on after its lease: nobody can follow it."""
    if away_s <= 0.0 or any(other.holds for other in others):
        return False
    return not any(other.reaches_store for other in others)


def has_stopped_acting(holder: str, fence: int, others: PeerStates) -> bool:
    """Tells whether the process that wrote the lease will not act under it again.

    Args:
        holder: Name and incarnation of the process, joined by a slash.
        fence: Fencing number in the lease.
        others: Entries heard of lately.
    """
    name, _, incarnation = holder.rpartition("/")
    if not incarnation.isdigit():
        return False
    for other in others:
        if other.name != name:
            continue
        if other.incarnation > int(incarnation):
            return True
        return other.incarnation == int(incarnation) and other.released >= fence
    return False


def is_presumed_dead(holder: str, others: PeerStates, known: int) -> bool:
    """Tells whether a holder has fallen silent, and not this entry been cut off.

    Args:
        holder: Name and incarnation of the process, joined by a slash.
        others: Entries heard of lately.
        known: Other entries that were heard of at all, not long ago.
    """
    name, _, _ = holder.rpartition("/")
    if not name or any(other.name == name for other in others):
        return False
    return 2 * (len(others) + 1) > known + 1
