"""Allocates the endpoint of a request's next attempt while the current one is silent.

A silent endpoint may be at work: one that runs out of memory preempts its newest
request and goes on with it later. Its attempt therefore ends only for another one that
can start at once; otherwise the request keeps its place.
"""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import admission
from chicoryweir_daemon.forwarder import allocation
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import failedattempts
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import retries


class Successor:
    """Allocation of the endpoint that takes over a request from a silent one."""

    def __init__(
        self,
        context: exchangecontext.ExchangeContext,
        record: requestrecord.RequestRecord,
    ) -> None:
        self._context = context
        self._record = record
        self._task: asyncio.Task[allocation.Allocation] | None = None
        self._ask_at = 0.0
        self._reason = ""

    def begin_attempt(self) -> None:
        """Forgets why an earlier attempt had to go on."""
        self._ask_at = 0.0
        self._reason = ""

    @property
    def is_pending(self) -> bool:
        """Whether an endpoint was asked for and none is allocated yet."""
        return self._task is not None and not self._task.done()

    @property
    def is_allocated(self) -> bool:
        """Whether an endpoint is allocated."""
        return (
            self._task is not None
            and self._task.done()
            and isinstance(self._task.result(), dispatching.Dispatched)
        )

    def prepare(self, instance: str, now: float) -> bool:
        """Returns whether an endpoint is allocated; asks for one if it may be used.

        Args:
            instance: The silent endpoint's instance.
            now: Present time, monotonic seconds.
        """
        if self._task is None and now >= self._ask_at:
            self._ask(instance, now)
        if self._task is None or not self._task.done():
            return False
        allocated = self._task.result()
        if isinstance(allocated, dispatching.Dispatched):
            # Others may have spent the budget in the meantime.
            if isinstance(self._decide(now), retries.Retry):
                return True
            self.withdraw()
            return False
        self._task = None
        self._ask_at = now + allocated.retry_after_s
        self._log_wait(instance, allocated.reason)
        return False

    def take(self) -> dispatching.Dispatched | None:
        """Returns the allocated endpoint, which the caller releases; None without."""
        task, self._task = self._task, None
        if task is None:
            return None
        allocated = task.result() if task.done() else None
        if isinstance(allocated, dispatching.Dispatched):
            return allocated
        task.cancel()
        return None

    def withdraw(self) -> None:
        """Gives the endpoint back, or no longer waits for it."""
        allocated = self.take()
        if allocated is not None:
            self._context.allocator.release(allocated, self._record.service)

    def _ask(self, instance: str, now: float) -> None:
        match self._decide(now):
            case retries.Retry():
                dispatcher = self._context.fleet.get_dispatcher(
                    self._record.service.name
                )
                request = admission.make_pending_successor(
                    self._record, dispatcher, instance
                )
                self._task = asyncio.create_task(self._allocate(request))
            case retries.Abort(reason) | retries.Fail(reason) | retries.Reject(reason):
                self._log_wait(instance, reason)

    async def _allocate(
        self, request: queueing.PendingRequest
    ) -> allocation.Allocation:
        return await self._context.allocator.acquire(request, self._record.service)

    def _decide(self, now: float) -> retries.Decision:
        """Returns what would follow if the silent attempt ended now."""
        return failedattempts.predict_decision(
            self._context, self._record, retries.Failure.BROKEN, now
        )

    def _log_wait(self, instance: str, reason: str) -> None:
        """Logs why a silent attempt goes on, once for each reason."""
        if reason == self._reason:
            return
        self._reason = reason
        self._context.metrics.count("silent_attempts", "kept")
        self._context.event_log.record(
            catalogue.SILENT_ATTEMPT_KEPT,
            self._record.request_id,
            instance,
            detail=reason,
            begun=self._record.relay.begun,
        )
