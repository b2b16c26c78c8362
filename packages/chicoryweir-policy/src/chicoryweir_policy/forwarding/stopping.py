"""Decides what a stopping entry can still finish.

An entry that stops goes on to accept requests while callers may still know its address,
and ends some seconds later. A request that can't be finished until then is rejected at
once, while it is certain that it does not run; its caller comes back to another entry.

A request is sure to be over in time if its deadline is. Otherwise it must fit with a
margin, by the longest answer to a request of its route in the last minute. That is an
estimate, so that it counts only for requests that arrive soon after the stop began: the
platform allows that these are cut at the end, as callers had no time to learn of it.
"""

from __future__ import annotations

import dataclasses
import math

# The longest answers are kept for one to two of these periods.
PERIOD_S = 30.0
# Share of the longest answer that is added to it, since the endpoints may become slower
# until the request is over, and a time for the way to the endpoint and back.
MARGIN_SHARE = 0.5
MARGIN_S = 0.3
# Time from the beginning of a stop in which requests are accepted by an estimate. The
# platform allows 3 s between its signal and the sending of a request that is cut; the
# rest is for the delay of the signal.
ESTIMATE_S = 2.8


@dataclasses.dataclass(frozen=True, slots=True)
class Longest:
    """The longest of several answers.

    Attributes:
        duration_s: Time from sending the request to the end of the answer, in seconds.
        tokens: Greatest number of answer tokens that a request allowed.
    """

    duration_s: float = 0.0
    tokens: int = 0

    def extend(self, duration_s: float, tokens: int) -> Longest:
        """Returns the maximum with another answer."""
        return Longest(max(self.duration_s, duration_s), max(self.tokens, tokens))


class AnswerDurations:
    """The longest answers to the requests of one route."""

    def __init__(self) -> None:
        self._current = Longest()
        self._previous = Longest()
        self._began_at = -math.inf
        self._running: dict[int, float] = {}

    def record_start(self, key: int, now: float) -> None:
        """Records that a request was sent; `key` identifies it until its end."""
        self._running[key] = now

    def record_end(self, key: int, tokens: int, is_complete: bool, now: float) -> None:
        """Records the end of a request that was sent.

        Args:
            key: Key of the request.
            tokens: Number of answer tokens that it allowed.
            is_complete: Whether its answer is complete.
            now: Present time, monotonic seconds.
        """
        duration_s = now - self._running.pop(key)
        if is_complete:
            self._renew(now)
            self._current = self._current.extend(duration_s, tokens)

    def predict_longest_s(self, tokens: int, now: float) -> float | None:
        """Returns how long an answer takes at most; None before the first one.

        Args:
            tokens: Number of answer tokens that the request allows.
            now: Present time, monotonic seconds.
        """
        self._renew(now)
        known = self._current.extend(self._previous.duration_s, self._previous.tokens)
        if not known.duration_s:
            return None
        # Requests are kept in the order of their start.
        oldest_at = next(iter(self._running.values()), now)
        longest_s = max(known.duration_s, now - oldest_at)
        return longest_s * max(1.0, tokens / max(1, known.tokens))

    def _renew(self, now: float) -> None:
        """Drops the answers that ended too long ago."""
        periods = (now - self._began_at) / PERIOD_S
        if periods < 1.0:
            return
        self._previous = self._current if periods < 2.0 else Longest()
        self._current = Longest()
        self._began_at = now


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of an entry.

    Attributes:
        began_at: Time at which the entry was told to stop, monotonic seconds.
        ends_at: Time at which unfinished requests are ended, monotonic seconds.
    """

    began_at: float
    ends_at: float


# Stop of an entry that wasn't told to stop.
NEVER = Stop(math.inf, math.inf)


def compute_latest_start(
    stop: Stop, arrived_at: float, deadline_at: float, longest_s: float | None
) -> float:
    """Returns until when a request can be sent so that it is over before a stop.

    Args:
        stop: The stop.
        arrived_at: Time of arrival of the request, monotonic seconds.
        deadline_at: Deadline of the request, monotonic seconds.
        longest_s: Longest time that its answer takes, in seconds; None if not known.
    """
    if deadline_at <= stop.ends_at:
        return deadline_at
    if longest_s is None or arrived_at > stop.began_at + ESTIMATE_S:
        return -math.inf
    return stop.ends_at - longest_s * (1.0 + MARGIN_SHARE) - MARGIN_S
