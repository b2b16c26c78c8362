"""Takes endpoints out that are slow or fail, compared with their peers."""

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
    """An endpoint is taken out.

    Attributes:
        instance: Its instance.
        until: Monotonic time, in seconds, at which it starts to return.
        token_time_s: Seconds a token there.
        median_token_time_s: Median of its peers.
        failure_share: Share of its attempts that failed, 0 to 1.
    """

    instance: str
    until: float
    token_time_s: float
    median_token_time_s: float
    failure_share: float


@dataclasses.dataclass(slots=True)
class _Mean:
    """Mean of samples whose weight halves with age."""

    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0
    latest: float = 0.0

    def add(self, value: float, now: float) -> None:
        kept = math.exp(-max(0.0, now - self.at) / AVERAGING_S)
        self.weight = self.weight * kept + 1.0
        self.total = self.total * kept + value
        self.at = now
        self.latest = value

    def weigh(self, now: float) -> float:
        return self.weight * math.exp(-max(0.0, now - self.at) / AVERAGING_S)

    def compute(self) -> float:
        return self.total / self.weight if self.weight else 0.0


@dataclasses.dataclass(slots=True)
class _Record:
    pace: _Mean = dataclasses.field(default_factory=_Mean)
    failures: _Mean = dataclasses.field(default_factory=_Mean)
    ejections: int = 0
    ejected_until: float = -math.inf


class OutlierDetector:
    """Compares the endpoints of one service with one another.

    An endpoint is judged by its distance from the peers' median, so that none is
    taken out when all are slow or all fail. Selection prices moderate slowness; what
    is taken out here has all but stopped, or fails. One that fails again after its
    return is out for longer each time.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_token_time(self, instance: str, token_time_s: float, now: float) -> None:
        """Records the seconds that a running request needs for a token.

        A report gives it as the attempts that run over the tokens a second; so an
        endpoint that has stopped shows too.
        """
        token_time_s = min(token_time_s, MAX_TOKEN_TIME_S)
        self._records.setdefault(instance, _Record()).pace.add(token_time_s, now)

    def record_outcome(self, instance: str, failed: bool, now: float) -> None:
        """Records whether an attempt failed by the endpoint's fault."""
        record = self._records.setdefault(instance, _Record())
        record.failures.add(float(failed), now)

    def discard(self, instance: str) -> None:
        """Forgets an endpoint that is gone or was restarted."""
        self._records.pop(instance, None)

    def eject(
        self,
        members: collections.abc.Sequence[str],
        now: float,
        max_ejected_share: float = MAX_EJECTED_SHARE,
    ) -> tuple[Ejected, ...]:
        """Takes out the worst outliers; meant to be called about once a second.

        Args:
            members: Endpoints of the service that could take work.
            now: Monotonic time in seconds.
            max_ejected_share: Largest share of the members that is out at a time.

        Returns:
            Those taken out by this call.
        """
        known = [
            (name, self._records[name]) for name in members if name in self._records
        ]
        out = sum(now < record.ejected_until for _, record in known)
        room = math.floor(max_ejected_share * len(members)) - out
        if room <= 0 or len(members) < MIN_PEERS:
            return ()
        peers = [(name, rec) for name, rec in known if now >= rec.ejected_until]
        found = _find_outliers(peers, now)
        return tuple(
            self._take_out(name, badness, now) for badness, name in found[:room]
        )

    def _take_out(self, instance: str, badness: _Badness, now: float) -> Ejected:
        record = self._records[instance]
        if now - record.ejected_until > RESET_AFTER_S:
            record.ejections = 0
        until = now + min(MAX_EJECTION_S, EJECTION_S * 2.0**record.ejections)
        if badness.fails:
            record.ejections += 1
        record.ejected_until = until
        ejected = Ejected(
            instance,
            until,
            record.pace.compute(),
            badness.median_token_time_s,
            record.failures.compute(),
        )
        record.pace = _Mean()
        record.failures = _Mean()
        return ejected


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Badness:
    excess: float
    median_token_time_s: float
    fails: bool


def _find_outliers(
    peers: list[tuple[str, _Record]], now: float
) -> list[tuple[_Badness, str]]:
    paced = [rec.pace.compute() for _, rec in peers if _is_known(rec.pace, now)]
    failing_shares = [
        rec.failures.compute() for _, rec in peers if _is_known(rec.failures, now)
    ]
    token_time_s = statistics.median(paced) if len(paced) >= MIN_PEERS else math.inf
    failure_share = (
        statistics.median(failing_shares) if len(failing_shares) >= MIN_PEERS else 1.0
    )
    found: list[tuple[_Badness, str]] = []
    for name, record in peers:
        slow = failing = 0.0
        if _is_known(record.pace, now) and token_time_s > 0:
            slowest = min(record.pace.compute(), record.pace.latest)
            slow = slowest / token_time_s / SLOW_RATIO
        if _is_known(record.failures, now):
            above = record.failures.compute() - failure_share
            failing = above / MAX_FAILURE_EXCESS
        if max(slow, failing) > 1.0:
            badness = _Badness(max(slow, failing), token_time_s, failing > slow)
            found.append((badness, name))
    return sorted(found, key=lambda item: (-item[0].excess, item[1]))


def _is_known(mean: _Mean, now: float) -> bool:
    return mean.weigh(now) >= MIN_WEIGHT
