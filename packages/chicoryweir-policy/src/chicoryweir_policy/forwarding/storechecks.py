"""Decides which entries check whether they missed a change in the store.

An entry learns of a new configuration by a call that the store answers once there is
one. If the store leaves that call unanswered, only its time-out shows it, and in a
short silence no other call of the entry need fail. Entries therefore also ask at
intervals whether there is a change. In a large fleet only some of them do, which tell
the others, so that the number of calls doesn't grow with the fleet.
"""

from __future__ import annotations

import collections.abc

from chicoryweir_policy import hashing
from chicoryweir_policy.forwarding import peers

# Maximum time between two checks of an entry. A configuration has to be in force 2 s
# after it was acknowledged.
CHECK_PERIOD_S = 1.5
# Random variation of that time, as a share of it, by which it is shortened, so that the
# checks of several entries spread over the period.
JITTER_SHARE = 0.2
# Number of entries that check. The time until the first of them does so is a fraction
# of the period, which leaves the others the time to fetch the configuration.
MAX_CHECKERS = 8


def is_checker(name: str, others: collections.abc.Iterable[peers.Announcement]) -> bool:
    """Returns whether an entry is one of those that check.

    Args:
        name: Name of the entry.
        others: Latest announcements of the other entries that are alive.
    """
    own_rank = _rank(name)
    preceding = sum(
        other.ready and other.reaches_store and _rank(other.name) < own_rank
        for other in others
    )
    return preceding < MAX_CHECKERS


def compute_interval_s(variation: float) -> float:
    """Returns the time from one check of an entry to the next, in seconds.

    Args:
        variation: Random number from 0 to 1.
    """
    return CHECK_PERIOD_S * (1.0 - JITTER_SHARE * variation)


def _rank(name: str) -> float:
    return hashing.hash_to_unit(f"check/{name}")
