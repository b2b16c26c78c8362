"""Routes requests to endpoints, submits their attempts and retries failed ones."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import claims
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.cores.entry import suspicion_check
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.retries import budget
from chicoryweir_policy.retries import decision
from chicoryweir_policy.retries import failures
from chicoryweir_policy.routing import selection

STALL_TIMEOUT_S = 5.0
OVERLOAD_REASONS = frozenset(
    {
        messages.RejectReason.QUEUE_FULL,
        messages.RejectReason.INFEASIBLE,
        messages.RejectReason.EXPIRED,
    }
)


class Dispatcher:
    """Selects endpoints, submits attempts and handles their failures."""

    def __init__(
        self, state: entry_state.EntryState, claim_writer: claims.ClaimWriter
    ) -> None:
        self._state = state
        self._claim_writer = claim_writer
        self._budget = budget.make_budget(0.0)

    def credit_retry_budget(self, active: active_requests.ActiveRequest) -> None:
        """Credits the retry budget for an admitted request."""
        self._budget.record_request(active.effective.retry_ratio)

    def route(
        self,
        active: active_requests.ActiveRequest,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Selects an endpoint and starts an attempt there.

        If the content may not be sent now or no endpoint can accept it, schedules
        another routing or ends the request.
        """
        state = self._state
        if not self._may_send(active, now, out):
            return
        selected = state.selector.select_endpoint(
            active.request,
            state.loads,
            active.lost_on if active.suspect else frozenset(active.excluded),
            state.config.data_centre,
            now,
            suspect=active.suspect,
            spill_wait_s=active.effective.spill_wait_ms / 1000.0,
        )
        match selected:
            case selection.NoneAvailable():
                self._handle_no_endpoint(active, selected, now, out)
            case selection.Selected():
                detail = (
                    f"to {selected.instance}, predicted wait {selected.wait_s:.3f} s,"
                    f" cached blocks {selected.cached_blocks}"
                )
                state.request_log.add_note(
                    active.request.request_id, now, "routing", detail
                )
                self._create_attempt(active, selected.instance, now, out)
            case _:
                typing.assert_never(selected)

    def _may_send(
        self,
        active: active_requests.ActiveRequest,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Returns whether the content may be sent now; else delays or rejects it."""
        decided = suspicion_check.check_suspicion(self._state, active, now)
        request_id = active.request.request_id
        match decided:
            case suspicion_check.Allowed():
                return True
            case suspicion_check.Delayed(until):
                self._state.requests.set_retry(request_id, until)
            case suspicion_check.Rejected(problem):
                event_number = catalogue.REQUEST_QUARANTINED
                detail = f"{active.request.fingerprint:016x}"
                out.append(
                    commands.LogEvent(event_number, request_id, problem.peer, detail)
                )
                self._claim_writer.release(active, out)
                self._state.end_with_problem(active, problem, now, out)
            case _:
                typing.assert_never(decided)
        return False

    def _handle_no_endpoint(
        self,
        active: active_requests.ActiveRequest,
        unavailable: selection.NoneAvailable,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        is_evacuated = unavailable.reason is selection.Reason.EVACUATED
        may_wait = active.suspect and unavailable.retry_after_ms is not None
        if is_evacuated:
            # An evacuation lasts longer than a deadline.
            may_wait = False
        elif unavailable.reason is selection.Reason.EXCLUDED:
            may_wait = active.attempt_count < active.effective.max_attempts
            active.excluded.clear()
        retry_at = now + suspicion_check.RECHECK_DELAY_S
        if may_wait and retry_at < active.request.deadline_at:
            self._state.requests.set_retry(active.request.request_id, retry_at)
            return
        peer = self._state.config.instance
        service = active.request.service
        retry_after_ms = unavailable.retry_after_ms or problems.DEFAULT_RETRY_AFTER_MS
        if is_evacuated:
            problem = problems.make_evacuated(
                peer, service, active.outcome, retry_after_ms
            )
        else:
            reason = f"no endpoint of {service} can take it: {unavailable.reason.value}"
            problem = problems.make_no_endpoint(
                peer, reason, active.outcome, retry_after_ms
            )
        self._claim_writer.release(active, out)
        self._state.end_with_problem(active, problem, now, out)

    def _create_attempt(
        self,
        active: active_requests.ActiveRequest,
        instance: str,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        link = self._state.agent_links.get(instance)
        if link is None:
            active.excluded.add(instance)
            self.route(active, now, out)
            return
        self._state.attempts_created += 1
        attempt_id = f"{self._state.config.incarnation}-{self._state.attempts_created}"
        attempt = active_requests.Attempt(attempt_id, instance, link.session_id)
        active.attempt_count += 1
        if active.request.idempotency is requests.Idempotency.AT_MOST_ONCE:
            self._claim_writer.claim(active, attempt, link, out)
            return
        self.submit(active, attempt, now, out)

    def submit_claimed(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Submits an attempt whose claim is held, or selects another endpoint.

        The place of the selected endpoint may have been evacuated while the claim was
        written. That attempt was not sent, so it isn't counted.
        """
        view = self._state.loads.get_view(attempt.instance)
        if view is not None and view.evacuated:
            active.attempt_count -= 1
            self.route(active, now, out)
            return
        self.submit(active, attempt, now, out)

    def submit(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Submits an attempt to its agent, or retries if the link was replaced."""
        link = self._state.agent_links.get(attempt.instance)
        if link is None or link.session_id != attempt.session_id:
            stale = messages.RejectReason.STALE_SESSION
            self.retry(active, failures.NotStarted(attempt.instance, stale), now, out)
            return
        request = active.request
        link.last_sequence += 1
        submit = messages.SubmitAttempt(
            attempt_id=attempt.attempt_id,
            sequence=link.last_sequence,
            session=attempt.session_id,
            request_id=request.request_id,
            workspace=request.workspace,
            model=request.model,
            priority=request.priority,
            deadline_in_s=max(0.0, request.deadline_at - now),
            idempotency=request.idempotency,
            idempotency_key=request.idempotency_key,
            mode=request.mode,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            fingerprint=request.fingerprint,
            cost_tokens=request.cost_tokens,
            prompt_tokens=request.prompt_tokens,
            resume_from=active.events_delivered,
            suspect=active.suspect,
        )
        attempt.sent_at = now
        self._state.requests.add_attempt(active, attempt)
        self._state.loads.record_sent(
            attempt.instance,
            attempt.attempt_id,
            link.last_sequence,
            request.cost_tokens,
            request.priority,
        )
        self._state.prefixes.record_sent(attempt.instance, request.prefix_blocks)
        self._state.send(link, submit, out)
        hedge_after_ms = active.effective.hedge_after_ms
        if hedge_after_ms is not None and not active.hedged:
            due = now + hedge_after_ms / 1000.0
            self._state.requests.set_hedge(request.request_id, due)

    def handle_rejected(
        self,
        active: active_requests.ActiveRequest,
        message: messages.AttemptRejected,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Handles an attempt that its agent rejected before the endpoint ran it."""
        attempt = self.remove_current_attempt(active)
        if attempt is None:
            return
        detail = f"{attempt.instance} refused it: {message.reason.value}"
        self._state.request_log.add_note(
            active.request.request_id, now, "dispatch", detail
        )
        if active.abandoned:
            self.discard(active, now, out)
            return
        if active.expired or message.reason is messages.RejectReason.EXPIRED:
            self.expire(active, attempt.instance, now, out)
            return
        if message.reason in OVERLOAD_REASONS:
            self._state.throttle.record_outcome(
                active.request.workspace, active.request.priority, False, now
            )
        failure = failures.NotStarted(
            attempt.instance, message.reason, message.retry_after_ms
        )
        self.retry(active, failure, now, out)

    def handle_failed(
        self,
        active: active_requests.ActiveRequest,
        message: messages.AttemptFailed,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Handles an attempt that failed after it was sent to its endpoint."""
        attempt = self.remove_current_attempt(active)
        if attempt is None:
            return
        active.may_have_run = True
        if active.expired:
            self.expire(active, attempt.instance, now, out)
            return
        self._state.outlier_detector.record_outcome(attempt.instance, True, now)
        failure = failures.Failed(attempt.instance, message.kind, message.detail)
        self.retry(active, failure, now, out)

    def handle_link_closed(
        self, session_id: str, now: float, out: entry_state.Commands
    ) -> None:
        """Retries the attempts on a closed link; their outcome is unknown."""
        for active in self._state.requests.list_by_session(session_id):
            attempt = self.remove_current_attempt(active)
            if attempt is not None:
                active.may_have_run = True
                self.retry(active, failures.Lost(attempt.instance), now, out)

    def retry(
        self,
        active: active_requests.ActiveRequest,
        failure: failures.Failure,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Schedules a retry if one is useful and allowed, or ends the request."""
        active.answer_body.clear()
        active.answer_bytes = 0
        if active.abandoned:
            self.discard(active, now, out)
            return
        decided = decision.decide_retry(
            _extend_deadline(active, now),
            failure,
            self._make_history(active, now),
            decision.RetryLimits(
                active.effective.max_attempts, active.effective.quarantine_losses
            ),
            self._budget,
            now,
        )
        match decided:
            case decision.Retry(after_s, excluded, may_have_run):
                active.excluded = set(excluded)
                active.may_have_run = may_have_run
                request_id = active.request.request_id
                self._state.requests.set_retry(request_id, now + after_s)
                resumes = active.events_delivered > 0
                event_number = (
                    catalogue.REQUEST_RESUMED if resumes else catalogue.REQUEST_RETRIED
                )
                record = commands.LogEvent(
                    event_number, request_id, failure.instance, type(failure).__name__
                )
                out.append(record)
            case decision.Fail(problem):
                self._claim_writer.release(active, out)
                self._state.end_with_problem(active, problem, now, out)
            case _:
                typing.assert_never(decided)

    def _make_history(
        self, active: active_requests.ActiveRequest, now: float
    ) -> decision.AttemptHistory:
        fingerprint = active.request.fingerprint
        verdict = self._state.suspicions.tracker.get_verdict(fingerprint, now)
        losses = 0
        if isinstance(verdict, records.Quarantined):
            losses = len(verdict.losses)
        return decision.AttemptHistory(
            active.attempt_count,
            frozenset(active.excluded),
            active.may_have_run,
            losses,
        )

    def run_retries(self, now: float, out: entry_state.Commands) -> None:
        """Routes the requests whose retry is due."""
        for active in self._state.requests.pop_retries(now):
            if active.attempt is None and not active.expired:
                self.route(active, now, out)

    def discard(
        self,
        active: active_requests.ActiveRequest,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Discards a request whose caller has disconnected."""
        self._claim_writer.release(active, out)
        self._state.requests.remove(active)
        self._state.release_limit(active, now)

    def expire(
        self,
        active: active_requests.ActiveRequest,
        peer: str,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Ends a request whose deadline has passed."""
        problem = problems.make_deadline_passed(peer, active.outcome)
        self.remove_all_attempts(active)
        self._claim_writer.release(active, out)
        self._state.end_with_problem(active, problem, now, out)

    def cancel(
        self, active: active_requests.ActiveRequest, out: entry_state.Commands
    ) -> None:
        """Cancels all attempts of a request at their agents."""
        for attempt in active.list_attempts():
            self.cancel_attempt(attempt, out)

    def cancel_attempt(
        self, attempt: active_requests.Attempt, out: entry_state.Commands
    ) -> None:
        """Cancels an attempt at its agent."""
        link = self._state.agent_links.get(attempt.instance)
        if link is not None and link.session_id == attempt.session_id:
            cancel = messages.CancelAttempt(attempt.attempt_id)
            self._state.send(link, cancel, out)

    def abort(
        self,
        active: active_requests.ActiveRequest,
        problem: outcomes.Problem,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Cancels the attempts in progress and ends the request with a problem."""
        self.cancel(active, out)
        self.remove_current_attempt(active)
        self._state.end_with_problem(active, problem, now, out)

    def remove_current_attempt(
        self, active: active_requests.ActiveRequest
    ) -> active_requests.Attempt | None:
        """Removes the attempt in progress from the request and the load estimates."""
        attempt = active.attempt
        if attempt is not None:
            self.remove_attempt(active, attempt)
        return attempt

    def remove_attempt(
        self, active: active_requests.ActiveRequest, attempt: active_requests.Attempt
    ) -> None:
        """Removes an attempt from the request and the load estimates."""
        self._state.requests.remove_attempt(active, attempt)
        self._state.loads.record_finished(attempt.instance, attempt.attempt_id)

    def remove_all_attempts(self, active: active_requests.ActiveRequest) -> None:
        """Removes all attempts from the request and the load estimates."""
        for attempt in active.list_attempts():
            self.remove_attempt(active, attempt)


def _extend_deadline(
    active: active_requests.ActiveRequest, now: float
) -> requests.Request:
    """Returns the request, with a later deadline if its answer has begun.

    An answer that has begun may continue past the deadline.
    """
    if not active.answer_begun:
        return active.request
    deadline_at = max(active.request.deadline_at, now + STALL_TIMEOUT_S)
    return dataclasses.replace(active.request, deadline_at=deadline_at)
