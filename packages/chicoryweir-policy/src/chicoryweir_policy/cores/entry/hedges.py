"""Hedges slow urgent requests with a second attempt, until either attempt answers."""

from __future__ import annotations

import typing

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import dispatch
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.retries import budget
from chicoryweir_policy.retries import hedging
from chicoryweir_policy.routing import selection

_MIN_SERVER_ERROR_STATUS = 500
_URGENT = requests.PriorityClass.URGENT

AttemptMessage = (
    messages.AttemptChunk
    | messages.AttemptHead
    | messages.AttemptStarted
    | messages.AttemptFinished
    | messages.AttemptRejected
    | messages.AttemptFailed
)


class Hedger:
    """Starts hedges and decides which of the two attempts continues."""

    def __init__(
        self, state: entry_state.EntryState, dispatcher: dispatch.Dispatcher
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._budget: budget.Budget | None = None

    def credit_hedge_budget(
        self, active: active_requests.ActiveRequest, now: float
    ) -> None:
        """Credits the hedge budget for an admitted request that may be hedged."""
        if active.is_idempotent and active.request.priority is _URGENT:
            self._get_budget(now).record_request(hedging.HEDGE_RATIO)

    def _get_budget(self, now: float) -> budget.Budget:
        if self._budget is None:
            self._budget = budget.make_budget(now)
        return self._budget

    def run_hedges(self, now: float, out: entry_state.Commands) -> None:
        """Starts the hedges that are due."""
        for active in self._state.requests.pop_hedges(now):
            attempt = active.attempt
            ended = active.expired or active.abandoned or active.hedged
            if attempt is None or ended or now >= active.request.deadline_at:
                continue
            decided = hedging.decide_hedge(
                active.request,
                self._make_progress(active, attempt, now),
                _get_hedge_delay_s(active),
                self._get_budget(now),
                now,
            )
            match decided:
                case hedging.HedgeNow():
                    self._hedge(active, attempt, now, out)
                case hedging.HedgeLater(at):
                    self._state.requests.set_hedge(active.request.request_id, at)
                case hedging.NoHedge():
                    pass
                case _:
                    typing.assert_never(decided)

    def _make_progress(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        now: float,
    ) -> hedging.Progress:
        verdict = self._state.suspicions.tracker.get_verdict(
            active.request.fingerprint, now
        )
        return hedging.Progress(
            sent_at=attempt.sent_at,
            open_attempts=len(active.list_attempts()),
            answer_begun=active.answer_begun
            or attempt.answering
            or _is_failing(attempt),
            suspect=active.suspect or not isinstance(verdict, records.Unsuspected),
        )

    def _hedge(
        self,
        active: active_requests.ActiveRequest,
        first: active_requests.Attempt,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        state = self._state
        request_id = active.request.request_id
        selected = state.selector.select_endpoint(
            active.request,
            state.loads,
            frozenset((*active.excluded, first.instance)),
            state.config.data_centre,
            now,
            spill_wait_s=active.effective.spill_wait_ms / 1000.0,
        )
        if not isinstance(selected, selection.Selected):
            return
        link = state.agent_links.get(selected.instance)
        if link is None:
            return
        active.hedged = True
        state.attempts_created += 1
        attempt_id = f"{state.config.incarnation}-{state.attempts_created}"
        detail = f"to {selected.instance}, as {first.instance} has not answered"
        state.request_log.add_note(request_id, now, "hedge", detail)
        hedge = active_requests.Attempt(attempt_id, selected.instance, link.session_id)
        self._dispatcher.submit(active, hedge, now, out)

    def handle_message(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        message: AttemptMessage,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Handles a message of an attempt that may compete with another one.

        Returns:
            Whether the caller must handle the message, as for a single attempt. If
            not, both attempts continue, or this one was removed.
        """
        if isinstance(message, messages.AttemptChunk | messages.AttemptFinished):
            attempt.answering = True
        if active.hedge is None:
            return True
        match message:
            case messages.AttemptStarted():
                return True
            case messages.AttemptHead(status=status) if (
                status >= _MIN_SERVER_ERROR_STATUS
            ):
                self._dispatcher.cancel_attempt(attempt, out)
                self._fail_attempt(active, attempt, now, f"answered {status}")
                return False
            case messages.AttemptHead():
                # Engines send the head of a stream before its first token.
                attempt.head = message
                attempt.started = True
                return False
            case messages.AttemptChunk() | messages.AttemptFinished():
                self._cancel_other(active, attempt, now, out)
                return True
            case messages.AttemptRejected():
                self._remove_attempt(
                    active, attempt, now, f"refused: {message.reason.value}"
                )
                return False
            case messages.AttemptFailed():
                self._fail_attempt(
                    active, attempt, now, f"failed: {message.kind.value}"
                )
                return False
            case _:
                typing.assert_never(message)

    def handle_link_closed(self, session_id: str, now: float) -> None:
        """Removes attempts on a closed link whose request has another attempt."""
        for active in self._state.requests.list_by_session(session_id):
            attempt = active.find_attempt_on(session_id)
            if attempt is not None and active.hedge is not None:
                active.may_have_run = True
                self._remove_attempt(active, attempt, now, "link closed")

    def _cancel_other(
        self,
        active: active_requests.ActiveRequest,
        chosen: active_requests.Attempt,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Cancels the other attempt once the answer of this one has begun."""
        for attempt in active.list_attempts():
            if attempt is not chosen:
                active.may_have_run = True
                self._dispatcher.cancel_attempt(attempt, out)
                self._dispatcher.remove_attempt(active, attempt)
                detail = f"{chosen.instance} answered, {attempt.instance} cancelled"
                self._state.request_log.add_note(
                    active.request.request_id, now, "hedge", detail
                )

    def _fail_attempt(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        now: float,
        detail: str,
    ) -> None:
        active.may_have_run = True
        if not active.expired:
            self._state.outlier_detector.record_outcome(attempt.instance, True, now)
        self._remove_attempt(active, attempt, now, detail)

    def _remove_attempt(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        now: float,
        detail: str,
    ) -> None:
        """Removes one of two attempts; the other one continues."""
        active.excluded.add(attempt.instance)
        self._dispatcher.remove_attempt(active, attempt)
        detail = f"{attempt.instance} {detail}; the other attempt goes on"
        self._state.request_log.add_note(
            active.request.request_id, now, "hedge", detail
        )


def _is_failing(attempt: active_requests.Attempt) -> bool:
    return attempt.head is not None and attempt.head.status >= _MIN_SERVER_ERROR_STATUS


def _get_hedge_delay_s(active: active_requests.ActiveRequest) -> float | None:
    hedge_after_ms = active.effective.hedge_after_ms
    return None if hedge_after_ms is None else hedge_after_ms / 1000.0
