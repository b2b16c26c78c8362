"""Load of the endpoints: running requests of this entry and of all others."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

# Age after which the load announced by an entry is dropped, since the entry and its
# requests have ended. Raised in large fleets, which send announcements less often.
EXPIRY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one endpoint.

    Attributes:
        requests: Requests that were sent and are not completed.
        memory_tokens: Memory that these requests occupy at their end, in tokens.
    """

    requests: int = 0
    memory_tokens: float = 0.0

    def add(self, other: Load) -> Load:
        """Returns the sum of two loads."""
        return Load(
            self.requests + other.requests, self.memory_tokens + other.memory_tokens
        )


_NO_LOAD = Load()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load announced by another entry, by endpoint instance."""

    loads: collections.abc.Mapping[str, Load]
    received_at: float


class LoadTable:
    """Sums the load of all entries at each endpoint.

    Totals are updated on each change: they are read on each event of a stream, and the
    cost of a read must not depend on the size of the fleet.
    """

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, PeerLoad] = {}
        self._totals: dict[str, Load] = {}
        self._oldest_received_at = math.inf
        self._latest_received_at = -math.inf
        self.expiry_s = EXPIRY_S

    def record_start(self, instance: str, memory_tokens: float) -> None:
        """Adds a request that is about to be sent."""
        change = Load(1, memory_tokens)
        self._own[instance] = self._own.get(instance, _NO_LOAD).add(change)
        self._add(instance, change)

    def record_finish(self, instance: str, memory_tokens: float) -> None:
        """Subtracts a request that ended."""
        before = self._own[instance]
        change = Load(-1, -memory_tokens)
        if before.requests == 1:
            del self._own[instance]
        else:
            self._own[instance] = before.add(change)
        self._add(instance, change)

    def set_peer(
        self, peer: str, loads: collections.abc.Mapping[str, Load], now: float
    ) -> None:
        """Replaces the load of another entry."""
        self.forget_peer(peer)
        self._peers[peer] = PeerLoad(loads, now)
        self._oldest_received_at = min(self._oldest_received_at, now)
        self._latest_received_at = now
        for instance, load in loads.items():
            self._add(instance, load)

    def forget_peer(self, peer: str) -> None:
        """Removes the load of an entry that has ended."""
        previous = self._peers.pop(peer, None)
        if previous is None:
            return
        for instance, load in previous.loads.items():
            self._add(instance, Load(-load.requests, -load.memory_tokens))

    def copy_own(self) -> dict[str, Load]:
        """Returns a copy of this entry's own load, by instance."""
        return dict(self._own)

    def get_load(self, instance: str, now: float) -> Load:
        """Returns the load of all entries at an endpoint."""
        if now - self._oldest_received_at > self.expiry_s:
            self._expire(now)
        return self._totals.get(instance, _NO_LOAD)

    def measure_age_s(self, now: float) -> float:
        """Returns the age of the oldest announcement in the totals, in seconds."""
        if not self._peers:
            return 0.0
        return now - self._oldest_received_at

    def count_own(self, instances: collections.abc.Iterable[str]) -> int:
        """Returns the number of this entry's running requests at some endpoints."""
        return sum(self._own.get(name, _NO_LOAD).requests for name in instances)

    def measure_silence_s(self, now: float) -> float:
        """Returns the age of the latest announcement; infinite if there was none."""
        return now - self._latest_received_at

    def _add(self, instance: str, change: Load) -> None:
        total = self._totals.get(instance, _NO_LOAD).add(change)
        if total.requests:
            self._totals[instance] = total
        else:
            self._totals.pop(instance, None)

    def _expire(self, now: float) -> None:
        silent = [
            peer
            for peer, load in self._peers.items()
            if now - load.received_at > self.expiry_s
        ]
        for peer in silent:
            self.forget_peer(peer)
        self._oldest_received_at = min(
            (load.received_at for load in self._peers.values()), default=math.inf
        )
