"""Matches requests of one service with endpoints that have room."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import congestion
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import latency
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import selection
from chicoryweir_policy.forwarding import waiting

# Time after which a request comes back that found no room, in seconds.
EXPIRED_RETRY_S = 1.0
# Endpoints are passed over as slow or failing while this part of them remains: fewer
# would carry too much, and what is wrong with most is no fault of each.
MIN_TRUSTED_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """A request goes to an endpoint; its work is counted there from now on."""

    ticket: waiting.Ticket
    endpoint: endpoints.Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Waits:
    """The request waits for room."""

    ticket: waiting.Ticket


Outcome = Placed | Waits | waiting.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class _Survey:
    """What the endpoints of a service may take now.

    Attributes:
        candidates: The endpoints, with their work and their limits.
        free: Requests that would start at once.
    """

    candidates: list[selection.Candidate]
    free: int


class Dispatcher:
    """Requests of one service: those that wait and those under way."""

    def __init__(
        self,
        book: endpoints.EndpointBook,
        load_book: loads.LoadBook,
        selector: selection.Selector,
        room: waiting.WaitingRoom,
    ) -> None:
        self._book = book
        self._loads = load_book
        self._selector = selector
        self._room = room
        self._head: waiting.Ticket | None = None
        self._avoided: collections.abc.Callable[[str, float], bool] = _avoid_none
        self._stretch = congestion.Stretch()
        self._pause_s = 0.0
        self._first = latency.FirstPart()
        self._peers_timely = 0
        self._paces: collections.abc.Mapping[str, float] = {}

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._room) + (self._head is not None)

    def avoid(self, judge: collections.abc.Callable[[str, float], bool]) -> None:
        """Sets what tells whether an instance is passed over at a time."""
        self._avoided = judge

    def note_paces(self, paces: collections.abc.Mapping[str, float]) -> None:
        """Takes the paces of slow instances; they get nothing new meanwhile."""
        self._paces = paces

    def note_first(self, delay_s: float) -> None:
        """Takes the time from a request's sending to the first part of its answer."""
        self._first = latency.note_sample(self._first, delay_s)

    def expect_first(self) -> float:
        """Returns the time to the first part that most requests need, in seconds."""
        return self._first.expect()

    def note_pause(
        self,
        service: configuration.Service,
        pause_s: float,
        aim_s: float,
        now: float,
    ) -> None:
        """Takes the pause between two events of a stream.

        Args:
            service: Service of the stream.
            pause_s: The pause, in seconds.
            aim_s: Longest pause that is on time on its route, in seconds.
            now: Present time, monotonic seconds.
        """
        if service.engine is None:
            return
        usable = self._book.list_usable(service.name, now)
        running = sum(self._loads.measure(e.instance, now).requests for e in usable)
        self._pause_s = aim_s
        self._stretch = congestion.note_pause(
            self._stretch,
            service.engine,
            pause_s,
            running / max(1, len(usable)),
            self._find_pace(usable),
            now,
        )

    def offer(
        self, ticket: waiting.Ticket, service: configuration.Service, now: float
    ) -> tuple[Outcome, ...]:
        """Takes a request; returns what follows for it, and for others evicted."""
        if not len(self):
            placed = self._place(ticket, self._survey(service, now))
            if placed is not None:
                return (placed,)
        refusals = self._room.push(ticket, now)
        if any(r.ticket.request_id == ticket.request_id for r in refusals):
            return refusals
        return (*refusals, Waits(ticket), *self.advance(service, now))

    def advance(
        self, service: configuration.Service, now: float
    ) -> tuple[Outcome, ...]:
        """Places waiting requests while there is room, and rejects expired ones."""
        outcomes: list[Outcome] = list(self._room.expire(now))
        if self._head is not None and self._head.latest_start_at < now:
            outcomes.append(_refuse_expired(self._head))
            self._head = None
        while len(self):
            survey = self._survey(service, now)
            if not survey.free:
                break
            # What is free may be for others' requests that can be in time.
            timely_only = survey.free <= self._peers_timely
            ticket = self._head or self._room.pop(now, timely_only)
            self._head = None
            if ticket is None:
                break
            if ticket.latest_start_at < now:
                outcomes.append(_refuse_expired(ticket))
                continue
            placed = self._place(ticket, survey)
            if placed is None:
                # It may not go where there is room, or needs more memory.
                self._head = ticket
                break
            outcomes.append(placed)
        return tuple(outcomes)

    def count_timely(self) -> int:
        """Returns the waiting requests that can still meet their objectives."""
        return self._room.count_timely()

    def note_peers(self, timely: int) -> None:
        """Takes the timely requests that wait at the other entries."""
        self._peers_timely = timely

    def withdraw(self, request_id: str) -> None:
        """Drops a request that waits, if it does."""
        if self._head is not None and self._head.request_id == request_id:
            self._head = None
            return
        self._room.remove(request_id)

    def finish(self, placed: Placed) -> None:
        """Takes back the work of a request that has left its endpoint."""
        self._loads.finish(placed.endpoint.instance, placed.ticket.wanted.memory_tokens)

    def _place(self, ticket: waiting.Ticket, survey: _Survey) -> Placed | None:
        others = [
            candidate
            for candidate in survey.candidates
            if candidate.endpoint.instance not in ticket.excluded
        ]
        candidates = others or survey.candidates
        chosen = self._selector.select(candidates, ticket.wanted, ticket.request_id)
        if chosen is None:
            return None
        self._loads.start(chosen.endpoint.instance, ticket.wanted.memory_tokens)
        return Placed(ticket, chosen.endpoint)

    def _find_pace(self, usable: list[endpoints.Endpoint]) -> float:
        """Returns the pace of the slowest endpoint, which all in lock-step await."""
        if not self._paces:
            return 1.0
        paces = [self._paces.get(endpoint.instance, 1.0) for endpoint in usable]
        return max(paces, default=1.0)

    def _survey(self, service: configuration.Service, now: float) -> _Survey:
        """Finds what the endpoints have under way and may take."""
        usable = self._book.list_usable(service.name, now)
        trusted = [
            endpoint
            for endpoint in usable
            if endpoint.instance not in self._paces
            and not self._avoided(endpoint.instance, now)
        ]
        enough = len(trusted) >= MIN_TRUSTED_SHARE * len(usable)
        memory = 0 if service.engine is None else service.engine.memory_tokens
        candidates = [
            selection.Candidate(
                endpoint,
                self._loads.measure(endpoint.instance, now),
                endpoint.slots,
                memory,
            )
            for endpoint in (trusted if enough else usable)
        ]
        free = sum(max(0, c.limit - c.work.requests) for c in candidates)
        if service.engine is None or not candidates:
            return _Survey(candidates, free)
        limit = congestion.compute_limit(
            self._stretch,
            service.engine,
            self._pause_s,
            self._find_pace(usable),
            now,
        )
        if limit >= service.engine.slots:
            return _Survey(candidates, free)
        # Endpoints that work in lock-step slow one another down, wherever the work is.
        running = sum(candidate.work.requests for candidate in candidates)
        free = min(free, max(0, math.floor(limit * len(candidates)) - running))
        most = math.ceil(limit) if free else 0
        limited = [
            dataclasses.replace(candidate, limit=min(candidate.limit, most))
            for candidate in candidates
        ]
        return _Survey(limited, free)


def _refuse_expired(ticket: waiting.Ticket) -> waiting.Refusal:
    return waiting.Refusal(ticket, "its time ran out waiting", EXPIRED_RETRY_S)


def _avoid_none(instance: str, now: float) -> bool:
    return False
