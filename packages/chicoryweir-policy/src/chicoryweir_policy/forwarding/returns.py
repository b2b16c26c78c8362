"""Times at which rejected callers return, computed instead of stored.

The times follow from the content of the request and from the caller's deadline, both of
which are the same in each attempt. Any entry can therefore tell whether a caller comes
back when it was told to, without a message from the entry that rejected it.
"""

from __future__ import annotations

import collections
import dataclasses
import math

from chicoryweir_policy import hashing

# Callers wait at most this share of their remaining time.
MAX_WAIT_SHARE = 1.0 / 3.0
# Shortest wait, as a share of the longest: a burst lasts for some seconds.
MIN_WAIT_SHARE = 0.5
# Time after its turn in which a return counts as in time, and before it, for the
# callers' timers and the path to the entry.
LATE_TOLERANCE_S = 0.3
EARLY_TOLERANCE_S = 0.03
# Maximum number of returns that are computed; later ones have no turn.
MAX_RETURNS = 12
# Difference below the longest remaining time at which a request counts as a first
# attempt: the time of the path from the caller to the entry.
FIRST_ATTEMPT_TOLERANCE_S = 0.05
# Number of requests of a route whose remaining times are compared, and the least number
# that tells anything.
WINDOW = 64
MIN_WINDOW = 8
# Share of them that must have about the longest remaining time. Otherwise callers
# choose their deadlines, and the age of a request isn't known.
MIN_FIRST_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The caller's call that a request is an attempt of.

    Attributes:
        fingerprint: Fingerprint of the request, the same in each attempt.
        first_sent_at: When the first attempt arrived, monotonic seconds.
        deadline_at: The caller's deadline, monotonic seconds.
    """

    fingerprint: str
    first_sent_at: float
    deadline_at: float

    def compute_wait_s(self, now: float) -> float:
        """Returns the time until the caller's next turn, in seconds."""
        longest_s = max(0.0, MAX_WAIT_SHARE * (self.deadline_at - now))
        turn_at = self.first_sent_at
        for number in range(MAX_RETURNS):
            turn_at += self._compute_interval_s(turn_at, number)
            if turn_at > now + EARLY_TOLERANCE_S:
                return min(turn_at - now, longest_s)
        return longest_s

    def is_in_turn(self, now: float) -> bool:
        """Returns whether this is the first attempt or a return at a told time."""
        if now <= self.first_sent_at + EARLY_TOLERANCE_S:
            return True
        turn_at = self.first_sent_at
        for number in range(MAX_RETURNS):
            turn_at += self._compute_interval_s(turn_at, number)
            if turn_at - EARLY_TOLERANCE_S <= now <= turn_at + LATE_TOLERANCE_S:
                return True
        return False

    def _compute_interval_s(self, turn_at: float, number: int) -> float:
        longest_s = max(0.0, MAX_WAIT_SHARE * (self.deadline_at - turn_at))
        draw = hashing.hash_to_unit(self.fingerprint, number)
        share = MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * draw
        return share * longest_s


class FirstAttempts:
    """Tells how old the requests of a route are, by their remaining time.

    Where callers give all requests of a route the same time, a request that has less
    left is an attempt after the first.
    """

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(maxlen=WINDOW)

    def record(self, remaining_s: float | None) -> None:
        """Records the remaining time of a request; None if it states none."""
        self._recent.append(-math.inf if remaining_s is None else remaining_s)

    def estimate_age_s(self, remaining_s: float | None) -> float:
        """Returns the time since the first attempt, in seconds; 0 if it isn't known."""
        if remaining_s is None or len(self._recent) < MIN_WINDOW:
            return 0.0
        longest_s = max(self._recent)
        first_s = longest_s - FIRST_ATTEMPT_TOLERANCE_S
        first_share = sum(other >= first_s for other in self._recent) / len(
            self._recent
        )
        if first_share < MIN_FIRST_SHARE or remaining_s >= first_s:
            return 0.0
        return longest_s - remaining_s
