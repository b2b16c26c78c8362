"""Submits requests to the dispatchers and waits until endpoints are allocated."""

from __future__ import annotations

import asyncio
import collections.abc

from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import queueing

# Interval at which queued requests are dispatched. They are also dispatched whenever an
# endpoint is released.
DISPATCH_INTERVAL_S = 0.03

Allocation = dispatching.Dispatched | queueing.Rejection


class EndpointAllocator:
    """Allocates endpoints to requests; holds a future for each queued request."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._futures: dict[str, asyncio.Future[Allocation]] = {}
        self._services: dict[str, configuration.Service] = {}

    async def acquire(
        self, request: queueing.PendingRequest, service: configuration.Service
    ) -> Allocation:
        """Waits for an endpoint; returns it or the rejection."""
        await self._fleet.freezes.await_release()
        dispatcher = self._fleet.get_dispatcher(service.name)
        self._services[service.name] = service
        future: asyncio.Future[Allocation] = asyncio.get_running_loop().create_future()
        self._futures[request.request_id] = future
        try:
            self._complete(
                dispatcher,
                dispatcher.submit(request, service, self._fleet.clock.read()),
            )
            return await future
        except asyncio.CancelledError:
            self._cancel(dispatcher, service, request, future)
            raise
        finally:
            self._futures.pop(request.request_id, None)

    def release(
        self, dispatched: dispatching.Dispatched, service: configuration.Service
    ) -> None:
        """Releases an endpoint after an attempt, and dispatches queued requests."""
        dispatcher = self._fleet.get_dispatcher(service.name)
        dispatcher.finish(dispatched)
        self.dispatch_queued(service.name)

    def dispatch_queued(self, name: str) -> None:
        """Dispatches the queued requests of a service."""
        service = self._services.get(name)
        if service is None:
            return
        dispatcher = self._fleet.get_dispatcher(name)
        if len(dispatcher) and not self._fleet.freezes.check():
            now = self._fleet.clock.read()
            self._complete(dispatcher, dispatcher.dispatch_queued(service, now))

    async def run(self) -> None:
        """Dispatches queued requests periodically until cancelled."""
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_S)
            self._fleet.freezes.check()
            for name, _ in self._fleet.list_dispatchers():
                self.dispatch_queued(name)

    def _complete(
        self,
        dispatcher: dispatching.Dispatcher,
        outcomes: collections.abc.Iterable[dispatching.Outcome],
    ) -> None:
        for outcome in outcomes:
            if isinstance(outcome, dispatching.Enqueued):
                continue
            future = self._futures.get(outcome.request.request_id)
            if future is not None and not future.done():
                future.set_result(outcome)
            elif isinstance(outcome, dispatching.Dispatched):
                dispatcher.finish(outcome)

    def _cancel(
        self,
        dispatcher: dispatching.Dispatcher,
        service: configuration.Service,
        request: queueing.PendingRequest,
        future: asyncio.Future[Allocation],
    ) -> None:
        """Withdraws a request whose caller left or whose deadline passed."""
        if future.done() and not future.cancelled():
            allocated = future.result()
            if isinstance(allocated, dispatching.Dispatched):
                self.release(allocated, service)
            return
        dispatcher.remove(request.request_id)
