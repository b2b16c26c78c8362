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
# Time after its start in which an entry only listens, before it may acquire the lease.
# Others announce themselves several times within it.
LISTENING_S = 0.45
# Time from when the store is known to be restored until announcements show whether an
# entry acquired the lease just before. A holder announces it from its next poll on.
SETTLING_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """State that another entry announces.

    Attributes:
        name: Name of its instance.
        incarnation: Identifier of its process.
        ready: Whether it serves requests.
        reaches_store: Whether its latest calls to the store succeeded.
        holds: Whether it acts as the lease holder.
        released_fence: Highest fencing token under which it will never act again.
        capacity: Size of its machine, relative to those of other entries.
        ended: Identifiers of earlier processes of its instance.
    """

    name: str
    incarnation: int
    ready: bool
    reaches_store: bool
    holds: bool
    released_fence: int
    capacity: float = 0.0
    ended: tuple[int, ...] = ()


PeerStates = collections.abc.Sequence[PeerState]


def is_candidate(own: PeerState, others: PeerStates) -> bool:
    """Returns whether an entry is the one that should acquire the lease.

    Of the entries that reach the store it is the one with the largest machine, and the
    first by name of those: a change of a large group's map sends the map to each rank.
    """
    if not own.reaches_store or any(other.holds for other in others):
        return False
    rivals = (other for other in others if other.ready and other.reaches_store)
    return all(_rank_candidate(own) < _rank_candidate(rival) for rival in rivals)


def _rank_candidate(entry: PeerState) -> tuple[float, str]:
    return -entry.capacity, entry.name


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


def has_stopped_acting(
    holder: str, fence: int, own: PeerState, others: PeerStates
) -> bool:
    """Returns whether the process that wrote the lease will never act under it again.

    Args:
        holder: Name and incarnation of the process, joined by a slash.
        fence: Fencing token in the lease.
        own: State of this entry.
        others: Entries with a recent announcement.
    """
    name, _, incarnation = holder.rpartition("/")
    if not incarnation.isdigit():
        return False
    process = int(incarnation)
    if name == own.name:
        return process != own.incarnation
    for other in others:
        if other.name != name:
            continue
        if process in other.ended:
            return True
        return other.incarnation == process and other.released_fence >= fence
    return False


def is_unheld(
    others: PeerStates,
    known: collections.abc.Set[str],
    heard: collections.abc.Set[str],
) -> bool:
    """Returns whether no entry can act under a lease of the store's former era.

    Args:
        others: Entries with a recent announcement.
        known: Names of the other entries that were heard, silent ones included.
        heard: Names of those heard since `SETTLING_S` after the restore.
    """
    return bool(known) and known <= heard and not any(other.holds for other in others)


def is_presumed_dead(
    holder: str, others: PeerStates, known: collections.abc.Set[str]
) -> bool:
    """Returns whether a holder is silent while a majority of entries is not.

    The majority rules out that this entry itself is isolated. A holder that was never
    heard may just not have been reached yet by this entry, which has just started.

    Args:
        holder: Name and incarnation of the process, joined by a slash.
        others: Entries with a recent announcement.
        known: Names of the other entries that were heard, silent ones included.
    """
    name, _, _ = holder.rpartition("/")
    if name not in known or any(other.name == name for other in others):
        return False
    return 2 * (len(others) + 1) > len(known) + 1
