"""Order in which the requests of one service wait at an entry.

The load it answers: a burst of several times what the endpoints can take. A request
that can still meet its objective goes before one that can't any more; within each of
the two, classes go by priority above floors and workspaces share fairly.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import fair_queue
from chicoryweir_policy.admission import queued
from chicoryweir_policy.forwarding import demand

# A workspace's requests go by the rank of their routes: each rank counts as a deadline
# that is later by more than objectives differ, in seconds.
URGENCY_SHIFT_S = 2.0
# Requests that wait at one entry for one service.
MAX_WAITING = 400
# Parts of the capacity that the second and third class keep in a flood of the first.
FLOOR_SHARES = (0.0, 0.08, 0.08)
# Speed until the first measurement, in units of cost a second.
INITIAL_SPEED = 500.0
# Callers don't come back later than this, a third of the time that the longest of them
# have, in seconds.
MAX_RETRY_S = 2.7
# The least speed that is predicted from, in the same unit.
MIN_SPEED = 1.0
# Time over which the speed at which waiting work starts is averaged, in seconds.
SPEED_MEMORY_S = 2.0
# A wait that is predicted is uncertain; only this part of the time left is counted on.
USABLE_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that wants an endpoint.

    Attributes:
        request_id: Identifier of the request in this entry.
        workspace: Workspace it belongs to.
        priority: Rank; 0 is the most urgent.
        urgency: Rank of its route, which orders requests of equal priority.
        wanted: Its estimated work.
        objective_at: Time by which its first part is on time, monotonic seconds.
        give_up_at: Time by which its caller has left if nothing has come.
        arrived_at: Its arrival.
        excluded: Instances that must not get it.
    """

    request_id: str
    workspace: str
    priority: int
    urgency: int
    wanted: demand.Demand
    objective_at: float
    give_up_at: float
    arrived_at: float
    excluded: frozenset[str] = frozenset()

    @property
    def start_by(self) -> float:
        """Time by which it must start to meet its objective."""
        return self.objective_at - self.wanted.first_s

    @property
    def latest_start_at(self) -> float:
        """Time after which starting it serves nobody."""
        return self.give_up_at - self.wanted.first_s


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request is rejected without having run.

    Attributes:
        ticket: The request.
        reason: Why.
        retry_after_s: Time after which coming back helps, in seconds.
    """

    ticket: Ticket
    reason: str
    retry_after_s: float


class SpeedMeter:
    """Measures the cost of what starts a second while requests wait."""

    def __init__(self) -> None:
        self.speed = INITIAL_SPEED
        self._cost = 0.0
        self._since: float | None = None

    def rest(self, now: float) -> None:
        """Begins anew; while nothing waits, the speed says nothing."""
        self._cost, self._since = 0.0, now

    def add(self, cost: float, now: float) -> bool:
        """Counts what starts; tells whether the speed was measured anew."""
        if self._since is None:
            self._since = now
        self._cost += cost
        elapsed_s = now - self._since
        if elapsed_s < SPEED_MEMORY_S / 4:
            return False
        part = min(1.0, elapsed_s / SPEED_MEMORY_S)
        self.speed += part * (self._cost / elapsed_s - self.speed)
        self.speed = max(self.speed, MIN_SPEED)
        self._cost, self._since = 0.0, now
        return True


class WaitingRoom(typing.Protocol):
    """Holds the requests that wait and tells which goes next."""

    def push(self, ticket: Ticket, now: float) -> tuple[Refusal, ...]:
        """Adds a request; returns those that are rejected, it among them or not."""

    def pop(self, now: float, timely_only: bool) -> Ticket | None:
        """Removes and returns the next request; the late ones stay on demand."""

    def remove(self, request_id: str) -> bool:
        """Removes a request; False when it doesn't wait."""

    def expire(self, now: float) -> tuple[Refusal, ...]:
        """Removes the requests that can't be answered in time any more."""

    def predict_wait(self, now: float) -> float:
        """Predicts the time in which all that waits has started, in seconds."""

    def count_timely(self) -> int:
        """Returns the requests that can still meet their objectives."""

    def __len__(self) -> int:
        """Returns the number of requests that wait."""


