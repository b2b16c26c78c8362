"""Brings answers to callers, whole and in order."""

from __future__ import annotations

import typing

from chicoryweir_policy import answers
from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import claiming
from chicoryweir_policy.cores.entry import dispatching
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.retries import failures

EVENT_STREAM = "text/event-stream"
_OK = 200
_SERVER_ERROR = 500


class Deliverer:
    """Takes the messages of attempts under way and answers callers."""

    def __init__(
        self,
        state: entry_state.EntryState,
        dispatcher: dispatching.Dispatcher,
        claimer: claiming.Claimer,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._claimer = claimer

    def consume_head(
        self,
        live: lives.Live,
        head: messages.AttemptHead,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """The endpoint's answer began."""
        dispatch = live.dispatch
        if dispatch is None or dispatch.head is not None:
            return
        dispatch.head = head
        dispatch.started = True
        held, dispatch.held = tuple(dispatch.held), []
        if held:
            self._pass_on(live, dispatch, held, now, out)
        if live.dispatch is dispatch:
            self._check_end(live, dispatch, now, out)

    def consume_chunk(
        self,
        live: lives.Live,
        chunk: messages.AttemptChunk,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """A piece of the answer came."""
        dispatch = live.dispatch
        if dispatch is None:
            return
        ready = dispatch.assembler.accept_chunk(chunk)
        if dispatch.head is None:
            dispatch.held.extend(ready)
            return
        self._pass_on(live, dispatch, ready, now, out)
        if live.dispatch is dispatch:
            self._check_end(live, dispatch, now, out)

    def consume_finished(
        self,
        live: lives.Live,
        finished: messages.AttemptFinished,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """The agent sent the whole answer."""
        dispatch = live.dispatch
        if dispatch is None:
            return
        dispatch.assembler.accept_finish(finished)
        self._check_end(live, dispatch, now, out)

    def _pass_on(
        self,
        live: lives.Live,
        dispatch: lives.Dispatch,
        payloads: tuple[bytes, ...],
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if not payloads:
            return
        if self._is_stream(dispatch):
            if live.expired:
                return
            self._stream(live, payloads, now, out)
            return
        live.body.extend(payloads)
        live.body_bytes += sum(map(len, payloads))
        if live.body_bytes > live.effective.max_answer_bytes:
            self._dispatcher.abort(
                live, problems.make_too_large(dispatch.instance), now, out
            )

    def _is_stream(self, dispatch: lives.Dispatch) -> bool:
        head = dispatch.head
        return head is not None and head.mode is requests.AnswerMode.EVENTS

    def _stream(
        self,
        live: lives.Live,
        payloads: tuple[bytes, ...],
        now: float,
        out: entry_state.Commands,
    ) -> None:
        request_id = live.request.request_id
        if not live.begun:
            live.begun = True
            self._state.requests.set_timer(
                request_id, now + dispatching.STALL_TIMEOUT_S
            )
            self._state.journal.add_note(request_id, now, "answer", "first event")
            if not live.abandoned:
                out.append(commands.BeginAnswer(request_id, _OK, EVENT_STREAM))
        live.progressed_at = now
        live.delivered += len(payloads)
        self._state.relayed += len(payloads)
        if not live.abandoned:
            out.append(commands.SendAnswer(request_id, payloads))

    def _check_end(
        self,
        live: lives.Live,
        dispatch: lives.Dispatch,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if live.expired and self._is_stream(dispatch):
            return
        progress = dispatch.assembler.measure_progress()
        match progress:
            case answers.Incomplete():
                return
            case answers.Corrupt():
                self._reject_corrupt(live, dispatch, progress.detail, now, out)
            case answers.Complete():
                if dispatch.head is not None:
                    self._complete(live, dispatch, dispatch.head, now, out)
            case _:
                typing.assert_never(progress)

    def _reject_corrupt(
        self,
        live: lives.Live,
        dispatch: lives.Dispatch,
        detail: str,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        request_id = live.request.request_id
        out.append(
            commands.Record(
                catalogue.ANSWER_CORRUPT, request_id, dispatch.instance, detail
            )
        )
        self._dispatcher.detach(live)
        live.may_have_run = True
        if live.begun:
            problem = problems.make_attempt_broken(dispatch.instance, detail)
            self._state.refuse(live, problem, now, out)
            return
        kind = messages.FailureKind.ENDPOINT_ERROR
        failure = failures.Failed(dispatch.instance, kind, detail)
        self._dispatcher.retry(live, failure, now, out)

    def _complete(
        self,
        live: lives.Live,
        dispatch: lives.Dispatch,
        head: messages.AttemptHead,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        failed = head.status >= _SERVER_ERROR and live.is_idempotent
        if live.begun and not self._is_stream(dispatch):
            failed = True
        if failed and (live.begun or live.attempts < live.effective.max_attempts):
            self._dispatcher.detach(live)
            live.may_have_run = True
            kind = messages.FailureKind.ENDPOINT_ERROR
            detail = f"endpoint answered {head.status}"
            failure = failures.Failed(dispatch.instance, kind, detail)
            self._dispatcher.retry(live, failure, now, out)
            return
        self._dispatcher.detach(live)
        self._state.detector.note_outcome(dispatch.instance, False, now)
        self._claimer.close(live, dispatch)
        self._state.suspicions.tracker.record_finished(live.request.fingerprint, now)
        request_id = live.request.request_id
        self._state.journal.add_note(
            request_id, now, "answer", f"whole, status {head.status}"
        )
        self._state.requests.remove(live)
        self._state.end_limited(live, now)
        if live.abandoned:
            return
        if not live.begun:
            out.append(commands.BeginAnswer(request_id, head.status, head.content_type))
            if live.body:
                out.append(commands.SendAnswer(request_id, tuple(live.body)))
        out.append(commands.EndAnswer(request_id))
