"""Handles a caller's request by one or more attempts."""

from __future__ import annotations

import asyncio
import typing

from chicoryweir_daemon.forwarder import admission
from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import attemptreports
from chicoryweir_daemon.forwarder import attemptrun
from chicoryweir_daemon.forwarder import endings
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import failedattempts
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import quarantine
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_daemon.forwarder import successors
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import retries
from chicoryweir_policy.forwarding import routes
from chicoryweir_policy.forwarding import stalls
from chicoryweir_policy.forwarding import stopping

# Interval of checks whether another endpoint takes over a request from a silent one.
SUCCESSOR_POLL_S = 0.03


class Exchange:
    """Handles one request of a caller, from its queueing to the end of its answer."""

    def __init__(
        self,
        context: exchangecontext.ExchangeContext,
        request: heads.Request,
        answer: callers.Answer,
        facts: interfaces.RequestFacts,
        routed: routes.Routed,
        service: configuration.Service,
        arrived_at: float,
    ) -> None:
        self._context = context
        self._fleet = context.fleet
        self._record = requestrecord.create_request_record(
            context.fleet, request, answer, facts, routed, service, arrived_at
        )
        self._run: attemptrun.AttemptRun | None = None
        self._timeout: asyncio.Timeout | None = None
        self._successor = successors.Successor(context, self._record)

    async def run(self) -> None:
        """Handles the request; is cancelled when the caller leaves."""
        record = self._record
        self._fleet.get_retry_budget(record.service.name).record_request(
            record.arrived_at
        )
        try:
            async with asyncio.timeout_at(self._compute_end_at()) as self._timeout:
                await self._serve()
        except TimeoutError:
            if self._timeout is None or not self._timeout.expired():
                raise
            self._end_at_deadline()
        except asyncio.CancelledError:
            endings.log_end(self._context, record, "caller left", 0, "")
            raise
        finally:
            self._successor.withdraw()
            # The attempt refers to this exchange and the timeout to its task; until the
            # garbage collector finds them, they would hold the request.
            self._run = self._timeout = None

    def update_end(self) -> None:
        """Sets the time until which the request may go on as it does now.

        In an entry that stops, it must be sent in time to be over before the stop, and
        ends with an answer just before it.
        """
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(self._compute_end_at())

    async def _serve(self) -> None:
        """Queues the request and attempts it until it has its answer."""
        record = self._record
        while not record.answer.ended:
            if self._now() >= self._compute_end_at():
                self._end_at_deadline()
                continue
            self.update_end()
            if self._reject_quarantined():
                continue
            run = self._successor.take() or await self._allocate()
            if isinstance(run, dispatching.Dispatched):
                run = self._create_run(run)
            if run is not None:
                await self._perform(run)

    def _reject_quarantined(self) -> bool:
        return quarantine.reject_quarantined(self._context, self._record, self._now())

    async def _allocate(self) -> dispatching.Dispatched | None:
        """Waits for an endpoint; returns None if the request is rejected."""
        record = self._record
        dispatcher = self._fleet.get_dispatcher(record.service.name)
        queued_at = self._now()
        try:
            allocated = await self._context.allocator.acquire(
                admission.make_pending_request(record, dispatcher), record.service
            )
        finally:
            now = self._now()
            record.waited_s += now - queued_at
            with supervision.isolate_errors("record the inputs of a decision"):
                admission.record_inputs(record, dispatcher, now)
        with supervision.isolate_errors("record an admission decision"):
            admission.record_decision(self._context, record, dispatcher, allocated)
        if isinstance(allocated, queueing.Rejection):
            endings.reject(
                self._context, record, allocated.reason, allocated.retry_after_s
            )
            return None
        # Crashes may have been reported while the request was queued.
        if self._reject_quarantined():
            self._context.allocator.release(allocated, record.service)
            return None
        return allocated

    def _create_run(self, dispatched: dispatching.Dispatched) -> attemptrun.AttemptRun:
        return attemptrun.AttemptRun(
            self._context,
            self._record,
            dispatched,
            self._record_part,
            self._compute_stall_timeout,
        )

    async def _perform(self, run: attemptrun.AttemptRun) -> None:
        """Sends the request to an endpoint, then processes the outcome."""
        self._run = run
        self._successor.begin_attempt()
        self.update_end()
        run.take_turn()
        outcome = await run.finish()
        # If the request's time ends before this, it has been sent and may have run.
        self._run = None
        self._process_outcome(run.endpoint, outcome)

    def _record_part(self, gap_s: float) -> None:
        """Records that part of the answer arrived."""
        self._successor.withdraw()
        with supervision.isolate_errors("record part of an answer"):
            self._record.progress.record_part(gap_s)

    def _compute_stall_timeout(self, run: attemptrun.AttemptRun) -> float:
        """Returns how much longer an attempt may wait for its answer, in seconds.

        A silent attempt ends as soon as another endpoint has begun to answer.
        """
        timeout_s = run.measure_stall_timeout()
        if timeout_s > 0.0 or not run.has_turn:
            return timeout_s
        if self._successor.prepare(run, self._now()):
            return 0.0
        return SUCCESSOR_POLL_S if self._successor.is_pending else stalls.RECHECK_S

    def _process_outcome(
        self, endpoint: endpoints.Endpoint, outcome: attempts.Outcome
    ) -> None:
        """Records the outcome of an attempt, then ends or retries the request."""
        now = self._now()
        with supervision.isolate_errors("record the outcome of an attempt"):
            attemptreports.record_outcome(
                self._context, self._record, endpoint, outcome, now
            )
        match outcome:
            case attempts.Finished(status):
                self._finish(status, now)
            case attempts.Failed():
                self._handle_failure(endpoint.instance, outcome)

    def _finish(self, status: int, now: float) -> None:
        record = self._record
        if status < 300 and not record.progress.is_proven:
            with supervision.isolate_errors("record a proof of prompt parts"):
                record.progress.prove_parts(now)
        self._context.metrics.observe(
            "answer", record.route.kind.value, now - record.arrived_at
        )
        endings.log_end(self._context, record, "answered", status, "")

    def _handle_failure(self, instance: str, failed: attempts.Failed) -> None:
        """Decides how to proceed after a failed attempt, and executes the decision."""
        context, record = self._context, self._record
        failedattempts.record_failure(context, record, instance, failed.failure)
        now = self._now()
        if self._successor.is_running:
            # The budget was charged when that attempt began.
            decision: retries.Decision = retries.Retry(charged=False)
        elif self._successor.is_allocated:
            decision = retries.Retry(charged=True)
        else:
            decision = failedattempts.decide_retry(context, record, failed.failure, now)
        match decision:
            case retries.Retry(charged):
                failedattempts.record_retry(
                    context, record, instance, failed, charged, now
                )
            case retries.Reject(reason):
                endings.reject(context, record, f"{failed.detail}; {reason}", None)
            case retries.Fail(reason):
                endings.fail(context, record, 502, f"{failed.detail}; {reason}")
            case retries.Abort(reason):
                endings.abort(context, record, f"{failed.detail}; {reason}")
            case retries.PassOn():
                endings.pass_on(context, record, failed)
            case _:
                typing.assert_never(decision)

    def _end_at_deadline(self) -> None:
        is_sent = self._run is not None and self._run.is_sent
        endings.end_at_deadline(self._context, self._record, is_sent)

    def _compute_end_at(self) -> float:
        record = self._record
        stop = self._fleet.stop
        if self._run is not None or record.relay.begun:
            return min(record.deadline_at, stop.ends_at)
        if stop is stopping.NEVER:
            return record.deadline_at
        longest_s = self._fleet.get_durations(record.route.name).predict_longest_s(
            record.max_answer_tokens, self._now()
        )
        return min(
            record.deadline_at,
            stopping.compute_latest_start(
                stop, record.arrived_at, record.deadline_at, longest_s
            ),
        )

    def _now(self) -> float:
        return self._fleet.clock.read()
