"""Hands requests to the dispatchers and wakes those that got an endpoint."""

from __future__ import annotations

import asyncio
import collections.abc

from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import queueing

# Waiting requests are looked at this often besides each end of one, in seconds.
TICK_S = 0.03

Verdict = dispatching.Dispatched | queueing.Rejection


class Desk:
    """Owns the futures of requests that wait for an endpoint."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._waiters: dict[str, asyncio.Future[Verdict]] = {}
        self._services: dict[str, configuration.Service] = {}

    async def place(
        self, ticket: queueing.PendingRequest, service: configuration.Service
    ) -> Verdict:
        """Returns the endpoint for a request, or why it is rejected."""
        dispatcher = self._fleet.get_dispatcher(service.name)
        self._services[service.name] = service
        waiter: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        self._waiters[ticket.request_id] = waiter
        try:
            self._settle(
                dispatcher, dispatcher.submit(ticket, service, self._fleet.clock.read())
            )
            return await waiter
        except asyncio.CancelledError:
            self._abandon(dispatcher, service, ticket, waiter)
            raise
        finally:
            self._waiters.pop(ticket.request_id, None)

    def finish(
        self, placed: dispatching.Dispatched, service: configuration.Service
    ) -> None:
        """Takes back an endpoint that a request has left."""
        dispatcher = self._fleet.get_dispatcher(service.name)
        dispatcher.finish(placed)
        self.advance(service.name)

    def advance(self, name: str) -> None:
        """Places requests that wait for a service."""
        service = self._services.get(name)
        if service is None:
            return
        dispatcher = self._fleet.get_dispatcher(name)
        if len(dispatcher):
            now = self._fleet.clock.read()
            self._settle(dispatcher, dispatcher.dispatch_queued(service, now))

    async def run(self) -> None:
        """Looks at waiting requests from time to time."""
        while True:
            await asyncio.sleep(TICK_S)
            for name, _ in self._fleet.list_dispatchers():
                self.advance(name)

    def _settle(
        self,
        dispatcher: dispatching.Dispatcher,
        outcomes: collections.abc.Iterable[dispatching.Outcome],
    ) -> None:
        for outcome in outcomes:
            if isinstance(outcome, dispatching.Enqueued):
                continue
            waiter = self._waiters.get(outcome.request.request_id)
            if waiter is not None and not waiter.done():
                waiter.set_result(outcome)
            elif isinstance(outcome, dispatching.Dispatched):
                dispatcher.finish(outcome)

    def _abandon(
        self,
        dispatcher: dispatching.Dispatcher,
        service: configuration.Service,
        ticket: queueing.PendingRequest,
        waiter: asyncio.Future[Verdict],
    ) -> None:
        """Takes a request back whose caller has left or whose time is over."""
        if waiter.done() and not waiter.cancelled():
            verdict = waiter.result()
            if isinstance(verdict, dispatching.Dispatched):
                self.finish(verdict, service)
            return
        dispatcher.remove(ticket.request_id)
