"""Work under way at the endpoints, of this entry and of the others."""

from __future__ import annotations

import collections.abc
import dataclasses

# An entry that is silent for longer has ended, and its requests with it; raised where
# entries announce themselves less often.
EXPIRY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work under way at one endpoint.

    Attributes:
        requests: Requests sent and not answered whole.
        memory_tokens: Tokens of memory that they hold at their ends.
    """

    requests: int = 0
    memory_tokens: float = 0.0

    def add(self, other: Work) -> Work:
        """Returns the sum of both."""
        return Work(
            self.requests + other.requests, self.memory_tokens + other.memory_tokens
        )


_NONE = Work()


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Work of another entry, by instance of the endpoint; `at` is its arrival."""

    work: collections.abc.Mapping[str, Work]
    at: float


class LoadBook:
    """Adds up what all entries have under way at each endpoint."""

    def __init__(self) -> None:
        self._own: dict[str, Work] = {}
        self._peers: dict[str, PeerLoad] = {}
        self.expiry_s = EXPIRY_S

    def start(self, instance: str, memory_tokens: float) -> None:
        """Counts a request that is about to be sent."""
        before = self._own.get(instance, _NONE)
        self._own[instance] = before.add(Work(1, memory_tokens))

    def finish(self, instance: str, memory_tokens: float) -> None:
        """Takes back a request that ended."""
        before = self._own[instance]
        if before.requests == 1:
            del self._own[instance]
            return
        self._own[instance] = Work(
            before.requests - 1, before.memory_tokens - memory_tokens
        )

    def set_peer(
        self, peer: str, work: collections.abc.Mapping[str, Work], now: float
    ) -> None:
        """Records what another entry has under way."""
        self._peers[peer] = PeerLoad(work, now)

    def forget_peer(self, peer: str) -> None:
        """Drops the work of an entry that has ended."""
        self._peers.pop(peer, None)

    def export(self) -> dict[str, Work]:
        """Returns this entry's own work."""
        return dict(self._own)

    def measure(self, instance: str, now: float) -> Work:
        """Returns the work of all entries at an endpoint."""
        total = self._own.get(instance, _NONE)
        for load in self._peers.values():
            if now - load.at <= self.expiry_s:
                total = total.add(load.work.get(instance, _NONE))
        return total
