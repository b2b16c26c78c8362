"""Handles a caller's request by one or more attempts."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import typing

from chicoryweir_daemon.forwarder import allocation
from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import eventlog
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import interfaces
from chicoryweir_daemon.forwarder import metrics_registry
from chicoryweir_daemon.forwarder import problems
from chicoryweir_daemon.forwarder import relay as relays
from chicoryweir_daemon.forwarder import statementreports
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import abandonment
from chicoryweir_policy.forwarding import coldness
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import endpoints
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import retries
from chicoryweir_policy.forwarding import returns
from chicoryweir_policy.forwarding import routes
from chicoryweir_policy.forwarding import stalls
from chicoryweir_policy.forwarding import statements
from chicoryweir_policy.forwarding import stopping
from chicoryweir_policy.quarantine import records

# Retry-After value for a rejected request without an estimate.
DEFAULT_RETRY_AFTER_S = 0.3
# Retry-After value of a stopping entry; the caller's next connection goes to another.
STOPPING_RETRY_AFTER_S = 0.05
STOPPING_DETAIL = "the entry stops before its answer would end"
# An answer proves the parts of its prompt when a piece of it arrives at least this much
# later than the one before; closer ones may be pieces of one event. An engine's step
# takes some milliseconds.
MIN_STEP_S = 0.004
# Maximum time to find out whether an endpoint still listens. A round trip takes a few
# milliseconds.
LISTENER_CHECK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeContext:
    """Objects that all exchanges of a process share."""

    fleet: fleets.Fleet
    allocator: allocation.EndpointAllocator
    pool: connections.Pool
    header_codec: interfaces.HeaderCodec
    event_log: eventlog.EventLog
    metrics: metrics_registry.MetricsRegistry


class Exchange:
    """Handles one request of a caller, from its queueing to the end of its answer."""

    def __init__(
        self,
        context: ExchangeContext,
        request: heads.Request,
        answer: callers.Answer,
        facts: interfaces.RequestFacts,
        routed: routes.Routed,
        service: configuration.Service,
        arrived_at: float,
    ) -> None:
        self._context = context
        self._fleet = context.fleet
        self._request = request
        self._answer = answer
        self._facts = facts
        self._route = routed.route
        self._routed = routed
        self._service = service
        self._arrived_at = arrived_at
        timeout_s = routed.route.timeout_s
        if facts.remaining_s is not None:
            timeout_s = min(timeout_s, facts.remaining_s)
        self._deadline_at = arrived_at + timeout_s
        self._request_id = facts.attempt_id.decode("latin-1")
        self._fingerprint = crashes.compute_fingerprint(
            routed.workspace, facts.host, request.head.target, request.body
        )
        first_attempts = self._fleet.get_first_attempts(self._route.name)
        first_attempts.record(facts.remaining_s)
        self._origin = returns.Origin(
            f"{self._fingerprint:016x}",
            arrived_at - first_attempts.estimate_age_s(facts.remaining_s),
            self._deadline_at,
        )
        self._prompt_parts = tuple(
            f"{service.name}/{part}" for part in facts.shared_parts
        )
        self._is_proven = False
        self._demand = demand.estimate_demand(facts.size, service.engine)
        self._excluded: frozenset[str] = frozenset()
        self._attempt_history = retries.AttemptHistory(0, 0, 0, False, 0)
        self._waited_s = 0.0
        self._last_received_at: float | None = None
        self._first_part_s: float | None = None
        self._attempt_started_at = arrived_at
        self._longest_gap_s = 0.0
        self._endpoint: endpoints.Endpoint | None = None
        self._statement = statements.Statement()
        self._attempt_log: list[str] = []
        self._admission_log: dict[str, int | float | str] = {}
        self._attempt: attempts.Attempt | None = None
        self._timeout: asyncio.Timeout | None = None
        self._relay = self._create_relay()

    async def run(self) -> None:
        """Handles the request; is cancelled when the caller leaves."""
        self._fleet.get_retry_budget(self._service.name).record_request(
            self._arrived_at
        )
        try:
            async with asyncio.timeout_at(self._compute_end_at()) as self._timeout:
                await self._serve()
        except TimeoutError:
            if self._timeout is None or not self._timeout.expired():
                raise
            self._end_at_deadline()
        except asyncio.CancelledError:
            self._log_end("caller left", 0, "")
            raise
        finally:
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

    def _compute_end_at(self) -> float:
        stop_at = self._fleet.stop_at
        if self._attempt is not None or self._relay.begun:
            return min(self._deadline_at, stop_at)
        if stop_at == math.inf:
            return self._deadline_at
        longest_s = self._durations.predict_longest_s(self._answer_tokens, self._now())
        latest_at = stopping.compute_latest_start(stop_at, self._deadline_at, longest_s)
        return min(self._deadline_at, latest_at)

    @property
    def _durations(self) -> stopping.AnswerDurations:
        return self._fleet.get_durations(self._route.name)

    @property
    def _answer_tokens(self) -> int:
        return 0 if self._facts.size is None else self._facts.size.max_answer_tokens

    async def _serve(self) -> None:
        while not self._answer.ended:
            if self._now() >= self._compute_end_at():
                self._end_at_deadline()
                continue
            self.update_end()
            if self._reject_quarantined():
                continue
            queued_at = self._now()
            try:
                allocated = await self._context.allocator.acquire(
                    self._make_pending_request(), self._service
                )
            finally:
                self._waited_s += self._now() - queued_at
                self._describe_admission()
            self._record_decision(allocated)
            match allocated:
                case queueing.Rejection() as rejection:
                    if rejection.predicted_wait_s is not None:
                        wait_s = round(rejection.predicted_wait_s, 3)
                        self._admission_log["predicted_wait_s"] = wait_s
                    self._reject(rejection.reason, rejection.retry_after_s)
                case dispatching.Dispatched():
                    # Crashes may have been reported while the request was queued.
                    if self._reject_quarantined():
                        self._context.allocator.release(allocated, self._service)
                    else:
                        await self._run_attempt(allocated)

    def _describe_admission(self) -> None:
        """Keeps the inputs of the latest admission decision for the log."""
        dispatcher = self._fleet.get_dispatcher(self._service.name)
        inputs = dispatcher.describe_admission(self._now())
        self._admission_log = {
            "running": inputs.running,
            "limit": inputs.limit,
            "loads_age_s": round(inputs.loads_age_s, 3),
            "queued": inputs.queued,
            "peer_on_time": inputs.peer_on_time,
            "first_part_s": round(dispatcher.predict_first_part_s(), 3),
        }

    def _record_decision(self, allocated: allocation.Allocation) -> None:
        """Keeps what a decision in a shortage was based on, and counts its outcome."""
        dispatcher = self._fleet.get_dispatcher(self._service.name)
        basis = dispatcher.take_basis(allocated.request.request_id)
        if basis is None:
            return
        if isinstance(allocated, queueing.Rejection):
            outcome = f"rejected: {allocated.reason}"
        else:
            outcome = "started late" if basis.late else "started on time"
        self._context.metrics.count("shedding", outcome)
        self._admission_log |= {
            "decision": outcome,
            "load_share": round(basis.load_share, 3),
            "threshold": round(basis.threshold, 3),
            "age_s": round(basis.age_s, 3),
            "predicted_wait_s": round(basis.predicted_wait_s, 3),
        }
        if basis.heard_s < math.inf:
            self._admission_log["heard_s"] = round(basis.heard_s, 3)

    async def _run_attempt(self, dispatched: dispatching.Dispatched) -> None:
        endpoint = self._endpoint = dispatched.endpoint
        attempt = attempts.Attempt(
            self._context.pool,
            self._context.header_codec,
            self._fleet.clock,
            endpoint,
            self._record_progress,
            self._get_stall_timeout,
            self._record_statement,
            self._fleet.confirm_sending,
        )
        self._attempt = attempt
        self.update_end()
        forwarding = interfaces.ForwardingFacts(
            self._deadline_at - self._now(),
            endpoint.instance,
            self._routed.workspace,
            self._routed.priority,
            self._relay.resume_after,
        )
        started_at = self._attempt_started_at = self._now()
        crash_tracker = self._fleet.crashes
        crash_tracker.record_sent(endpoint, self._fingerprint)
        crash_tracker.parts.record_sent(self._prompt_parts, started_at)
        self._is_proven = False
        may_have_crashed = is_complete = False
        self._durations.record_start(id(self), started_at)
        try:
            outcome = await attempt.run(
                self._request,
                self._facts,
                forwarding,
                self._relay,
                self._answer,
                fresh=not self._route.retryable,
                tried_before=endpoint.instance in self._excluded,
            )
            may_have_crashed = attempts.may_have_crashed(outcome)
            is_complete = isinstance(outcome, attempts.Finished)
        except asyncio.CancelledError:
            may_have_crashed = self._has_been_silent(attempt)
            raise
        finally:
            unproven_parts = () if self._is_proven else self._prompt_parts
            crash_tracker.record_ended(
                endpoint,
                self._fingerprint,
                may_have_crashed,
                self._now(),
                unproven_parts,
            )
            self._durations.record_end(
                id(self), self._answer_tokens, is_complete, self._now()
            )
            self._context.allocator.release(dispatched, self._service)
        if may_have_crashed and crash_tracker.parts.has_unproven(unproven_parts):
            await self._check_listener(endpoint)
        # If the request's time ends before this, it has been sent and may have run.
        self._attempt = None
        self._process_outcome(endpoint.instance, outcome, started_at, attempt)

    def _has_been_silent(self, attempt: attempts.Attempt) -> bool:
        """Returns whether the endpoint sent nothing for long before now."""
        silent_s = self._now() - attempt.last_received_at
        return attempt.sent and silent_s > stalls.SERVICE_STALL_S

    async def _check_listener(self, endpoint: endpoints.Endpoint) -> None:
        """Records a crash of an endpoint that broke an attempt and doesn't listen.

        Its registration would show the crash only some seconds later, when the request
        may already have crashed the endpoint that it is retried at.
        """
        address = connections.Address(endpoint.host, endpoint.port, endpoint.instance)
        if await self._context.pool.is_refused(address, LISTENER_CHECK_S):
            crashreports.record_refused_connection(
                self._fleet, self._context.event_log, endpoint, self._request_id
            )

    def _process_outcome(
        self,
        instance: str,
        outcome: attempts.Outcome,
        started_at: float,
        attempt: attempts.Attempt,
    ) -> None:
        now = self._now()
        if isinstance(outcome, attempts.Failed):
            self._attempt_log.append(
                f"{instance} {outcome.failure.value}: {outcome.detail}"
            )
            if outcome.failure is retries.Failure.NOT_SENT and self._endpoint:
                # A process that doesn't listen may be about to start again.
                self._fleet.cold_endpoints.record_restart(
                    self._endpoint, now, coldness.Reason.UNREACHABLE
                )
            if outcome.failure is not retries.Failure.MISDIRECTED:
                crashreports.record_endpoint_at_fault(
                    self._fleet,
                    self._context.event_log,
                    outcome.at_fault,
                    instance,
                    self._request_id,
                )
        else:
            self._attempt_log.append(f"{instance} answered")
        if attempts.has_run_to_end(outcome):
            self._fleet.crashes.record_finished(self._fingerprint, now)
        self._report_outcome(instance, outcome, attempt, started_at, now)
        match outcome:
            case attempts.Finished(status):
                if status < 300 and not self._is_proven:
                    self._prove_parts(now)
                self._context.metrics.observe(
                    "answer", self._route.kind.value, now - self._arrived_at
                )
                self._log_end("answered", status, "")
            case attempts.Failed():
                self._handle_failure(instance, outcome)

    def _report_outcome(
        self,
        instance: str,
        outcome: attempts.Outcome,
        attempt: attempts.Attempt,
        started_at: float,
        now: float,
    ) -> None:
        """Reports the outcome at an endpoint to the outlier detector."""
        outliers = self._fleet.outliers
        match outcome:
            case attempts.Finished():
                outliers.record_outcome(instance, False, now)
                outliers.record_token_time(
                    instance, self._compute_time_per_cost(started_at, now), now
                )
            case attempts.Failed(failure=failure, at_fault=at_fault):
                shows_nothing = failure in (
                    retries.Failure.MISDIRECTED,
                    retries.Failure.WITHDRAWN,
                )
                if not at_fault and not shows_nothing:
                    outliers.record_outcome(instance, True, now)

    def _compute_time_per_cost(self, started_at: float, now: float) -> float:
        return (now - started_at) / max(1.0, self._demand.cost)

    def _handle_failure(self, instance: str, failed: attempts.Failed) -> None:
        """Decides how to proceed after a failed attempt, and executes the decision."""
        failure = failed.failure
        self._excluded |= {instance}
        if failure is retries.Failure.MISDIRECTED:
            self._remove_displaced(instance)
        self._attempt_history = retries.AttemptHistory(
            self._attempt_history.deliveries + failure.was_delivered,
            self._attempt_history.attempts + failure.reached_intended_endpoint,
            self._attempt_history.runs + (not failure.proves_not_run),
            self._relay.begun,
            self._attempt_history.requeues + (not failure.reached_intended_endpoint),
        )
        now = self._now()
        budget = self._fleet.get_retry_budget(self._service.name)
        decision = retries.decide_retry(
            self._route,
            failure,
            self._attempt_history,
            budget.count_remaining(self._fleet.count_entries(now), now),
            self._deadline_at - now,
        )
        match decision:
            case retries.Retry(charged):
                if charged:
                    budget.try_spend(self._fleet.count_entries(now), now)
                self._context.metrics.count("repeats", failure.value)
                self._context.event_log.record(
                    catalogue.REQUEST_RETRIED,
                    self._request_id,
                    instance,
                    failure=failure.value,
                    detail=failed.detail,
                    begun=self._relay.begun,
                    elapsed_s=round(now - self._arrived_at, 3),
                )
            case retries.Reject(reason):
                self._reject(f"{failed.detail}; {reason}", None)
            case retries.Fail(reason):
                self._fail(502, f"{failed.detail}; {reason}")
            case retries.Abort(reason):
                self._abort(f"{failed.detail}; {reason}")
            case retries.PassOn():
                self._pass_on(failed)
            case _:
                typing.assert_never(decision)

    def _remove_displaced(self, instance: str) -> None:
        """Removes an endpoint whose address another instance uses now."""
        transition = self._fleet.endpoints.remove_displaced(instance, self._now())
        if transition is not None:
            crashreports.record_transition(
                self._fleet, self._context.event_log, transition, self._request_id
            )

    def _pass_on(self, failed: attempts.Failed) -> None:
        """Passes the endpoint's own error answer on to the caller."""
        error_answer = failed.error_answer
        assert error_answer is not None
        if (
            error_answer.head.status in attempts.NOT_RUN_STATUSES
            and not self._route.retryable
        ):
            self._fail(502, f"{failed.detail} without a word that it was not run")
            return
        relays.write_head(self._answer, error_answer.head, len(error_answer.body))
        self._answer.write(error_answer.body)
        self._answer.finish()
        self._log_end("failure passed on", error_answer.head.status, failed.detail)

    def _reject_quarantined(self) -> bool:
        """Rejects a request that would crash its endpoint; returns whether it did."""
        crash_tracker = self._fleet.crashes
        now = self._now()
        quarantined = crash_tracker.find_quarantine(self._fingerprint, now)
        if quarantined is not None:
            self._log_quarantine(quarantined.losses)
            self._reject("endpoints crashed while it ran", quarantined.retry_after_s)
            return True
        held = crash_tracker.parts.find_hold(self._prompt_parts, now)
        if held is not None:
            self._log_quarantine(held.crashes, held.part)
            detail = "endpoints crashed on a part of its prompt"
            self._reject(detail, max(DEFAULT_RETRY_AFTER_S, held.until - now))
            return True
        return False

    def _log_quarantine(
        self, losses: tuple[records.LossId, ...], part: str = ""
    ) -> None:
        self._context.event_log.record(
            catalogue.REQUEST_QUARANTINED,
            self._request_id,
            fingerprint=f"{self._fingerprint:016x}",
            part=part,
            lost=[loss.instance for loss in losses],
        )

    def _end_at_deadline(self) -> None:
        is_sent = self._attempt is not None and self._attempt.sent
        detail, retry_after_s = "its time is over", None
        if self._now() < self._deadline_at:
            detail, retry_after_s = STOPPING_DETAIL, STOPPING_RETRY_AFTER_S
        if self._relay.begun:
            self._abort(detail)
        elif is_sent or self._attempt_history.runs:
            self._fail(504, detail)
        else:
            self._reject(detail, retry_after_s)

    def _reject(self, reason: str, retry_after_s: float | None) -> None:
        if self._relay.begun:
            self._abort(reason)
            return
        if self._attempt_history.runs:
            self._fail(502, reason)
            return
        if retry_after_s is None:
            retry_after_s = DEFAULT_RETRY_AFTER_S
        problem = problems.Problem(503, "dispatch", reason, retry_after_s)
        self._send(problem, "rejected")

    def _fail(self, status: int, detail: str) -> None:
        self._send(problems.Problem(status, "forward", detail), "failed")

    def _abort(self, detail: str) -> None:
        self._answer.abort()
        self._log_end("broken off", 0, detail)

    def _send(self, problem: problems.Problem, outcome: str) -> None:
        problems.send_problem(
            self._answer, self._context.header_codec, self._facts.attempt_id, problem
        )
        self._log_end(outcome, problem.status, problem.detail)

    def _log_end(self, outcome: str, status: int, detail: str) -> None:
        now = self._now()
        self._context.metrics.count("requests", outcome)
        self._context.event_log.record(
            catalogue.REQUEST_ENDED,
            self._request_id,
            outcome=outcome,
            status=status,
            detail=detail,
            route=self._route.name,
            workspace=self._routed.workspace,
            priority=self._routed.priority,
            version=self._routed.version,
            waited_s=round(self._waited_s, 3),
            first_s=None
            if self._first_part_s is None
            else round(self._first_part_s, 3),
            longest_pause_s=round(self._longest_gap_s, 3),
            elapsed_s=round(now - self._arrived_at, 3),
            left_s=round(self._deadline_at - now, 3),
            attempts=self._attempt_log,
            max_rate=self._statement.max_rate,
            leaving=self._statement.leaving,
            shared_parts=self._facts.shared_parts,
            admission=self._admission_log,
        )

    def _make_pending_request(self) -> queueing.PendingRequest:
        abandon_at = abandonment.compute_abandon_at(
            self._route,
            self._last_received_at or self._arrived_at,
            self._deadline_at,
        )
        retried = self._attempt_history.deliveries > 0
        return queueing.PendingRequest(
            self._request_id,
            self._routed.workspace,
            self._routed.priority,
            self._route.priority,
            self._estimate_demand(),
            abandonment.compute_objective_at(
                self._route, self._arrived_at, abandon_at, retried
            ),
            abandon_at,
            self._arrived_at,
            self._excluded,
            self._origin,
        )

    def _estimate_demand(self) -> demand.Demand:
        """Returns the demand; its first-part delay is at least the recent one."""
        dispatcher = self._fleet.get_dispatcher(self._service.name)
        first_part_s = max(self._demand.first_part_s, dispatcher.predict_first_part_s())
        return dataclasses.replace(self._demand, first_part_s=first_part_s)

    def _create_relay(self) -> relays.Relay:
        if self._route.kind is not configuration.RouteKind.STREAM:
            return relays.BodyRelay(self._answer)
        last_id = self._request.head.find(b"last-event-id")
        return relays.EventRelay(self._answer, last_id)

    def _record_progress(self, gap_s: float) -> None:
        """Records that part of the answer arrived.

        Args:
            gap_s: Time since the previous part of this attempt, in seconds; 0 for the
                first part.
        """
        now = self._now()
        if gap_s >= MIN_STEP_S and not self._is_proven:
            self._prove_parts(now)
        if self._last_received_at is None:
            self._first_part_s = now - self._arrived_at
            dispatcher = self._fleet.get_dispatcher(self._service.name)
            dispatcher.record_first_part(now - self._attempt_started_at)
        else:
            caller_gap_s = now - self._last_received_at
            self._longest_gap_s = max(self._longest_gap_s, caller_gap_s)
        self._last_received_at = now
        self._fleet.progress_at[self._service.name] = now
        if gap_s and self._route.max_gap_s:
            dispatcher = self._fleet.get_dispatcher(self._service.name)
            dispatcher.record_gap(self._service, gap_s, self._route.max_gap_s, now)

    def _record_statement(self, statement: statements.Statement) -> None:
        """Records what the endpoint of the current attempt states about itself."""
        self._statement = statement
        if self._endpoint is not None:
            statementreports.record_statement(
                self._fleet,
                self._context.event_log,
                self._endpoint,
                statement,
                self._attempt_started_at,
                self._request_id,
            )

    def _prove_parts(self, now: float) -> None:
        self._is_proven = True
        self._fleet.crashes.parts.record_proof(self._prompt_parts, now)

    def _get_stall_timeout(self, attempt: attempts.Attempt) -> float:
        now = self._now()
        return stalls.compute_stall_timeout(
            self._route,
            attempt.first_part_at is not None,
            now - attempt.last_progress_at,
            now - self._fleet.progress_at[self._service.name],
        )

    def _now(self) -> float:
        return self._fleet.clock.read()
