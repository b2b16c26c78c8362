"""Decides which requests start, wait and are rejected when a service lacks capacity.

One object decides for the requests of one service at one entry. The dispatcher tells it
what it believes about the load of the service, then asks whom to start.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy.forwarding import queueing


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """What an entry believes about the load of a service.

    Attributes:
        running: Number of running requests of all entries.
        limit: Maximum number of running requests.
        slots: Number of running requests that the endpoints have slots for.
        free: Number of requests that could start now.
        peer_on_time: On-time requests in other entries' queues.
        own_running: Number of running requests of this entry.
        heard_s: Age of the latest announcement of another entry, in seconds; infinite
            if there is none.
        run_s: Expected time that a request runs, in seconds; 0 if it isn't known.
    """

    running: int = 0
    limit: int = 0
    slots: int = 0
    free: int = 0
    peer_on_time: int = 0
    own_running: int = 0
    heard_s: float = 0.0
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Basis:
    """What the latest decision on a request was based on, for the log.

    Attributes:
        load_share: Believed running requests, as a share of the limit.
        threshold: Share of the limit below which the request may start.
        late: Whether it can't meet its objective any more.
        age_s: Time since the caller first sent the request, in seconds.
        predicted_wait_s: Predicted time in the queue, in seconds.
        heard_s: Age of the latest announcement of another entry, in seconds.
    """

    load_share: float
    threshold: float
    late: bool
    age_s: float
    predicted_wait_s: float
    heard_s: float


class Shedding(typing.Protocol):
    """Decides who starts, who waits and who is rejected."""

    def observe(self, load: ServiceLoad, now: float) -> None:
        """Sets the load that the next decisions are based on."""

    def record_request(self, request: queueing.PendingRequest, now: float) -> None:
        """Records that a request arrived."""

    def record_start(self, request: queueing.PendingRequest, now: float) -> None:
        """Records that a request was sent to an endpoint."""

    def admits(self, request: queueing.PendingRequest, now: float) -> bool:
        """Returns whether a request that arrives while none waits may start at once."""

    def push(
        self, request: queueing.PendingRequest, now: float
    ) -> tuple[queueing.Rejection, ...]:
        """Enqueues a request; returns all requests rejected as a result."""

    def pop(self, now: float) -> queueing.PendingRequest | None:
        """Dequeues the next request that may start; None if there is none."""

    def expire(self, now: float) -> tuple[queueing.Rejection, ...]:
        """Removes and returns the requests that have waited in vain."""

    def remove(self, request_id: str) -> bool:
        """Removes a request; returns False if it isn't queued."""

    def clear(self) -> tuple[queueing.PendingRequest, ...]:
        """Removes and returns all requests."""

    def count_on_time(self) -> int:
        """Returns the number of queued requests that can still be on time."""

    def take_basis(self, request_id: str) -> Basis | None:
        """Returns and forgets what the latest decision on a request was based on."""

    def __len__(self) -> int:
        """Returns the number of queued requests."""
