"""Detects endpoints that are much slower or fail more often than their peers."""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import statistics

AVERAGING_S = 10.0
MIN_PEERS = 3
MIN_WEIGHT = 5.0
SLOW_RATIO = 10.0
MAX_FAILURE_EXCESS = 0.3
MAX_EJECTED_SHARE = 0.34
EJECTION_S = 3.0
MAX_EJECTION_S = 120.0
RESET_AFTER_S = 30.0
MAX_TOKEN_TIME_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """An endpoint was ejected.

    Attributes:
        instance: Instance of the endpoint.
        until: Monotonic time at which the ejection ends, in seconds.
        token_time_s: Mean time per token of the endpoint, in seconds.
        median_token_time_s: Median over its peers, in seconds.
        failure_share: Share of failed attempts, 0 to 1.
    """

    instance: str
    until: float
    token_time_s: float
    median_token_time_s: float
    failure_share: float


@dataclasses.dataclass(slots=True)
class _Mean:
    """Mean of samples whose weights decay exponentially with age."""

    weight: float = 0.0
    total: float = 0.0
    updated_at: float = 0.0
    latest: float = 0.0

    def add(self, value: float, now: float) -> None:
        decay = math.exp(-max(0.0, now - self.updated_at) / AVERAGING_S)
        self.weight = self.weight * decay + 1.0
        self.total = self.total * decay + value
        self.updated_at = now
        self.latest = value

    def get_weight(self, now: float) -> float:
        return self.weight * math.exp(-max(0.0, now - self.updated_at) / AVERAGING_S)

    def compute(self) -> float:
        return self.total / self.weight if self.weight else 0.0


@dataclasses.dataclass(slots=True)
class _Record:
    token_time: _Mean = dataclasses.field(default_factory=_Mean)
    failures: _Mean = dataclasses.field(default_factory=_Mean)
    ejections: int = 0
    ejected_until: float = -math.inf


class OutlierDetector:
    """Ejects outliers among the endpoints of one service.

    Endpoints are compared with the median of their peers, so that none is ejected
    when all are slow or all fail. Only endpoints that have almost stopped or that fail
    are ejected; the endpoint selection already avoids moderately slow ones. The
    ejection time doubles each time an endpoint is ejected again for failures.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._ignored_until: dict[str, float] = {}

    def record_token_time(self, instance: str, token_time_s: float, now: float) -> None:
        """Records the time per token of a running attempt, in seconds.

        It is computed from load reports, as running attempts divided by tokens per
        second, so that an endpoint that generates no tokens is detected too.
        """
        if self._is_ignored(instance, now):
            return
        token_time_s = min(token_time_s, MAX_TOKEN_TIME_S)
        self._records.setdefault(instance, _Record()).token_time.add(token_time_s, now)

    def record_outcome(self, instance: str, failed: bool, now: float) -> None:
        """Records whether an attempt failed because of the endpoint."""
        if self._is_ignored(instance, now):
            return
        record = self._records.setdefault(instance, _Record())
        record.failures.add(float(failed), now)

    def discard(self, instance: str, ignored_until: float = -math.inf) -> None:
        """Discards the samples of an endpoint that was removed or restarted.

        Args:
            instance: Instance of the endpoint.
            ignored_until: Monotonic time until which its samples are ignored, in
                seconds: an endpoint is slow right after its start.
        """
        self._records.pop(instance, None)
        if ignored_until > -math.inf:
            since = ignored_until - RESET_AFTER_S
            self._ignored_until = {
                name: until
                for name, until in self._ignored_until.items()
                if until > since
            }
            self._ignored_until[instance] = ignored_until

    def _is_ignored(self, instance: str, now: float) -> bool:
        if now < self._ignored_until.get(instance, -math.inf):
            return True
        self._ignored_until.pop(instance, None)
        return False

    def eject(
        self,
        members: collections.abc.Sequence[str],
        now: float,
        max_ejected_share: float = MAX_EJECTED_SHARE,
    ) -> tuple[Ejected, ...]:
        """Ejects the worst outliers; call it about once per second.

        Args:
            members: Endpoints of the service that accept attempts unless ejected.
            now: Monotonic time in seconds.
            max_ejected_share: Maximum share of the members ejected at the same time.

        Returns:
            The endpoints ejected by this call.
        """
        known = [
            (name, self._records[name]) for name in members if name in self._records
        ]
        ejected_count = sum(now < record.ejected_until for _, record in known)
        remaining = math.floor(max_ejected_share * len(members)) - ejected_count
        if remaining <= 0 or len(members) < MIN_PEERS:
            return ()
        candidates = [(name, peer) for name, peer in known if now >= peer.ejected_until]
        outliers = _find_outliers(candidates, now)
        return tuple(
            self._eject(name, deviation, now)
            for deviation, name in outliers[:remaining]
        )

    def _eject(self, instance: str, deviation: _Deviation, now: float) -> Ejected:
        record = self._records[instance]
        if now - record.ejected_until > RESET_AFTER_S:
            record.ejections = 0
        until = now + min(MAX_EJECTION_S, EJECTION_S * 2.0**record.ejections)
        if deviation.is_failing:
            record.ejections += 1
        record.ejected_until = until
        ejected = Ejected(
            instance,
            until,
            record.token_time.compute(),
            deviation.median_token_time_s,
            record.failures.compute(),
        )
        record.token_time = _Mean()
        record.failures = _Mean()
        return ejected


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Deviation:
    excess: float
    median_token_time_s: float
    is_failing: bool


def _find_outliers(
    peers: list[tuple[str, _Record]], now: float
) -> list[tuple[_Deviation, str]]:
    token_times_s = [
        peer.token_time.compute()
        for _, peer in peers
        if _has_enough_samples(peer.token_time, now)
    ]
    failure_shares = [
        peer.failures.compute()
        for _, peer in peers
        if _has_enough_samples(peer.failures, now)
    ]
    median_token_time_s = (
        statistics.median(token_times_s)
        if len(token_times_s) >= MIN_PEERS
        else math.inf
    )
    median_failure_share = (
        statistics.median(failure_shares) if len(failure_shares) >= MIN_PEERS else 1.0
    )
    outliers: list[tuple[_Deviation, str]] = []
    for name, record in peers:
        slow_score = failure_score = 0.0
        if _has_enough_samples(record.token_time, now) and median_token_time_s > 0:
            token_time_s = min(record.token_time.compute(), record.token_time.latest)
            slow_score = token_time_s / median_token_time_s / SLOW_RATIO
        if _has_enough_samples(record.failures, now):
            excess_share = record.failures.compute() - median_failure_share
            failure_score = excess_share / MAX_FAILURE_EXCESS
        if max(slow_score, failure_score) > 1.0:
            deviation = _Deviation(
                max(slow_score, failure_score),
                median_token_time_s,
                failure_score > slow_score,
            )
            outliers.append((deviation, name))
    return sorted(outliers, key=lambda item: (-item[0].excess, item[1]))


def _has_enough_samples(mean: _Mean, now: float) -> bool:
    return mean.get_weight(now) >= MIN_WEIGHT
