"""Limits the requests to endpoints that state how many per second they accept.

An endpoint states one rate for all entries together. Each entry that sends to it needs
a burst of one request at least, so that a low rate is divided among a few entries only.
All entries agree on them without a message, by hashing.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import shares
from chicoryweir_policy.quarantine import records

# Requests that all entries together may send at once: a number and those of a time at
# the stated rate. The platform tolerates 5 requests and half of the rate in any 4 s;
# the rest covers entries that don't agree on the others yet.
BURST_REQUESTS = 3.0
BURST_S = 1.0
# A statement holds for this time or that of this many requests, whichever is longer, up
# to the maximum; then one request is sent to find out. Times in seconds.
VALIDITY_S = 30.0
VALIDITY_REQUESTS = 10.0
MAX_VALIDITY_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a process accepts.

    Attributes:
        process: The process of an endpoint.
        max_rate: Requests per second; None for any number.
        age_s: Age of the statement, in seconds.
    """

    process: records.LossId
    max_rate: float | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    """The latest statement of a process.

    Attributes:
        max_rate: Requests per second; None for any number.
        at: Time of the statement, monotonic seconds.
        is_own: Whether it was made to this entry.
    """

    max_rate: float | None
    at: float
    is_own: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """This entry's share of a rate.

    Attributes:
        rate: Requests per second; 0 if other entries send them.
        burst: Maximum number of requests at once.
        initial: Initial number of requests, below 1; it differs between the entries, so
            that they don't send at the same time.
    """

    rate: float
    burst: float
    initial: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    at: float


class RateLimits:
    """Knows what endpoints accept, and how many requests this entry may send them."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._entries: frozenset[str] = frozenset((entry,))
        self._known: dict[records.LossId, _Known] = {}
        self._shares: dict[tuple[records.LossId, float], _Share] = {}
        self._buckets: dict[records.LossId, _Bucket] = {}
        self._reported: dict[records.LossId, float] = {}

    def set_entries(self, names: collections.abc.Iterable[str]) -> None:
        """Sets the names of the other entries that accept callers."""
        entries = frozenset((self._entry, *names))
        if entries != self._entries:
            self._entries = entries
            self._shares.clear()

    def record(
        self, endpoint: endpoints.Endpoint, max_rate: float | None, now: float
    ) -> None:
        """Records what an endpoint stated in an answer."""
        process = crashes.make_process_id(endpoint)
        if max_rate is not None or process in self._known:
            self._known[process] = _Known(max_rate, now, True)

    def merge(
        self, statements: collections.abc.Iterable[Statement], now: float
    ) -> None:
        """Merges the statements announced by another entry; the latest ones hold."""
        for statement in statements:
            at = now - statement.age_s
            known = self._known.get(statement.process)
            if known is None or known.at < at:
                self._known[statement.process] = _Known(statement.max_rate, at, False)

    def list_own(self, now: float) -> tuple[Statement, ...]:
        """Returns the valid statements that were made to this entry."""
        self._expire(now)
        return tuple(
            Statement(process, known.max_rate, now - known.at)
            for process, known in self._known.items()
            if known.is_own
        )

    def count_available(self, endpoint: endpoints.Endpoint, now: float) -> int | None:
        """Returns how many requests may be sent now; None for any number."""
        if not self._known:
            return None
        process = crashes.make_process_id(endpoint)
        known = self._known.get(process)
        if known is None or known.max_rate is None or _has_expired(known, now):
            return None
        return int(self._refill(process, known.max_rate, now).level)

    def predict_wait_s(
        self,
        candidates: collections.abc.Sequence[endpoints.Endpoint],
        queued: int,
        now: float,
    ) -> float | None:
        """Predicts how long this entry may not send another request, in seconds.

        Infinity stands for candidates that only other entries send to.

        Args:
            candidates: Endpoints that the request may be sent to.
            queued: Number of requests that will be sent before it.
            now: Present time, monotonic seconds.

        Returns:
            The time; None if a candidate accepts any number of requests.
        """
        level = rate = 0.0
        first_s = math.inf
        for endpoint in candidates:
            if self.count_available(endpoint, now) is None:
                return None
            process = crashes.make_process_id(endpoint)
            share = self._shares[process, self._known[process].max_rate or 0.0]
            bucket_level = self._buckets[process].level
            level += max(0.0, bucket_level)
            rate += share.rate
            if share.rate:
                first_s = min(first_s, (1.0 - bucket_level) / share.rate)
        if not rate:
            return math.inf if candidates else None
        return max(0.0, first_s, (queued + 1 - level) / rate)

    def record_sent(self, endpoint: endpoints.Endpoint) -> None:
        """Records that a request is about to be sent."""
        bucket = self._buckets.get(crashes.make_process_id(endpoint))
        if bucket is not None:
            bucket.level -= 1.0

    def compute_own_rate(self, statement: Statement) -> float | None:
        """Returns this entry's share of a rate, per second; None for any number."""
        if statement.max_rate is None:
            return None
        return self._get_share(statement.process, statement.max_rate).rate

    def take_transitions(self, now: float) -> list[Statement]:
        """Returns the statements that differ from those at the last call."""
        self._expire(now)
        current = {
            process: known.max_rate
            for process, known in self._known.items()
            if known.max_rate is not None
        }
        changed = [
            Statement(process, max_rate, now - self._known[process].at)
            for process, max_rate in current.items()
            if self._reported.get(process) != max_rate
        ]
        changed += [
            Statement(process, None, 0.0)
            for process in sorted(self._reported.keys() - current.keys())
        ]
        self._reported = current
        return changed

    def _refill(self, process: records.LossId, max_rate: float, now: float) -> _Bucket:
        share = self._get_share(process, max_rate)
        bucket = self._buckets.get(process)
        if bucket is None:
            bucket = self._buckets[process] = _Bucket(share.initial, now)
        gained = share.rate * (now - bucket.at)
        bucket.level = min(share.burst, bucket.level + gained)
        bucket.at = now
        return bucket

    def _get_share(self, process: records.LossId, max_rate: float) -> _Share:
        share = self._shares.get((process, max_rate))
        if share is None:
            share = self._compute_share(process, max_rate)
            self._shares[process, max_rate] = share
        return share

    def _compute_share(self, process: records.LossId, max_rate: float) -> _Share:
        burst = BURST_REQUESTS + BURST_S * max_rate
        position = shares.find_position(
            self._entry, self._entries, process.instance, burst
        )
        if position is None:
            return _Share(0.0, 0.0, 0.0)
        senders = position.senders
        initial = 1.0 - (position.rank + 1) / senders
        return _Share(max_rate / senders, burst / senders, initial)

    def _expire(self, now: float) -> None:
        expired = [
            process
            for process, known in self._known.items()
            if _has_expired(known, now)
        ]
        for process in expired:
            del self._known[process]
            self._buckets.pop(process, None)
        if expired:
            self._shares.clear()


def _has_expired(known: _Known, now: float) -> bool:
    validity_s = VALIDITY_S
    if known.max_rate is not None:
        requests_s = VALIDITY_REQUESTS / max(known.max_rate, 1e-9)
        validity_s = min(MAX_VALIDITY_S, max(VALIDITY_S, requests_s))
    return now - known.at > validity_s
