"""Selects the endpoint that a request is sent to.

The load it answers: many entries send to the same endpoints and record of one another's
requests some tenths of a second late. What all of them hold for the least loaded gets
everything that is sent meanwhile; each therefore looks at a few endpoints, drawn anew
for each request.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import typing

from chicoryweir_policy import draws
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import loads

# Part of a slot that a request in another data centre must save to go there: a
# round trip between data centres is some 3 ms against runs of 60 ms and more.
OTHER_DATA_CENTRE_SLOTS = 0.05
# An endpoint that has just started is slow; it counts as this much busier.
COLD_SLOTS = 1.0
# Endpoints that are looked at for a request. With 2 to 6, the most loaded of 72
# endpoints has half of what it has when all are looked at, for news that is half a
# second old; with fresh news 4 are as good as all.
CHOICES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that could take the request.

    Attributes:
        endpoint: The endpoint.
        load: Load of all entries there.
        limit: Requests that may be under way there.
        memory_tokens: Tokens that fit in its memory; 0 for no limit.
    """

    endpoint: endpoints.Endpoint
    load: loads.Load
    limit: int
    memory_tokens: int

    def has_room(self, estimate: demand.Demand) -> bool:
        """Tells whether the request would start at once."""
        if self.load.requests >= self.limit:
            return False
        if not self.memory_tokens or self.load.requests == 0:
            return True
        held = self.load.memory_tokens + estimate.memory_tokens
        return held <= self.memory_tokens


class Selector(typing.Protocol):
    """Selects an endpoint; equal arguments give equal selections."""

    def select(
        self,
        candidates: collections.abc.Sequence[Candidate],
        estimate: demand.Demand,
        request_id: str,
    ) -> Candidate | None:
        """Returns the endpoint to send to, or None while none has room."""


class LeastLoaded:
    """Baseline: the endpoint with the least work, near ones first among equals."""

    def __init__(self, data_centre: str, choices: int | None = None) -> None:
        """Sets where the entry is, and at how many endpoints it looks; None for all."""
        self._data_centre = data_centre
        self._choices = choices

    def select(
        self,
        candidates: collections.abc.Sequence[Candidate],
        estimate: demand.Demand,
        request_id: str,
    ) -> Candidate | None:
        """Returns the endpoint with the least work, or None while none has room."""
        drawn = [(_draw(c, request_id), c) for c in candidates if c.has_room(estimate)]
        if self._choices is not None:
            drawn = heapq.nsmallest(self._choices, drawn, key=lambda pair: pair[0])
        if not drawn:
            return None
        return min(drawn, key=lambda pair: (self._compute_rank(pair[1]), pair[0]))[1]

    def _compute_rank(self, candidate: Candidate) -> float:
        rank = float(candidate.load.requests)
        if candidate.endpoint.data_centre != self._data_centre:
            rank += OTHER_DATA_CENTRE_SLOTS
        if candidate.endpoint.cold_s > 0.0:
            rank += COLD_SLOTS
        return rank


class RandomChoice:
    """Baseline: any endpoint that has room, at random."""

    def select(
        self,
        candidates: collections.abc.Sequence[Candidate],
        estimate: demand.Demand,
        request_id: str,
    ) -> Candidate | None:
        """Returns a random endpoint that has room."""
        open_ = [c for c in candidates if c.has_room(estimate)]
        return min(open_, key=lambda c: _draw(c, request_id), default=None)


def _draw(candidate: Candidate, request_id: str) -> float:
    """Returns a number that differs between requests, 0 to 1."""
    return draws.draw(f"{request_id}/{candidate.endpoint.instance}")


def create_selector(data_centre: str) -> Selector:
    """Creates the selector of an entry in `data_centre`."""
    return LeastLoaded(data_centre, CHOICES)
