"""Routes requests, submits attempts, and tries again what may be tried again."""

from __future__ import annotations

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
from chicoryweir_policy.routing import selection

RETRY_BASE_S = 0.02
RETRY_MAX_S = 0.5
EXPIRY_GRACE_S = 0.05
STALL_TIMEOUT_S = 5.0
REROUTED = frozenset(
    {
        messages.RejectReason.LEAVING,
        messages.RejectReason.ENDPOINT_DOWN,
        messages.RejectReason.STALE_SESSION,
        messages.RejectReason.SUSPECT,
        messages.RejectReason.QUEUE_FULL,
    }
)


class Dispatcher:
    """Brings requests to endpoints."""

    def __init__(
        self, state: entry_state.EntryState, claimer: claiming.Claimer
    ) -> None:
        self._state = state
        self._claimer = claimer

    def route(self, live: lives.Live, now: float, out: entry_state.Commands) -> None:
        """Selects an endpoint and submits, or claims first, or gives up."""
        state = self._state
        selected = state.selector.select_endpoint(
            live.request,
            state.loads,
            frozenset(live.excluded),
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

    def _give_up_routing(
        self,
        live: lives.Live,
        none: selection.NoneAvailable,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if none.reason is selection.Reason.EXCLUDED and live.excluded:
            live.excluded.clear()
            if self._schedule_retry(live, now):
                return
        outcome = outcomes.Outcome.NOT_RUN
        if live.may_have_run:
            outcome = outcomes.Outcome.UNKNOWN
        problem = problems.make_no_endpoint(
            self._state.facts.instance,
            f"no endpoint of {live.request.service} can take it: {none.reason.value}",
            outcome,
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
            self.retry(live, dispatch.instance, "link changed", now, out)
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
            self._claimer.release(live, out)
            self._state.requests.remove(live)
            return
        if live.expired or message.reason is messages.RejectReason.EXPIRED:
            self._expire(live, dispatch.instance, now, out)
            return
        if message.reason in REROUTED:
            self.retry(live, dispatch.instance, detail, now, out)
            return
        problem = problems.make_gave_up(
            dispatch.instance,
            detail,
            self._conclude(live),
            max(message.retry_after_ms, problems.CLAIM_RETRY_MS),
        )
        self._claimer.release(live, out)
        self._state.refuse(live, problem, now, out)

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
        if message.kind is messages.FailureKind.ENDPOINT_LOST:
            live.suspect = True
        if live.expired:
            self._expire(live, dispatch.instance, now, out)
            return
        detail = f"{message.kind.value}: {message.detail}"
        self.recover(live, dispatch.instance, detail, now, out)

    def consume_link_closed(
        self, session: str, now: float, out: entry_state.Commands
    ) -> None:
        """A link closed with attempts on it whose end is not known."""
        for live in self._state.requests.list_session(session):
            dispatch = self.detach(live)
            if dispatch is not None:
                live.may_have_run = True
                self.recover(live, dispatch.instance, "link closed", now, out)

    def recover(
        self,
        live: lives.Live,
        instance: str,
        detail: str,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Tries an idempotent request again; ends any other as unknown."""
        if live.is_idempotent:
            self.retry(live, instance, detail, now, out)
            return
        problem = problems.make_attempt_broken(instance, detail)
        self._state.refuse(live, problem, now, out)

    def retry(
        self,
        live: lives.Live,
        instance: str,
        detail: str,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Tries a request on another endpoint, or gives up."""
        live.body.clear()
        live.body_bytes = 0
        live.excluded.add(instance)
        if live.abandoned:
            self._claimer.release(live, out)
            self._state.requests.remove(live)
            return
        if live.attempts < live.effective.max_attempts and self._schedule_retry(
            live, now
        ):
            number = catalogue.REQUEST_RETRIED
            if live.delivered:
                number = catalogue.REQUEST_RESUMED
            request_id = live.request.request_id
            out.append(commands.Record(number, request_id, instance, detail))
            return
        problem = problems.make_gave_up(
            instance, detail, self._conclude(live), problems.CLAIM_RETRY_MS
        )
        self._claimer.release(live, out)
        self._state.refuse(live, problem, now, out)

    def _schedule_retry(self, live: lives.Live, now: float) -> bool:
        doubled = RETRY_BASE_S * 2 ** max(0, live.attempts - 1)
        at = now + min(RETRY_MAX_S, doubled)
        if at >= live.request.deadline_at and not live.begun:
            return False
        self._state.requests.set_retry(live.request.request_id, at)
        return True

    def run_retries(self, now: float, out: entry_state.Commands) -> None:
        """Routes the requests whose time to be tried again has come."""
        for live in self._state.requests.pop_retries(now):
            if live.dispatch is None and not live.expired:
                self.route(live, now, out)

    def run_deadlines(self, now: float, out: entry_state.Commands) -> None:
        """Ends the requests whose deadline passed; a begun answer goes on."""
        for live in self._state.requests.pop_due(now):
            if live.begun:
                self._check_stall(live, now, out)
                continue
            if live.abandoned:
                continue
            dispatch = live.dispatch
            if dispatch is None or live.expired or dispatch.started:
                if dispatch is not None:
                    live.may_have_run = True
                self._cancel(live, out)
                self._expire(live, self._state.facts.instance, now, out)
                continue
            live.expired = True
            self._cancel(live, out)
            self._state.requests.set_timer(
                live.request.request_id, now + EXPIRY_GRACE_S
            )

    def _check_stall(
        self, live: lives.Live, now: float, out: entry_state.Commands
    ) -> None:
        """Moves a begun answer elsewhere when nothing of it has come for long."""
        request_id = live.request.request_id
        due = live.progressed_at + STALL_TIMEOUT_S
        if now < due:
            self._state.requests.set_timer(request_id, due)
            return
        self._state.requests.set_timer(request_id, now + STALL_TIMEOUT_S)
        if live.dispatch is None:
            return
        self._cancel(live, out)
        instance = live.dispatch.instance
        self.detach(live)
        live.may_have_run = True
        self.recover(live, instance, "the answer stalled", now, out)

    def abandon(self, live: lives.Live, now: float, out: entry_state.Commands) -> None:
        """The caller is gone; what must run once runs on without it."""
        self._state.journal.note(
            live.request.request_id, now, "answer", "the caller went away"
        )
        live.abandoned = True
        if live.is_idempotent or live.dispatch is None:
            self._cancel(live, out)
            self._claimer.release(live, out)
            self._state.requests.remove(live)

    def _expire(
        self, live: lives.Live, peer: str, now: float, out: entry_state.Commands
    ) -> None:
        problem = problems.make_deadline_passed(peer, self._conclude(live))
        self._claimer.release(live, out)
        self._state.refuse(live, problem, now, out)

    def _conclude(self, live: lives.Live) -> outcomes.Outcome:
        if live.may_have_run:
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN

    def _cancel(self, live: lives.Live, out: entry_state.Commands) -> None:
        dispatch = live.dispatch
        if dispatch is None:
            return
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
        self._cancel(live, out)
        self.detach(live)
        self._state.refuse(live, problem, now, out)

    def detach(self, live: lives.Live) -> lives.Dispatch | None:
        """Takes the attempt under way off a request and off the load book."""
        dispatch = self._state.requests.detach(live)
        if dispatch is not None:
            self._state.loads.note_finished(dispatch.instance, dispatch.attempt_id)
        return dispatch
