"""Answers one request of a caller, over as many attempts as are allowed."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from chicoryweir_daemon.forwarder import attempt as attempts
from chicoryweir_daemon.forwarder import crashreports
from chicoryweir_daemon.forwarder import desk as desks
from chicoryweir_daemon.forwarder import fleet as fleets
from chicoryweir_daemon.forwarder import journal as journals
from chicoryweir_daemon.forwarder import meters as meter_books
from chicoryweir_daemon.forwarder import refusals
from chicoryweir_daemon.forwarder import relay as relays
from chicoryweir_daemon.forwarder import seams
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads
from chicoryweir_policy import catalogue
from chicoryweir_policy.forwarding import abandonment
from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import crashes
from chicoryweir_policy.forwarding import demand
from chicoryweir_policy.forwarding import dispatching
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import retries
from chicoryweir_policy.forwarding import routes
from chicoryweir_policy.forwarding import stalls
from chicoryweir_policy.quarantine import records

# Time after which to come back where nothing better is known, in seconds.
DEFAULT_RETRY_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What all exchanges of a process share."""

    fleet: fleets.Fleet
    desk: desks.Desk
    pool: connections.Pool
    dialect: seams.Dialect
    journal: journals.Journal
    meters: meter_books.Meters


class Exchange:
    """One request of a caller and its answer."""

    def __init__(
        self,
        tools: Tools,
        request: heads.Request,
        answer: callers.Answer,
        facts: seams.RequestFacts,
        routed: routes.Routed,
        service: configuration.Service,
        arrived_at: float,
    ) -> None:
        self._tools = tools
        self._fleet = tools.fleet
        self._request = request
        self._answer = answer
        self._facts = facts
        self._route = routed.route
        self._routed = routed
        self._service = service
        self._arrived_at = arrived_at
        limit_s = routed.route.timeout_s
        if facts.remaining_s is not None:
            limit_s = min(limit_s, facts.remaining_s)
        self._deadline_at = arrived_at + limit_s
        self._request_id = facts.attempt_id.decode("latin-1")
        self._fingerprint = crashes.compute_fingerprint(
            routed.workspace, facts.host, request.head.target, request.body
        )
        self._wanted = demand.estimate_demand(facts.size, service.engine)
        self._excluded: frozenset[str] = frozenset()
        self._history = retries.AttemptHistory(0, 0, 0, False, 0)
        self._waited_s = 0.0
        self._heard_at: float | None = None
        self._first_s: float | None = None
        self._started_at = arrived_at
        self._longest_pause_s = 0.0
        self._trail: list[str] = []
        self._attempt: attempts.Attempt | None = None
        self._relay = self._create_relay()

    async def run(self) -> None:
        """Answers the request; cancelled when the caller leaves."""
        self._fleet.get_budget(self._service.name).record_request(self._arrived_at)
        try:
            async with asyncio.timeout_at(self._deadline_at) as limit:
                await self._serve()
        except TimeoutError:
            if not limit.expired():
                raise
            self._end_at_deadline()
        except asyncio.CancelledError:
            self._log("caller left", 0, "")
            raise

    async def _serve(self) -> None:
        while not self._answer.ended:
            guilt = self._fleet.crashes.find_quarantine(self._fingerprint, self._now())
            if guilt is not None:
                self._quarantine(guilt)
                continue
            asked_at = self._now()
            try:
                verdict = await self._tools.desk.place(self._describe(), self._service)
            finally:
                self._waited_s += self._now() - asked_at
            match verdict:
                case queueing.Rejection(reason=reason, retry_after_s=retry_after_s):
                    self._reject(reason, retry_after_s)
                case dispatching.Dispatched():
                    await self._try(verdict)

    async def _try(self, placed: dispatching.Dispatched) -> None:
        endpoint = placed.endpoint
        attempt = attempts.Attempt(
            self._tools.pool,
            self._tools.dialect,
            self._fleet.clock,
            endpoint,
            self._note_progress,
            self._limit_silence,
        )
        self._attempt = attempt
        sending = seams.Sending(
            self._deadline_at - self._now(),
            endpoint.instance,
            self._routed.workspace,
            self._routed.priority,
            self._relay.resume_after,
        )
        started_at = self._started_at = self._now()
        watch = self._fleet.crashes
        watch.record_sent(endpoint, self._fingerprint)
        broke = False
        try:
            outcome = await attempt.run(
                self._request,
                self._facts,
                sending,
                self._relay,
                self._answer,
                fresh=not self._route.retryable,
            )
            broke = attempts.has_broken(outcome)
        finally:
            watch.record_ended(endpoint, self._fingerprint, broke, self._now())
            self._tools.desk.finish(placed, self._service)
        self._attempt = None
        self._conclude(endpoint.instance, outcome, started_at, attempt)

    def _conclude(
        self,
        instance: str,
        outcome: attempts.Outcome,
        started_at: float,
        attempt: attempts.Attempt,
    ) -> None:
        now = self._now()
        if isinstance(outcome, attempts.Failed):
            self._trail.append(f"{instance} {outcome.failure.value}: {outcome.detail}")
            if outcome.at_fault and outcome.failure is not retries.Failure.MISDIRECTED:
                crashreports.note_blamed(
                    self._fleet, self._tools.journal, outcome.at_fault, self._request_id
                )
        else:
            self._trail.append(f"{instance} answered")
        if attempts.has_run(outcome):
            self._fleet.crashes.record_finished(self._fingerprint, now)
        self._judge_endpoint(instance, outcome, attempt, started_at, now)
        match outcome:
            case attempts.Finished(status):
                self._tools.meters.observe(
                    "answer", self._route.kind.value, now - self._arrived_at
                )
                self._log("answered", status, "")
            case attempts.Failed():
                self._follow(instance, outcome)

    def _judge_endpoint(
        self,
        instance: str,
        outcome: attempts.Outcome,
        attempt: attempts.Attempt,
        started_at: float,
        now: float,
    ) -> None:
        """Tells the detector of outliers what was seen of an endpoint."""
        outliers = self._fleet.outliers
        match outcome:
            case attempts.Finished():
                outliers.note_outcome(instance, False, now)
                outliers.note_pace(instance, self._measure_pace(started_at, now), now)
            case attempts.Failed(failure=failure, at_fault=at_fault):
                if not at_fault and failure is not retries.Failure.MISDIRECTED:
                    outliers.note_outcome(instance, True, now)

    def _measure_pace(self, started_at: float, now: float) -> float:
        return (now - started_at) / max(1.0, self._wanted.cost)

    def _follow(self, instance: str, failed: attempts.Failed) -> None:
        """Decides what follows a failed attempt."""
        failure = failed.failure
        self._excluded |= {instance}
        if failure is retries.Failure.MISDIRECTED:
            self._note_displaced(instance)
        self._history = retries.AttemptHistory(
            self._history.deliveries + failure.was_delivered,
            self._history.attempts + failure.reached_intended_endpoint,
            self._history.runs + (not failure.proves_not_run),
            self._relay.begun,
            self._history.requeues + (not failure.reached_intended_endpoint),
        )
        now = self._now()
        budget = self._fleet.get_budget(self._service.name)
        decision = retries.decide_retry(
            self._route,
            failure,
            self._history,
            budget.count_remaining(self._fleet.count_entries(now), now),
            self._deadline_at - now,
        )
        match decision:
            case retries.Retry(charged):
                if charged:
                    budget.try_spend(self._fleet.count_entries(now), now)
                self._tools.meters.count("repeats", failure.value)
                self._tools.journal.record(
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

    def _note_displaced(self, instance: str) -> None:
        """Forgets an endpoint whose address another one has taken."""
        found = self._fleet.endpoints.remove_displaced(instance)
        if found is not None:
            crashreports.note_transition(
                self._fleet, self._tools.journal, found, self._request_id
            )

    def _pass_on(self, failed: attempts.Failed) -> None:
        """Hands the endpoint's own failure to the caller."""
        held = failed.held
        assert held is not None
        if held.head.status in attempts.PROMISES and not self._route.retryable:
            self._fail(502, f"{failed.detail} without a word that it was not run")
            return
        relays.write_head(self._answer, held.head, len(held.body))
        self._answer.write(held.body)
        self._answer.finish()
        self._log("failure passed on", held.head.status, failed.detail)

    def _quarantine(self, guilt: records.Quarantined) -> None:
        """Refuses a request that has crashed the endpoints that ran it."""
        self._tools.journal.record(
            catalogue.REQUEST_QUARANTINED,
            self._request_id,
            fingerprint=f"{self._fingerprint:016x}",
            lost=[loss.instance for loss in guilt.losses],
        )
        self._reject("endpoints crashed while it ran", guilt.retry_after_s)

    def _end_at_deadline(self) -> None:
        sent = self._attempt is not None and self._attempt.sent
        if self._relay.begun:
            self._abort("its time is over")
        elif sent or self._history.runs:
            self._fail(504, "its time is over")
        else:
            self._reject("its time is over", None)

    def _reject(self, reason: str, retry_after_s: float | None) -> None:
        if self._relay.begun:
            self._abort(reason)
            return
        if self._history.runs:
            self._fail(502, reason)
            return
        if retry_after_s is None:
            retry_after_s = DEFAULT_RETRY_S
        problem = refusals.Problem(503, "dispatch", reason, retry_after_s)
        self._send(problem, "rejected")

    def _fail(self, status: int, detail: str) -> None:
        self._send(refusals.Problem(status, "forward", detail), "failed")

    def _abort(self, detail: str) -> None:
        self._answer.abort()
        self._log("broken off", 0, detail)

    def _send(self, problem: refusals.Problem, outcome: str) -> None:
        refusals.send_problem(
            self._answer, self._tools.dialect, self._facts.attempt_id, problem
        )
        self._log(outcome, problem.status, problem.detail)

    def _log(self, outcome: str, status: int, detail: str) -> None:
        now = self._now()
        self._tools.meters.count("requests", outcome)
        self._tools.journal.record(
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
            first_s=None if self._first_s is None else round(self._first_s, 3),
            longest_pause_s=round(self._longest_pause_s, 3),
            elapsed_s=round(now - self._arrived_at, 3),
            left_s=round(self._deadline_at - now, 3),
            attempts=self._trail,
        )

    def _describe(self) -> queueing.PendingRequest:
        return queueing.PendingRequest(
            self._request_id,
            self._routed.workspace,
            self._routed.priority,
            self._route.priority,
            self._expect(),
            self._arrived_at + self._route.objective_s,
            abandonment.compute_abandon_at(
                self._route, self._heard_at or self._arrived_at, self._deadline_at
            ),
            self._arrived_at,
            self._excluded,
        )

    def _expect(self) -> demand.Demand:
        """Returns the request's demand with the delay that others have seen."""
        dispatcher = self._fleet.get_dispatcher(self._service.name)
        first_s = max(self._wanted.first_part_s, dispatcher.predict_first_part_s())
        return dataclasses.replace(self._wanted, first_part_s=first_s)

    def _create_relay(self) -> relays.Relay:
        if self._route.kind is not configuration.RouteKind.STREAM:
            return relays.BodyRelay(self._answer)
        last_id = self._request.head.find(b"last-event-id")
        return relays.EventRelay(self._answer, last_id)

    def _note_progress(self, pause_s: float) -> None:
        """Takes a part of the answer, `pause_s` seconds after the one before it."""
        now = self._now()
        if self._heard_at is None:
            self._first_s = now - self._arrived_at
            dispatcher = self._fleet.get_dispatcher(self._service.name)
            dispatcher.record_first_part(now - self._started_at)
        else:
            pause = now - self._heard_at
            self._longest_pause_s = max(self._longest_pause_s, pause)
        self._heard_at = now
        self._fleet.progress_at[self._service.name] = now
        if pause_s and self._route.max_gap_s:
            dispatcher = self._fleet.get_dispatcher(self._service.name)
            dispatcher.record_gap(self._service, pause_s, self._route.max_gap_s, now)

    def _limit_silence(self, attempt: attempts.Attempt) -> float:
        now = self._now()
        return stalls.compute_stall_timeout(
            self._route,
            attempt.first_at is not None,
            now - attempt.heard_at,
            now - self._fleet.progress_at[self._service.name],
        )

    def _now(self) -> float:
        return self._fleet.clock.read()