class ObjectiveFirst:
    """Two queues: requests that can meet their objective, then all others."""

    def __init__(self) -> None:
        self._fresh = fair_queue.create_fair_queue(MAX_WAITING, INITIAL_SPEED)
        self._late = fair_queue.create_fair_queue(MAX_WAITING, INITIAL_SPEED)
        self._tickets: dict[str, Ticket] = {}
        self._meter = SpeedMeter()
        self._late_meter = SpeedMeter()

    def __len__(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._tickets)

    def push(self, ticket: Ticket, now: float) -> tuple[Refusal, ...]:
        """Adds a request; returns those that are rejected, it among them or not."""
        if not self._tickets:
            self._meter.rest(now)
            self._late_meter.rest(now)
        if self._predict_start(ticket, now) > self._count_usable(ticket, now):
            return (self._refuse(ticket, "the wait would pass its deadline", now),)
        self._tickets[ticket.request_id] = ticket
        return self._enter(ticket, now)

    def count_timely(self) -> int:
        """Returns the requests that can still meet their objectives."""
        return len(self._fresh)

    def pop(self, now: float, timely_only: bool) -> Ticket | None:
        """Removes and returns the next request; the late ones stay on demand."""
        self._demote(now)
        entry = self._fresh.pop(now)
        late_cost = 0.0
        if entry is None:
            if timely_only:
                return None
            entry = self._late.pop(now)
            if entry is None:
                return None
            late_cost = entry.cost_tokens
        if self._meter.add(entry.cost_tokens, now):
            self._fresh.set_speed(self._meter.speed)
        if self._late_meter.add(late_cost, now):
            self._late.set_speed(self._late_meter.speed)
        return self._tickets.pop(entry.attempt_id)

    def remove(self, request_id: str) -> bool:
        """Removes a request; False when it doesn't wait."""
        if self._tickets.pop(request_id, None) is None:
            return False
        if self._fresh.remove(request_id) is None:
            self._late.remove(request_id)
        return True

    def expire(self, now: float) -> tuple[Refusal, ...]:
        """Removes the requests that can't be answered in time any more."""
        refusals = list(self._demote(now))
        for entry in self._late.expire(now):
            ticket = self._tickets.pop(entry.attempt_id)
            refusals.append(self._refuse(ticket, "its time ran out waiting", now))
        return tuple(refusals)

    def predict_wait(self, now: float) -> float:
        """Predicts the time in which all that waits has started, in seconds."""
        waiting = [*self._fresh.measure_backlog(now), *self._late.measure_backlog(now)]
        return sum(measure.tokens for measure in waiting) / self._meter.speed

    def _predict_start(self, ticket: Ticket, now: float) -> float:
        priority = _rank(ticket.priority)
        if now <= ticket.start_by:
            ahead = self._fresh.predict_wait(ticket.workspace, priority, now)
            if now + ahead <= ticket.start_by:
                return ahead
        # What starts late is measured by itself: it gets what the others leave.
        own_s = ticket.wanted.cost / self._late_meter.speed
        return own_s + self._late.predict_wait(ticket.workspace, priority, now)

    def _count_usable(self, ticket: Ticket, now: float) -> float:
        """Returns the wait that a request can bear, in seconds."""
        return (ticket.latest_start_at - now) * USABLE_SHARE

    def _enter(self, ticket: Ticket, now: float) -> tuple[Refusal, ...]:
        late = now > ticket.start_by
        target = self._late if late else self._fresh
        latest = ticket.latest_start_at if late else ticket.start_by
        match target.push(_describe(ticket, latest), now):
            case queued.Accepted(evicted=rejected):
                lost = rejected
            case queued.Rejected() as rejection:
                lost = (rejection,)
        return tuple(
            self._refuse(
                self._tickets.pop(one.request.attempt_id), one.reason.value, now
            )
            for one in lost
        )

    def _demote(self, now: float) -> tuple[Refusal, ...]:
        """Moves requests that can't meet their objective behind those that can."""
        refusals: list[Refusal] = []
        for entry in self._fresh.expire(now):
            ticket = self._tickets[entry.attempt_id]
            if self._predict_start(ticket, now) > self._count_usable(ticket, now):
                del self._tickets[entry.attempt_id]
                refusals.append(self._refuse(ticket, "it would start too late", now))
                continue
            refusals += self._enter(ticket, now)
        return tuple(refusals)

    def _refuse(self, ticket: Ticket, reason: str, now: float) -> Refusal:
        late_s = self._late.predict_wait(ticket.workspace, _rank(ticket.priority), now)
        wait_s = min(MAX_RETRY_S, max(self.predict_wait(now), late_s))
        retry_after_ms = delay.compute_retry_after_ms(ticket.request_id, wait_s)
        return Refusal(ticket, reason, retry_after_ms / 1000)


def _rank(priority: int) -> requests.PriorityClass:
    return requests.PriorityClass(min(priority, max(requests.PriorityClass)))


def _describe(ticket: Ticket, latest_start_at: float) -> queued.QueuedRequest:
    priority = _rank(ticket.priority)
    shift_s = ticket.urgency * URGENCY_SHIFT_S
    return queued.QueuedRequest(
        attempt_id=ticket.request_id,
        workspace=ticket.workspace,
        priority=priority,
        weight=1.0,
        floor_share=FLOOR_SHARES[priority],
        cost_tokens=ticket.wanted.cost,
        deadline_at=latest_start_at + shift_s,
        arrived_at=ticket.arrived_at,
        run_s=shift_s,
    )


def create_waiting_room() -> WaitingRoom:
    """Creates the waiting room of one service."""
    return ObjectiveFirst()
