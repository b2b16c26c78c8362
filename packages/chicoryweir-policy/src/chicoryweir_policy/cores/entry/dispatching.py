"""Routes requests, submits attempts, and tries again what may be tried again."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import claiming
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.cores.entry import suspecting
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.retries import budget
from chicoryweir_policy.retries import decision
from chicoryweir_policy.retries import failures
from chicoryweir_policy.routing import selection

STALL_TIMEOUT_S = 5.0
OVERLOADED = frozenset(
    {
        messages.RejectReason.QUEUE_FULL,
        messages.RejectReason.INFEASIBLE,
        messages.RejectReason.EXPIRED,
    }
)


class Dispatcher:
    """Brings requests to endpoints."""

    def __init__(
        self, state: entry_state.EntryState, claimer: claiming.Claimer
    ) -> None:
        self._state = state
        self._claimer = claimer
        self._budget = budget.make_budget(0.0)

    def note_request(self, live: lives.Live) -> None:
        """A request was admitted; it earns a part of a retry."""
        self._budget.record_request(live.effective.retry_ratio)

    def route(self, live: lives.Live, now: float, out: entry_state.Commands) -> None:
        """Selects an endpoint and submits, or claims first, or gives up."""
        state = self._state
        if not self._may_send(live, now, out):
            return
        selected = state.selector.select_endpoint(
            live.request,
            state.loads,
            live.lost_on if live.suspect else frozenset(live.excluded),
            state.facts.place,
            now,
            suspect=live.suspect,
            spill_wait_s=live.effective.spill_wait_ms / 1000.0,
        )
        match selected:
            case selection.NoneAvailable():
                self._give_up_routing(live, selected, now, out)
            case selection.Selected():
                detail = (
                    f"to {selected.instance}, predicted wait {selected.wait_s:.3f} s,"
                    f" cached blocks {selected.cached_blocks}"
                )
                state.journal.note(live.request.request_id, now, "routing", detail)
                self._prepare(live, selected.instance, now, out)
            case _:
                typing.assert_never(selected)

    def _may_send(
        self, live: lives.Live, now: float, out: entry_state.Commands
    ) -> bool:
        """Tells whether the content may be sent now; refuses or delays it if not."""
        decided = suspecting.check_suspicion(self._state, live, now)
        request_id = live.request.request_id
        match decided:
            case suspecting.Free():
                return True
            case suspecting.Delayed(until):
                self._state.requests.set_retry(request_id, until)
            case suspecting.Refused(problem):
                number = catalogue.REQUEST_QUARANTINED
                detail = f"{live.request.fingerprint:016x}"
                out.append(commands.Record(number, request_id, problem.peer, detail))
                self._claimer.release(live, out)
                self._state.refuse(live, problem, now, out)
            case _:
                typing.assert_never(decided)
        return False

    def _give_up_routing(
        self,
        live: lives.Live,
        none: selection.NoneAvailable,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        may_wait = live.suspect and none.retry_after_ms is not None
        if none.reason is selection.Reason.EXCLUDED:
            may_wait = live.attempts < live.effective.max_attempts
            live.excluded.clear()
        retry_at = now + suspecting.WAIT_S
        if may_wait and retry_at < live.request.deadline_at:
            self._state.requests.set_retry(live.request.request_id, retry_at)
            return
        problem = problems.make_no_endpoint(
            self._state.facts.instance,
            f"no endpoint of {live.request.service} can take it: {none.reason.value}",
            live.outcome,
            none.retry_after_ms or problems.CLAIM_RETRY_MS,
        )
        self._claimer.release(live, out)
        self._state.refuse(live, problem, now, out)

    def _prepare(
        self, live: lives.Live, instance: str, now: float, out: entry_state.Commands
    ) -> None:
        link = self._state.agents.get(instance)
        if link is None:
            live.excluded.add(instance)
            self.route(live, now, out)
            return
        self._state.attempts_made += 1
        attempt_id = f"{self._state.facts.incarnation}-{self._state.attempts_made}"
        dispatch = lives.Dispatch(attempt_id, instance, link.session)
        live.attempts += 1
        if live.request.idempotency is requests.Idempotency.AT_MOST_ONCE:
            self._claimer.claim(live, dispatch, link, out)
            return
        self.submit(live, dispatch, now, out)

    def submit(
        self,
        live: lives.Live,
        dispatch: lives.Dispatch,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Sends an attempt to its agent, unless the link has changed since."""
        link = self._state.agents.get(dispatch.instance)
        if link is None or link.session != dispatch.session:
            stale = messages.RejectReason.STALE_SESSION
            self.retry(live, failures.NotStarted(dispatch.instance, stale), now, out)
            return
        request = live.request
        link.sequence += 1
        submit = messages.SubmitAttempt(
            attempt_id=dispatch.attempt_id,
            sequence=link.sequence,
            session=dispatch.session,
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
            resume_from=live.delivered,
            suspect=live.suspect,
        )
        dispatch.sent_at = now
        self._state.requests.attach(live, dispatch)
        self._state.loads.note_sent(
            dispatch.instance,
            dispatch.attempt_id,
            link.sequence,
            request.cost_tokens,
            request.priority,
        )
        self._state.prefixes.note_sent(dispatch.instance, request.prefix_blocks)
        self._state.send(link, submit, out)
        hedge_after_ms = live.effective.hedge_after_ms
        if hedge_after_ms is not None and not live.hedged:
            due = now + hedge_after_ms / 1000.0
            self._state.requests.set_hedge(request.request_id, due)

    def consume_rejected(
        self,
        live: lives.Live,
        message: messages.AttemptRejected,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """An agent refused an attempt, which never started."""
        dispatch = self.detach(live)
        if dispatch is None:
            return
        detail = f"{dispatch.instance} refused it: {message.reason.value}"
        self._state.journal.note(live.request.request_id, now, "dispatch", detail)
        if live.abandoned:
            self.forget(live, now, out)
            return
        if live.expired or message.reason is messages.RejectReason.EXPIRED:
            self.expire(live, dispatch.instance, now, out)
            return
        if message.reason in OVERLOADED:
            self._state.throttle.record_outcome(
                live.request.workspace, live.request.priority, False, now
            )
        failure = failures.NotStarted(
            dispatch.instance, message.reason, message.retry_after_ms
        )
        self.retry(live, failure, now, out)

    def consume_failed(
        self,
        live: lives.Live,
        message: messages.AttemptFailed,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """An attempt broke after it was sent to its endpoint."""
        dispatch = self.detach(live)
        if dispatch is None:
            return
        live.may_have_run = True
        if live.expired:
            self.expire(live, dispatch.instance, now, out)
            return
        self._state.detector.note_outcome(dispatch.instance, True, now)
        failure = failures.Failed(dispatch.instance, message.kind, message.detail)
        self.retry(live, failure, now, out)

    def consume_link_closed(
        self, session: str, now: float, out: entry_state.Commands
    ) -> None:
        """A link closed with attempts on it whose end is not known."""
        for live in self._state.requests.list_session(session):
            dispatch = self.detach(live)
            if dispatch is not None:
                live.may_have_run = True
                self.retry(live, failures.Lost(dispatch.instance), now, out)

    def retry(
        self,
        live: lives.Live,
        failure: failures.Failure,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Tries a request again where that helps and is allowed, or gives up."""
        live.body.clear()
        live.body_bytes = 0
        if live.abandoned:
            self.forget(live, now, out)
            return
        decided = decision.decide_retry(
            _extend_begun(live, now),
            failure,
            self._describe_history(live, now),
            decision.RetryLimits(
                live.effective.max_attempts, live.effective.quarantine_losses
            ),
            self._budget,
            now,
        )
        match decided:
            case decision.Retry(after_s, excluded, may_have_run):
                live.excluded = set(excluded)
                live.may_have_run = may_have_run
                request_id = live.request.request_id
                self._state.requests.set_retry(request_id, now + after_s)
                resumes = live.delivered > 0
                number = (
                    catalogue.REQUEST_RESUMED if resumes else catalogue.REQUEST_RETRIED
                )
                record = commands.Record(
                    number, request_id, failure.instance, type(failure).__name__
                )
                out.append(record)
            case decision.Fail(problem):
                self._claimer.release(live, out)
                self._state.refuse(live, problem, now, out)
            case _:
                typing.assert_never(decided)

    def _describe_history(
        self, live: lives.Live, now: float
    ) -> decision.AttemptHistory:
        fingerprint = live.request.fingerprint
        verdict = self._state.suspicions.book.get_verdict(fingerprint, now)
        losses = 0
        if isinstance(verdict, records.Quarantined):
            losses = len(verdict.losses)
        return decision.AttemptHistory(
            live.attempts, frozenset(live.excluded), live.may_have_run, losses
        )

    def run_retries(self, now: float, out: entry_state.Commands) -> None:
        """Routes the requests whose time to be tried again has come."""
        for live in self._state.requests.pop_retries(now):
            if live.dispatch is None and not live.expired:
                self.route(live, now, out)

    def forget(self, live: lives.Live, now: float, out: entry_state.Commands) -> None:
        """Drops a request that nobody waits for."""
        self._claimer.release(live, out)
        self._state.requests.remove(live)
        self._state.end_limited(live, now)

    def expire(
        self, live: lives.Live, peer: str, now: float, out: entry_state.Commands
    ) -> None:
        """Ends a request whose deadline passed."""
        problem = problems.make_deadline_passed(peer, live.outcome)
        self.detach_all(live)
        self._claimer.release(live, out)
        self._state.refuse(live, problem, now, out)

    def cancel(self, live: lives.Live, out: entry_state.Commands) -> None:
        """Tells the agents that nobody waits for a request's attempts."""
        for dispatch in live.list_dispatches():
            self.cancel_attempt(dispatch, out)

    def cancel_attempt(
        self, dispatch: lives.Dispatch, out: entry_state.Commands
    ) -> None:
        """Tells an agent that nobody waits for an attempt."""
        link = self._state.agents.get(dispatch.instance)
        if link is not None and link.session == dispatch.session:
            cancel = messages.CancelAttempt(dispatch.attempt_id)
            self._state.send(link, cancel, out)

    def abort(
        self,
        live: lives.Live,
        problem: outcomes.Problem,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Cancels the attempt under way and ends the request with a problem."""
        self.cancel(live, out)
        self.detach(live)
        self._state.refuse(live, problem, now, out)

    def detach(self, live: lives.Live) -> lives.Dispatch | None:
        """Takes the attempt under way off a request and off the load book."""
        dispatch = live.dispatch
        if dispatch is not None:
            self.drop(live, dispatch)
        return dispatch

    def drop(self, live: lives.Live, dispatch: lives.Dispatch) -> None:
        """Takes one attempt off a request and off the load book."""
        self._state.requests.drop(live, dispatch)
        self._state.loads.note_finished(dispatch.instance, dispatch.attempt_id)

    def detach_all(self, live: lives.Live) -> None:
        """Takes all attempts off a request and off the load book."""
        for dispatch in live.list_dispatches():
            self.drop(live, dispatch)


def _extend_begun(live: lives.Live, now: float) -> requests.Request:
    """Returns the request; a begun answer may go on past its deadline."""
    if not live.begun:
        return live.request
    deadline_at = max(live.request.deadline_at, now + STALL_TIMEOUT_S)
    return dataclasses.replace(live.request, deadline_at=deadline_at)
