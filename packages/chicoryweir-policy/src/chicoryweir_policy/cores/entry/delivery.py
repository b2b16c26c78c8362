"""Delivers answers to callers, complete and in order."""

from __future__ import annotations

import typing

from chicoryweir_policy import answers
from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import claims
from chicoryweir_policy.cores.entry import dispatch
from chicoryweir_policy.cores.entry import problems
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.retries import failures

EVENT_STREAM = "text/event-stream"
_OK_STATUS = 200
_MIN_SERVER_ERROR_STATUS = 500


class Deliverer:
    """Assembles the answers of attempts and sends them to callers."""

    def __init__(
        self,
        state: entry_state.EntryState,
        dispatcher: dispatch.Dispatcher,
        claim_writer: claims.ClaimWriter,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher
        self._claim_writer = claim_writer

    def handle_head(
        self,
        active: active_requests.ActiveRequest,
        head: messages.AttemptHead,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Handles the head of an answer; forwards payloads received before it."""
        attempt = active.attempt
        if attempt is None or attempt.head is not None:
            return
        attempt.head = head
        attempt.started = True
        early_payloads, attempt.early_payloads = tuple(attempt.early_payloads), []
        if early_payloads:
            self._forward(active, attempt, early_payloads, now, out)
        if active.attempt is attempt:
            self._check_end(active, attempt, now, out)

    def handle_chunk(
        self,
        active: active_requests.ActiveRequest,
        chunk: messages.AttemptChunk,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Handles a chunk of an answer."""
        attempt = active.attempt
        if attempt is None:
            return
        ready = attempt.assembler.accept_chunk(chunk)
        if attempt.head is None:
            attempt.early_payloads.extend(ready)
            return
        self._forward(active, attempt, ready, now, out)
        if active.attempt is attempt:
            self._check_end(active, attempt, now, out)

    def handle_finished(
        self,
        active: active_requests.ActiveRequest,
        finished: messages.AttemptFinished,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Handles the end of an answer; chunks may still be missing."""
        attempt = active.attempt
        if attempt is None:
            return
        attempt.assembler.accept_finish(finished)
        self._check_end(active, attempt, now, out)

    def _forward(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        payloads: tuple[bytes, ...],
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if not payloads:
            return
        if self._is_stream(attempt):
            if active.expired:
                return
            self._forward_events(active, payloads, now, out)
            return
        active.answer_body.extend(payloads)
        active.answer_bytes += sum(map(len, payloads))
        if active.answer_bytes > active.effective.max_answer_bytes:
            self._dispatcher.abort(
                active, problems.make_too_large(attempt.instance), now, out
            )

    def _is_stream(self, attempt: active_requests.Attempt) -> bool:
        head = attempt.head
        return head is not None and head.mode is requests.AnswerMode.EVENTS

    def _forward_events(
        self,
        active: active_requests.ActiveRequest,
        payloads: tuple[bytes, ...],
        now: float,
        out: entry_state.Commands,
    ) -> None:
        request_id = active.request.request_id
        if not active.answer_begun:
            active.answer_begun = True
            self._state.requests.set_timer(request_id, now + dispatch.STALL_TIMEOUT_S)
            self._state.request_log.add_note(request_id, now, "answer", "first event")
            if not active.abandoned:
                out.append(commands.BeginAnswer(request_id, _OK_STATUS, EVENT_STREAM))
        active.progressed_at = now
        active.events_delivered += len(payloads)
        self._state.events_relayed += len(payloads)
        if not active.abandoned:
            out.append(commands.SendAnswer(request_id, payloads))

    def _check_end(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        if active.expired and self._is_stream(attempt):
            return
        progress = attempt.assembler.check_completeness()
        match progress:
            case answers.Incomplete():
                return
            case answers.Corrupt():
                self._handle_corrupt(active, attempt, progress.detail, now, out)
            case answers.Complete():
                if attempt.head is not None:
                    self._complete(active, attempt, attempt.head, now, out)
            case _:
                typing.assert_never(progress)

    def _handle_corrupt(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        detail: str,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        request_id = active.request.request_id
        out.append(
            commands.LogEvent(
                catalogue.ANSWER_CORRUPT, request_id, attempt.instance, detail
            )
        )
        self._dispatcher.remove_current_attempt(active)
        active.may_have_run = True
        if active.answer_begun:
            problem = problems.make_attempt_broken(attempt.instance, detail)
            self._state.end_with_problem(active, problem, now, out)
            return
        kind = messages.FailureKind.ENDPOINT_ERROR
        failure = failures.Failed(attempt.instance, kind, detail)
        self._dispatcher.retry(active, failure, now, out)

    def _complete(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        head: messages.AttemptHead,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        failed = head.status >= _MIN_SERVER_ERROR_STATUS and active.is_idempotent
        if active.answer_begun and not self._is_stream(attempt):
            failed = True
        if failed and (
            active.answer_begun or active.attempt_count < active.effective.max_attempts
        ):
            self._dispatcher.remove_current_attempt(active)
            active.may_have_run = True
            kind = messages.FailureKind.ENDPOINT_ERROR
            detail = f"endpoint answered {head.status}"
            failure = failures.Failed(attempt.instance, kind, detail)
            self._dispatcher.retry(active, failure, now, out)
            return
        self._dispatcher.remove_current_attempt(active)
        self._state.outlier_detector.record_outcome(attempt.instance, False, now)
        self._claim_writer.mark_done(active, attempt)
        self._state.suspicions.tracker.record_finished(active.request.fingerprint, now)
        request_id = active.request.request_id
        self._state.request_log.add_note(
            request_id, now, "answer", f"whole, status {head.status}"
        )
        self._state.requests.remove(active)
        self._state.release_limit(active, now)
        if active.abandoned:
            return
        if not active.answer_begun:
            out.append(commands.BeginAnswer(request_id, head.status, head.content_type))
            if active.answer_body:
                out.append(commands.SendAnswer(request_id, tuple(active.answer_body)))
        out.append(commands.EndAnswer(request_id))
