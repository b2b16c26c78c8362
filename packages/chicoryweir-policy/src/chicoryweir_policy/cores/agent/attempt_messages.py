"""Handles messages of entries that submit, cancel or query an attempt."""

from __future__ import annotations

import typing

from chicoryweir_policy import messages
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import queued
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.agent import attempts
from chicoryweir_policy.cores.agent import sessions
from chicoryweir_policy.cores.agent import state as agent_state

Commands = agent_state.Commands


class AttemptMessageHandler:
    """Handles messages from entries about their attempts."""

    def __init__(self, state: agent_state.AgentState) -> None:
        self._state = state

    def submit(
        self,
        session: sessions.Session,
        submit: messages.SubmitAttempt,
        now: float,
        out: Commands,
    ) -> None:
        """Queues a submitted attempt, or rejects it; ignores one that is known.

        An attempt whose predicted wait and run time exceed its deadline is rejected as
        infeasible.
        """
        session.acknowledged = max(session.acknowledged, submit.sequence)
        if self._state.attempts.is_known(submit.attempt_id):
            return
        reason = self._find_reject_reason(session, submit)
        if reason is not None:
            self._reject(
                session,
                submit.attempt_id,
                reason,
                self._state.get_retry_after_ms(reason),
                out,
            )
            return
        run_s = self._state.load.estimate_duration(submit.cost_tokens)
        wait_s = self._predict_wait(submit, now)
        if wait_s + run_s > submit.deadline_in_s:
            reason = messages.RejectReason.INFEASIBLE
            late_s = wait_s + run_s - submit.deadline_in_s
            retry_after_ms = delay.compute_retry_after_ms(submit.request_id, late_s)
            self._reject(session, submit.attempt_id, reason, retry_after_ms, out)
            return
        effective = self._state.settings.resolve(
            self._state.config.data_centre,
            self._state.config.service,
            submit.workspace,
            submit.priority,
        )
        class_settings = self._state.settings.resolve(
            self._state.config.data_centre,
            self._state.config.service,
            "",
            submit.priority,
        )
        attempt = attempts.Attempt(
            submit, session.session_id, session.instance, now + submit.deadline_in_s
        )
        queued_request = queued.QueuedRequest(
            attempt_id=submit.attempt_id,
            workspace=submit.workspace,
            priority=submit.priority,
            weight=effective.weight,
            floor_share=class_settings.floor_share,
            cost_tokens=submit.cost_tokens,
            deadline_at=attempt.deadline_at,
            arrived_at=now,
            run_s=run_s,
        )
        self._state.attempts.add(attempt)
        self._state.request_log.add_note(
            submit.request_id,
            now,
            "queue",
            f"{len(self._state.queue)} waiting, {len(self._state.running)} running,"
            f" weight {effective.weight:g},"
            f" settings version {self._state.settings.version}",
        )
        self._enqueue(queued_request, now, out)

    def _predict_wait(self, submit: messages.SubmitAttempt, now: float) -> float:
        if len(self._state.running) < self._state.config.slots and not len(
            self._state.queue
        ):
            return 0.0
        return self._state.queue.predict_wait(submit.workspace, submit.priority, now)

    def _enqueue(
        self, request: queued.QueuedRequest, now: float, out: Commands
    ) -> None:
        outcome = self._state.queue.push(request, now)
        match outcome:
            case queued.Accepted():
                rejections = outcome.evicted
            case queued.Rejected():
                rejections = (outcome,)
            case _:
                typing.assert_never(outcome)
        for rejected in rejections:
            self._state.reject_attempt(
                rejected.request.attempt_id,
                messages.RejectReason.QUEUE_FULL,
                rejected.retry_after_ms,
                out,
            )

    def _find_reject_reason(
        self, session: sessions.Session, submit: messages.SubmitAttempt
    ) -> messages.RejectReason | None:
        if submit.session != session.session_id:
            return messages.RejectReason.STALE_SESSION
        if submit.attempt_id in session.tombstones:
            return messages.RejectReason.TOMBSTONED
        if self._state.draining or self._state.is_evacuated:
            return messages.RejectReason.LEAVING
        if not self._state.load.serving or not self._state.settings.is_ready:
            return messages.RejectReason.ENDPOINT_DOWN
        return None

    def _reject(
        self,
        session: sessions.Session,
        attempt_id: str,
        reason: messages.RejectReason,
        retry_after_ms: int,
        out: Commands,
    ) -> None:
        session.add_tombstone(attempt_id)
        rejected = messages.AttemptRejected(attempt_id, reason, retry_after_ms)
        out.append(commands.Send(session.instance, session.session_id, rejected))

    def cancel(self, attempt_id: str, now: float, out: Commands) -> None:
        """Cancels an attempt; one that is unknown here gets a tombstone.

        A running attempt that must complete is not cancelled.
        """
        attempt = self._state.attempts.find(attempt_id)
        if attempt is None:
            if not self._state.attempts.is_known(attempt_id):
                self._state.sessions.add_tombstone(attempt_id)
            return
        if not attempt.running:
            self._state.queue.remove(attempt_id)
            reason = messages.RejectReason.CANCELLED
            self._state.reject_attempt(attempt_id, reason, 0, out)
            return
        if attempt.must_complete:
            return
        out.append(commands.CancelCall(attempt_id))
        request_id = attempt.submit.request_id
        self._state.request_log.add_note(request_id, now, "endpoint", "cancelled")
        self._state.record_usage(attempt, now)
        self._state.end_attempt(attempt, "lose", out)
        failed = messages.AttemptFailed(
            attempt_id, messages.FailureKind.CANCELLED, "cancelled by the entry"
        )
        out.append(commands.Send(attempt.instance, attempt.session_id, failed))

    def answer_query(
        self, session: sessions.Session, attempt_id: str, out: Commands
    ) -> None:
        """Sends the state of an attempt; one that is unknown here gets a tombstone."""
        state = self._state.attempts.get_state(attempt_id)
        if state is None:
            self._state.sessions.add_tombstone(attempt_id)
            state = messages.AttemptState.TOMBSTONED
        status = messages.AttemptStatus(attempt_id, state)
        out.append(commands.Send(session.instance, session.session_id, status))
