"""Load under way at the endpoints, of this entry and of the others."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

# An entry that is silent for longer has ended, and its requests with it; raised where
# entries announce themselves less often.
EXPIRY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load under way at one endpoint.

    Attributes:
        requests: Requests sent and not answered whole.
        memory_tokens: Tokens of memory that they hold at their ends.
    """

    requests: int = 0
    memory_tokens: float = 0.0

    def add(self, other: Load) -> Load:
        """Returns the sum of both."""
        return Load(
            self.requests + other.requests, self.memory_tokens + other.memory_tokens
        )


_NONE = Load()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Load of another entry, by instance of the endpoint; `at` is its arrival."""

    loads: collections.abc.Mapping[str, Load]
    received_at: float


class LoadTable:
    """Adds up what all entries have under way at each endpoint.

    Sums are kept up to date with each change: they are read for each event of a stream,
    and reading them must not cost more in a larger fleet.
    """

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, PeerLoad] = {}
        self._totals: dict[str, Load] = {}
        self._oldest_received_at = math.inf
        self.expiry_s = EXPIRY_S

    def record_start(self, instance: str, memory_tokens: float) -> None:
        """Counts a request that is about to be sent."""
        one = Load(1, memory_tokens)
        self._own[instance] = self._own.get(instance, _NONE).add(one)
        self._add(instance, one)

    def record_finish(self, instance: str, memory_tokens: float) -> None:
        """Takes back a request that ended."""
        before = self._own[instance]
        one = Load(-1, -memory_tokens)
        if before.requests == 1:
            del self._own[instance]
        else:
            self._own[instance] = before.add(one)
        self._add(instance, one)

    def set_peer(
        self, peer: str, loads: collections.abc.Mapping[str, Load], now: float
    ) -> None:
        """Records what another entry has under way."""
        self.forget_peer(peer)
        self._peers[peer] = PeerLoad(loads, now)
        self._oldest_received_at = min(self._oldest_received_at, now)
        for instance, done in loads.items():
            self._add(instance, done)

    def forget_peer(self, peer: str) -> None:
        """Drops the work of an entry that has ended."""
        known = self._peers.pop(peer, None)
        if known is None:
            return
        for instance, done in known.loads.items():
            self._add(instance, Load(-done.requests, -done.memory_tokens))

    def copy_own(self) -> dict[str, Load]:
        """Returns this entry's own work."""
        return dict(self._own)

    def get_load(self, instance: str, now: float) -> Load:
        """Returns the work of all entries at an endpoint."""
        if now - self._oldest_received_at > self.expiry_s:
            self._expire(now)
        return self._totals.get(instance, _NONE)

    def _add(self, instance: str, more: Load) -> None:
        total = self._totals.get(instance, _NONE).add(more)
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
