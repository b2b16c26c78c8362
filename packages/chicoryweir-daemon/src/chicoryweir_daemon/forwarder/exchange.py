"""Handles a caller's request by one or more attempts."""

from __future__ import annotations

import asyncio
import typing

from chicoryweir_daemon.forwarder import admission
from chicoryweir_daemon.forwarder import allocation
from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import attemptreports
from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import endings
from chicoryweir_daemon.forwarder import exchangecontext
from chicoryweir_daemon.forwarder import failedattempts
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import quarantine
from chicoryweir_daemon.forwarder import requestrecord
from chicoryweir_daemon.forwarder import statementreports
from chicoryweir_daemon.forwarder import successors
from chicoryweir_daemon.forwarder import supervision
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import retries
from chicoryweir_policy.forwarding import routes
from chicoryweir_policy.forwarding import stalls
from chicoryweir_policy.forwarding import statements
from chicoryweir_policy.forwarding import stopping

# Maximum time to find out whether an endpoint still listens. A round trip takes a few
# milliseconds.
LISTENER_CHECK_S = 0.1
# Interval of checks whether an endpoint can take over a request from a silent one.
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
        self._endpoint: endpoints.Endpoint | None = None
        self._attempt: attempts.Attempt | None = None
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
            self._attempt = self._timeout = None

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
            match await self._allocate():
                case queueing.Rejection(reason=reason, retry_after_s=retry_after_s):
                    endings.reject(self._context, record, reason, retry_after_s)
                case dispatching.Dispatched() as dispatched:
                    # Crashes may have been reported while the request was queued.
                    if self._reject_quarantined():
                        self._context.allocator.release(dispatched, record.service)
                    else:
                        await self._run_attempt(dispatched)

    def _reject_quarantined(self) -> bool:
        return quarantine.reject_quarantined(self._context, self._record, self._now())

    async def _allocate(self) -> allocation.Allocation:
        """Waits for an endpoint; returns it or the rejection."""
        successor = self._successor.take()
        if successor is not None:
            return successor
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
        return allocated

    async def _run_attempt(self, dispatched: dispatching.Dispatched) -> None:
        """Sends the request to an endpoint, then processes the outcome."""
        record = self._record
        endpoint = self._endpoint = dispatched.endpoint
        attempt = self._attempt = self._create_attempt(endpoint)
        self._successor.begin_attempt()
        self.update_end()
        forwarding = self._describe_forwarding(endpoint)
        with supervision.isolate_errors("record the start of an attempt"):
            attemptreports.record_start(self._context, record, endpoint, self._now())
        may_have_crashed = is_complete = False
        try:
            outcome = await attempt.run(
                record.request,
                record.facts,
                forwarding,
                record.relay,
                record.answer,
                fresh=not record.route.retryable,
                tried_before=endpoint.instance in record.excluded,
            )
            may_have_crashed = attempts.may_have_crashed(outcome)
            is_complete = isinstance(outcome, attempts.Finished)
        except asyncio.CancelledError:
            may_have_crashed = self._has_been_silent(attempt)
            raise
        finally:
            with supervision.isolate_errors("record the end of an attempt"):
                attemptreports.record_end(
                    self._context, record, endpoint, may_have_crashed, is_complete
                )
            self._context.allocator.release(dispatched, record.service)
        if may_have_crashed:
            with supervision.isolate_errors("check the listener of an endpoint"):
                await self._check_listener(endpoint)
        # If the request's time ends before this, it has been sent and may have run.
        self._attempt = None
        self._process_outcome(endpoint, outcome)

    def _create_attempt(self, endpoint: endpoints.Endpoint) -> attempts.Attempt:
        return attempts.Attempt(
            self._context.pool,
            self._context.header_codec,
            self._fleet.clock,
            endpoint,
            self._record_part,
            self._compute_stall_timeout,
            self._record_statement,
            self._fleet.confirm_sending,
        )

    def _record_part(self, gap_s: float) -> None:
        """Records that part of the answer arrived."""
        self._successor.withdraw()
        with supervision.isolate_errors("record part of an answer"):
            self._record.progress.record_part(gap_s)

    def _compute_stall_timeout(self, attempt: attempts.Attempt) -> float:
        """Returns how much longer an attempt may wait for its answer, in seconds.

        A silent attempt ends as soon as another endpoint can take the request over.
        """
        timeout_s = self._record.progress.compute_stall_timeout(attempt)
        if timeout_s > 0.0 or self._endpoint is None:
            return timeout_s
        if self._successor.prepare(self._endpoint.instance, self._now()):
            return 0.0
        return SUCCESSOR_POLL_S if self._successor.is_pending else stalls.RECHECK_S

    def _describe_forwarding(
        self, endpoint: endpoints.Endpoint
    ) -> interfaces.ForwardingFacts:
        record = self._record
        return interfaces.ForwardingFacts(
            record.deadline_at - self._now(),
            endpoint.instance,
            record.routed.workspace,
            record.routed.priority,
            record.relay.resume_after,
        )

    def _record_statement(self, statement: statements.Statement) -> None:
        """Records what the endpoint of the current attempt states about itself."""
        record = self._record
        record.statement = statement
        if self._endpoint is None:
            return
        with supervision.isolate_errors("record a statement of an endpoint"):
            statementreports.record_statement(
                self._fleet,
                self._context.event_log,
                self._endpoint,
                statement,
                record.progress.attempt_started_at,
                record.request_id,
            )

    def _has_been_silent(self, attempt: attempts.Attempt) -> bool:
        """Returns whether the endpoint sent nothing for long before now."""
        silent_s = self._now() - attempt.last_received_at
        return attempt.sent and silent_s > stalls.SERVICE_STALL_S

    async def _check_listener(self, endpoint: endpoints.Endpoint) -> None:
        """Records a crash of an endpoint that broke an attempt and doesn't listen.

        Its registration would show the crash only some seconds later, when the request
        may already have crashed the endpoint that it is retried at. Only requests with
        prompt parts that no answer has proved are checked.
        """
        unproven_parts = self._record.progress.unproven_parts
        if not self._fleet.crashes.parts.has_unproven(unproven_parts):
            return
        address = connections.Address(endpoint.host, endpoint.port, endpoint.instance)
        if await self._context.pool.is_refused(address, LISTENER_CHECK_S):
            crashreports.record_refused_connection(
                self._fleet,
                self._context.event_log,
                endpoint,
                self._record.request_id,
            )

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
        if self._successor.is_allocated:
            decision: retries.Decision = retries.Retry(charged=True)
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
        is_sent = self._attempt is not None and self._attempt.sent
        endings.end_at_deadline(self._context, self._record, is_sent)

    def _compute_end_at(self) -> float:
        record = self._record
        stop = self._fleet.stop
        if self._attempt is not None or record.relay.begun:
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
