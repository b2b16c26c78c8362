"""Tries another endpoint for a request while its attempt at the first one is silent.

A silent endpoint may be at work: one that runs out of memory preempts its newest
request and goes on with it later. Its attempt therefore ends only when another endpoint
has begun to answer; one that declines the request changes nothing. If the silent one
answers first, the other attempt ends.
"""

from __future__ import annotations

import asyncio

from chicoryweir_daemon.forwarder import admission
from chicoryweir_daemon.forwarder import allocation
from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import attemptreports
from chicoryweir_daemon.forwarder import attemptrun
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import failedattempts
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import retries


class Successor:
    """The attempt that may take over a request from a silent one."""

    def __init__(
        self,
        context: exchangecontext.ExchangeContext,
        record: requestrecord.RequestRecord,
    ) -> None:
        self._context = context
        self._record = record
        self._task: asyncio.Task[allocation.Allocation] | None = None
        self._run: attemptrun.AttemptRun | None = None
        self._ask_at = 0.0
        self._reason = ""

    def begin_attempt(self) -> None:
        """Forgets why an earlier attempt had to go on."""
        self._ask_at = 0.0
        self._reason = ""

    @property
    def is_pending(self) -> bool:
        """Whether an endpoint was asked for, or its attempt runs."""
        return self._task is not None or self._run is not None

    @property
    def is_running(self) -> bool:
        """Whether an attempt at another endpoint runs."""
        return self._run is not None

    @property
    def is_allocated(self) -> bool:
        """Whether an endpoint is allocated whose attempt has not begun."""
        return (
            self._task is not None
            and self._task.done()
            and isinstance(self._task.result(), dispatching.Dispatched)
        )

    def prepare(self, silent: attemptrun.AttemptRun, now: float) -> bool:
        """Returns whether another endpoint has begun to answer; tries one if allowed.

        Args:
            silent: The attempt at the silent endpoint.
            now: Present time, monotonic seconds.
        """
        instance = silent.endpoint.instance
        if self._run is not None:
            return self._check_run(self._run, instance, now)
        if self._task is None and now >= self._ask_at:
            self._ask(instance, now)
        if self._task is None or not self._task.done():
            return False
        allocated = self._task.result()
        if isinstance(allocated, dispatching.Dispatched):
            self._task = None
            self._try(silent.create_successor(allocated), allocated, now)
            return False
        self._task = None
        self._ask_at = now + allocated.retry_after_s
        self._log_wait(instance, allocated.reason)
        return False

    def take(self) -> attemptrun.AttemptRun | dispatching.Dispatched | None:
        """Returns the other endpoint's attempt, or its allocation; None without."""
        run, self._run = self._run, None
        if run is not None:
            return run
        task, self._task = self._task, None
        if task is None:
            return None
        allocated = task.result() if task.done() else None
        if isinstance(allocated, dispatching.Dispatched):
            return allocated
        task.cancel()
        return None

    def withdraw(self) -> None:
        """Ends the other endpoint's attempt, or no longer waits for an endpoint."""
        taken = self.take()
        if isinstance(taken, dispatching.Dispatched):
            self._context.allocator.release(taken, self._record.service)
        elif taken is not None:
            is_sent = taken.is_sent
            taken.cancel()
            if is_sent:
                self._record_failure(taken, retries.Failure.BROKEN)

    def _try(
        self,
        run: attemptrun.AttemptRun,
        allocated: dispatching.Dispatched,
        now: float,
    ) -> None:
        """Begins the attempt at an allocated endpoint, if it is still allowed."""
        # Others may have spent the budget in the meantime.
        decision = self._decide(now)
        if not isinstance(decision, retries.Retry):
            self._context.allocator.release(allocated, self._record.service)
            return
        if decision.charged:
            failedattempts.charge_retry(self._context, self._record, now)
        self._run = run
        run.begin()

    def _check_run(self, run: attemptrun.AttemptRun, instance: str, now: float) -> bool:
        """Returns whether the attempt was accepted; drops it if it failed."""
        outcome = run.find_outcome()
        if not isinstance(outcome, attempts.Failed):
            return run.is_accepted
        self._run = None
        with supervision.isolate_errors("record the outcome of an attempt"):
            attemptreports.record_outcome(
                self._context, self._record, run.endpoint, outcome, now
            )
        self._record_failure(run, outcome.failure)
        other = run.endpoint.instance
        self._log_wait(instance, f"{other} {outcome.failure.value}: {outcome.detail}")
        return False

    def _record_failure(
        self, run: attemptrun.AttemptRun, failure: retries.Failure
    ) -> None:
        failedattempts.record_failure(
            self._context, self._record, run.endpoint.instance, failure
        )

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
