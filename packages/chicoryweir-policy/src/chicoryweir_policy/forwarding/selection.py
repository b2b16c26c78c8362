"""Selects the endpoint that a request is sent to.

Many entries send to the same endpoints and learn of one another's requests some tenths
of a second late. If all of them selected the least loaded endpoint, it would get all
requests sent in that time. Each entry therefore compares only a few endpoints, drawn at
random for each request.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import typing

from chicoryweir_policy import hashing
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads

# Penalty of an endpoint in another data centre, in slots. A round trip between data
# centres takes about 3 ms, a request 60 ms or more.
OTHER_DATA_CENTRE_SLOTS = 0.05
# Penalty of an endpoint that has just started and is still slow, in slots.
COLD_SLOTS = 1.0
# Number of endpoints that are compared for a request. If load information is half a
# second old, comparing 2 to 6 of 72 endpoints instead of all halves the load of the
# most loaded one; if it is current, comparing 4 is as good as comparing all.
CHOICES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that the request could be sent to.

    Attributes:
        endpoint: The endpoint.
        load: Load of the endpoint from all entries.
        limit: Maximum number of running requests.
        memory_tokens: Capacity of its memory, in tokens; 0 for no limit.
        is_cold: Whether it is taken for cold although its registration may not say so.
    """

    endpoint: endpoints.Endpoint
    load: loads.Load
    limit: int
    memory_tokens: int
    is_cold: bool = False

    def has_capacity(self, estimate: demand.Demand) -> bool:
        """Returns whether the request would start immediately."""
        if self.load.requests >= self.limit:
            return False
        if not self.memory_tokens or self.load.requests == 0:
            return True
        used_tokens = self.load.memory_tokens + estimate.memory_tokens
        return used_tokens <= self.memory_tokens


class Selector(typing.Protocol):
    """Selects an endpoint; the result depends only on the arguments."""

    def select(
        self,
        candidates: collections.abc.Sequence[Candidate],
        estimate: demand.Demand,
        request_id: str,
    ) -> Candidate | None:
        """Returns the endpoint to send to, or None if none has capacity."""


class LeastLoaded:
    """Selects the least loaded endpoint, preferring the own data centre on a tie."""

    def __init__(self, data_centre: str, choices: int | None = None) -> None:
        """Initializes the selector.

        Args:
            data_centre: Data centre of the entry.
            choices: Number of endpoints to draw and compare; None for all.
        """
        self._data_centre = data_centre
        self._choices = choices

    def select(
        self,
        candidates: collections.abc.Sequence[Candidate],
        estimate: demand.Demand,
        request_id: str,
    ) -> Candidate | None:
        """Returns the least loaded endpoint, or None if none has capacity."""
        drawn = [
            (_draw(c, request_id), c) for c in candidates if c.has_capacity(estimate)
        ]
        if self._choices is not None:
            drawn = heapq.nsmallest(self._choices, drawn, key=lambda pair: pair[0])
        if not drawn:
            return None
        return min(
            drawn, key=lambda pair: (self._compute_effective_load(pair[1]), pair[0])
        )[1]

    def _compute_effective_load(self, candidate: Candidate) -> float:
        slots = float(candidate.load.requests)
        if candidate.endpoint.data_centre != self._data_centre:
            slots += OTHER_DATA_CENTRE_SLOTS
        if candidate.is_cold or candidate.endpoint.cold_s > 0.0:
            slots += COLD_SLOTS
        return slots


class RandomChoice:
    """Baseline that selects a random endpoint with capacity."""

    def select(
        self,
        candidates: collections.abc.Sequence[Candidate],
        estimate: demand.Demand,
        request_id: str,
    ) -> Candidate | None:
        """Returns a random endpoint with capacity, or None if there is none."""
        available = [c for c in candidates if c.has_capacity(estimate)]
        return min(available, key=lambda c: _draw(c, request_id), default=None)


def _draw(candidate: Candidate, request_id: str) -> float:
    """Returns a pseudo-random number, 0 to 1, for a request and an endpoint."""
    return hashing.hash_to_unit(f"{request_id}/{candidate.endpoint.instance}")


def create_selector(data_centre: str) -> Selector:
    """Creates the selector of an entry in `data_centre`."""
    return LeastLoaded(data_centre, CHOICES)
