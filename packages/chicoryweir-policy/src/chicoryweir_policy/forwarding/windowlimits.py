"""Limits the requests that all entries together send to an endpoint in any second.

Each entry counts its own requests in a sliding window and sends its part of the limit
at most. A few entries, chosen by hashing (`shares`), have a part.
"""

from __future__ import annotations

import collections
import collections.abc
import math

from chicoryweir_policy.forwarding import participants
from chicoryweir_policy.forwarding import shares

# Time in which an entry sends its part of a limit for one second. Requests arrive up to
# 0.1 s late on a loaded machine, so that those sent within 1.1 s may arrive within 1 s;
# the rest is margin.
WINDOW_S = 1.2
# Share of the limit that no entry uses, rounded down to whole requests.
MARGIN_SHARE = 0.08
# Requests in each part, at least, while there are enough entries.
MIN_PART = 3.0


class WindowLimits:
    """Knows how many requests this entry may send to endpoints with a limit.

    Attributes:
        participants: The entries that share the limits.
    """

    def __init__(self, host: str) -> None:
        self.participants = participants.Participants(host)
        self._host = host
        self._sharing: frozenset[str] = frozenset()
        self._parts: dict[tuple[str, int], int] = {}
        self._sent_at: dict[str, collections.deque[float]] = {}

    def compute_part(self, instance: str, limit: float, now: float) -> int:
        """Returns how many requests this entry may send in `WINDOW_S`.

        Args:
            instance: Name of the endpoint.
            limit: Number of requests in any second from all entries together.
            now: Present time, monotonic seconds.
        """
        sharing = self.participants.list_sharing(now)
        if sharing is not self._sharing:
            self._sharing = sharing
            self._parts.clear()
        usable = int(limit) - int(limit * MARGIN_SHARE)
        if not sharing or usable <= 0:
            return 0
        part = self._parts.get((instance, usable))
        if part is None:
            max_senders = max(1.0, usable / MIN_PART)
            position = shares.find_position(self._host, sharing, instance, max_senders)
            part = 0 if position is None else position.compute_count(usable)
            self._parts[instance, usable] = part
        return part

    def count_available(self, instance: str, limit: float, now: float) -> int:
        """Returns how many requests this entry may send now."""
        part = self.compute_part(instance, limit, now)
        return max(0, part - len(self._list_sent(instance, now)))

    def predict_wait_s(
        self,
        instances: collections.abc.Iterable[str],
        limit: float,
        queued: int,
        now: float,
    ) -> float:
        """Predicts how long this entry may not send another request, in seconds.

        Args:
            instances: Endpoints that the request may be sent to.
            limit: Number of requests in any second from all entries together.
            queued: Number of requests that will be sent before it.
            now: Present time, monotonic seconds.

        Returns:
            The time; infinity if this entry has no part.
        """
        total = available = 0
        free_s = math.inf
        for instance in instances:
            part = self.compute_part(instance, limit, now)
            if not part:
                continue
            sent_at = self._list_sent(instance, now)
            total += part
            available += max(0, part - len(sent_at))
            is_free = len(sent_at) < part
            next_s = 0.0 if is_free else sent_at[-part] + WINDOW_S - now
            free_s = min(free_s, next_s)
        if not total:
            return math.inf
        return max(free_s, (queued + 1 - available) * WINDOW_S / total)

    def record_sent(self, instance: str, now: float) -> None:
        """Records that a request is about to be sent."""
        self._list_sent(instance, now).append(now)

    def forget(self, instance: str) -> None:
        """Forgets an endpoint that is gone for long."""
        self._sent_at.pop(instance, None)

    def _list_sent(self, instance: str, now: float) -> collections.deque[float]:
        """Returns the times of the requests that were sent in the last `WINDOW_S`."""
        sent_at = self._sent_at.get(instance)
        if sent_at is None:
            sent_at = self._sent_at[instance] = collections.deque()
        while sent_at and now - sent_at[0] >= WINDOW_S:
            sent_at.popleft()
        return sent_at
