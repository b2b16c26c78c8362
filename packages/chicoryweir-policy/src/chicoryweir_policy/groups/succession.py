"""Decides when a lease holder that can't reach the store or is silent is replaced.

These decisions only shorten the time without a holder; fencing tokens always protect
against two active holders. If only the holder can't reach the store, it releases the
lease early and announces this. If no entry reaches the store, the holder continues,
since no other entry can replace it. A hung or dead holder is replaced once an entry
receives announcements from most entries but none from the holder.
"""

from __future__ import annotations

import collections.abc
import dataclasses

# Time without the store after which a holder stops early if others reach the store. In
# an outage for all entries, the others notice it only at their next call, up to about
# 1.3 s later, and until then announce that they reach the store.
MAX_STORE_OUTAGE_S = 1.5
# Maximum age of a holder's last announcement while it acts, as a fraction of the time
# after which peers count it as silent. A holder that resumes from a pause has thus
# stopped before it is replaced.
MAX_ANNOUNCEMENT_AGE_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """State that another entry announces.

    Attributes:
        name: Name of its instance.
        incarnation: Number of its process; increases with each start.
        ready: Whether it serves requests.
        reaches_store: Whether its latest calls to the store succeeded.
        holds: Whether it acts as the lease holder.
        released_fence: Highest fencing token under which it will never act again.
    """

    name: str
    incarnation: int
    ready: bool
    reaches_store: bool
    holds: bool
    released_fence: int


PeerStates = collections.abc.Sequence[PeerState]


def is_candidate(own: str, reaches_store: bool, others: PeerStates) -> bool:
    """Returns whether an entry is the first by name that can acquire the lease."""
    if not reaches_store or any(other.holds for other in others):
        return False
    rivals = (other for other in others if other.ready and other.reaches_store)
    return all(own < other.name for other in rivals)


def should_stop_early(store_outage_s: float, others: PeerStates) -> bool:
    """Returns whether a holder stops acting before its lease expires.

    Args:
        store_outage_s: Time since it last reached the store, in seconds.
        others: Entries with a recent announcement.
    """
    if store_outage_s < MAX_STORE_OUTAGE_S:
        return False
    return any(other.ready and other.reaches_store for other in others)


def may_act_past_lease(store_outage_s: float, others: PeerStates) -> bool:
    """Returns whether a holder may act past its lease: no entry can replace it."""
    if store_outage_s <= 0.0 or any(other.holds for other in others):
        return False
    return not any(other.reaches_store for other in others)


def has_stopped_acting(holder: str, fence: int, others: PeerStates) -> bool:
    """Returns whether the process that wrote the lease will never act under it again.

    Args:
        holder: Name and incarnation of the process, joined by a slash.
        fence: Fencing token in the lease.
        others: Entries with a recent announcement.
    """
    name, _, incarnation = holder.rpartition("/")
    if not incarnation.isdigit():
        return False
    for other in others:
        if other.name != name:
            continue
        if other.incarnation > int(incarnation):
            return True
        return other.incarnation == int(incarnation) and other.released_fence >= fence
    return False


def is_presumed_dead(holder: str, others: PeerStates, known_count: int) -> bool:
    """Returns whether a holder is silent while a majority of entries is not.

    The majority rules out that this entry itself is isolated.

    Args:
        holder: Name and incarnation of the process, joined by a slash.
        others: Entries with a recent announcement.
        known_count: Number of other known entries, silent ones included.
    """
    name, _, _ = holder.rpartition("/")
    if not name or any(other.name == name for other in others):
        return False
    return 2 * (len(others) + 1) > known_count + 1
