"""Runs hedges: a second attempt of a slow urgent request, until either answers."""

from __future__ import annotations

import typing

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.cores.entry import dispatching
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.quarantine import records
from chicoryweir_policy.retries import budget
from chicoryweir_policy.retries import hedging
from chicoryweir_policy.routing import selection

_SERVER_ERROR = 500
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
    """Starts hedges, and settles which attempt goes on."""

    def __init__(
        self, state: entry_state.EntryState, dispatcher: dispatching.Dispatcher
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._budget: budget.Budget | None = None

    def note_request(self, live: lives.Live, now: float) -> None:
        """A request was admitted; one that may be hedged earns a part of a hedge."""
        if live.is_idempotent and live.request.priority is _URGENT:
            self._get_budget(now).record_request(hedging.HEDGE_RATIO)

    def _get_budget(self, now: float) -> budget.Budget:
        if self._budget is None:
            self._budget = budget.make_budget(now)
        return self._budget

    def run_hedges(self, now: float, out: entry_state.Commands) -> None:
        """Hedges the requests whose time to be hedged has come."""
        for live in self._state.requests.pop_hedges(now):
            dispatch = live.dispatch
            ended = live.expired or live.abandoned or live.hedged
            if dispatch is None or ended or now >= live.request.deadline_at:
                continue
            decided = hedging.decide_hedge(
                live.request,
                self._describe_progress(live, dispatch, now),
                _compute_delay(live),
                self._get_budget(now),
                now,
            )
            match decided:
                case hedging.HedgeNow():
                    self._hedge(live, dispatch, now, out)
                case hedging.HedgeLater(at):
                    self._state.requests.set_hedge(live.request.request_id, at)
                case hedging.NoHedge():
                    pass
                case _:
                    typing.assert_never(decided)

    def _describe_progress(
        self, live: lives.Live, dispatch: lives.Dispatch, now: float
    ) -> hedging.Progress:
        verdict = self._state.suspicions.book.get_verdict(live.request.fingerprint, now)
        return hedging.Progress(
            sent_at=dispatch.sent_at,
            attempts_open=len(live.list_dispatches()),
            answer_begun=live.begun or dispatch.answering or _is_failing(dispatch),
            suspect=live.suspect or not isinstance(verdict, records.Unsuspected),
        )

    def _hedge(
        self,
        live: lives.Live,
        first: lives.Dispatch,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        state = self._state
        request_id = live.request.request_id
        selected = state.selector.select_endpoint(
            live.request,
            state.loads,
            frozenset((*live.excluded, first.instance)),
            state.facts.place,
            now,
            spill_wait_s=live.effective.spill_wait_ms / 1000.0,
        )
        if not isinstance(selected, selection.Selected):
            return
        link = state.agents.get(selected.instance)
        if link is None:
            return
        live.hedged = True
        state.attempts_made += 1
        attempt_id = f"{state.facts.incarnation}-{state.attempts_made}"
        detail = f"to {selected.instance}, as {first.instance} has not answered"
        state.journal.note(request_id, now, "hedge", detail)
        second = lives.Dispatch(attempt_id, selected.instance, link.session)
        self._dispatcher.submit(live, second, now, out)

    def settle(
        self,
        live: lives.Live,
        dispatch: lives.Dispatch,
        message: AttemptMessage,
        now: float,
        out: entry_state.Commands,
    ) -> bool:
        """Settles what a message of one attempt means for the other.

        Returns:
            Whether the message is still to be handled as one of the attempt under
            way; if not, both go on as they are, or only the other does.
        """
        if isinstance(message, messages.AttemptChunk | messages.AttemptFinished):
            dispatch.answering = True
        if live.second is None:
            return True
        match message:
            case messages.AttemptStarted():
                return True
            case messages.AttemptHead(status=status) if status >= _SERVER_ERROR:
                self._dispatcher.cancel_attempt(dispatch, out)
                self._lose(live, dispatch, now, f"answered {status}")
                return False
            case messages.AttemptHead():
                # Engines send the head of a stream before its first token.
                dispatch.head = message
                dispatch.started = True
                return False
            case messages.AttemptChunk() | messages.AttemptFinished():
                self._choose(live, dispatch, now, out)
                return True
            case messages.AttemptRejected():
                self._drop(live, dispatch, now, f"refused: {message.reason.value}")
                return False
            case messages.AttemptFailed():
                self._lose(live, dispatch, now, f"failed: {message.kind.value}")
                return False
            case _:
                typing.assert_never(message)

    def consume_link_closed(self, session: str, now: float) -> None:
        """A link closed; requests with an attempt elsewhere go on with that one."""
        for live in self._state.requests.list_session(session):
            dispatch = live.find_on(session)
            if dispatch is not None and live.second is not None:
                live.may_have_run = True
                self._drop(live, dispatch, now, "link closed")

    def _choose(
        self,
        live: lives.Live,
        chosen: lives.Dispatch,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Makes the attempt whose answer began the request's only one."""
        for dispatch in live.list_dispatches():
            if dispatch is not chosen:
                live.may_have_run = True
                self._dispatcher.cancel_attempt(dispatch, out)
                self._dispatcher.drop(live, dispatch)
                detail = f"{chosen.instance} answered, {dispatch.instance} cancelled"
                self._state.journal.note(live.request.request_id, now, "hedge", detail)

    def _lose(
        self, live: lives.Live, dispatch: lives.Dispatch, now: float, detail: str
    ) -> None:
        live.may_have_run = True
        if not live.expired:
            self._state.detector.note_outcome(dispatch.instance, True, now)
        self._drop(live, dispatch, now, detail)

    def _drop(
        self, live: lives.Live, dispatch: lives.Dispatch, now: float, detail: str
    ) -> None:
        """Takes one of two attempts off; the other goes on."""
        live.excluded.add(dispatch.instance)
        self._dispatcher.drop(live, dispatch)
        detail = f"{dispatch.instance} {detail}; the other attempt goes on"
        self._state.journal.note(live.request.request_id, now, "hedge", detail)


def _is_failing(dispatch: lives.Dispatch) -> bool:
    return dispatch.head is not None and dispatch.head.status >= _SERVER_ERROR


def _compute_delay(live: lives.Live) -> float | None:
    hedge_after_ms = live.effective.hedge_after_ms
    return None if hedge_after_ms is None else hedge_after_ms / 1000.0
