"""Attempts as they come from entries: queued, refused, cancelled or asked about."""

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


class Arrivals:
    """Takes what entries ask of attempts."""

    def __init__(self, state: agent_state.AgentState) -> None:
        self._state = state

    def submit(
        self,
        session: sessions.Session,
        submit: messages.SubmitAttempt,
        now: float,
        out: Commands,
    ) -> None:
        """Takes an attempt into the queue, or refuses it."""
        session.acknowledged = max(session.acknowledged, submit.sequence)
        if self._state.attempts.is_known(submit.attempt_id):
            return
        reason = self._find_refusal(session, submit)
        if reason is not None:
            self._reject(
                session, submit.attempt_id, reason, self._state.hint(reason), out
            )
            return
        run_s = self._state.load.estimate_run(submit.cost_tokens)
        wait_s = self._predict_wait(submit, now)
        if wait_s + run_s > submit.deadline_in_s:
            reason = messages.RejectReason.INFEASIBLE
            late_s = wait_s + run_s - submit.deadline_in_s
            hint_ms = delay.compute_retry_after_ms(submit.request_id, late_s)
            self._reject(session, submit.attempt_id, reason, hint_ms, out)
            return
        effective = self._state.settings.resolve(
            self._state.facts.place,
            self._state.facts.service,
            submit.workspace,
            submit.priority,
        )
        of_class = self._state.settings.resolve(
            self._state.facts.place, self._state.facts.service, "", submit.priority
        )
        attempt = attempts.Attempt(
            submit, session.session, session.instance, now + submit.deadline_in_s
        )
        entry = queued.QueuedRequest(
            attempt_id=submit.attempt_id,
            workspace=submit.workspace,
            priority=submit.priority,
            weight=effective.weight,
            floor_share=of_class.floor_share,
            cost_tokens=submit.cost_tokens,
            deadline_at=attempt.deadline_at,
            arrived_at=now,
            run_s=run_s,
        )
        self._state.attempts.add(attempt)
        self._state.journal.note(
            submit.request_id,
            now,
            "queue",
            f"{len(self._state.queue)} waiting, {len(self._state.running)} running,"
            f" weight {effective.weight:g},"
            f" settings version {self._state.settings.version}",
        )
        self._enqueue(entry, now, out)

    def _predict_wait(self, submit: messages.SubmitAttempt, now: float) -> float:
        if len(self._state.running) < self._state.facts.slots and not len(
            self._state.queue
        ):
            return 0.0
        return self._state.queue.predict_wait(submit.workspace, submit.priority, now)

    def _enqueue(self, entry: queued.QueuedRequest, now: float, out: Commands) -> None:
        outcome = self._state.queue.push(entry, now)
        match outcome:
            case queued.Accepted():
                lost = outcome.evicted
            case queued.Rejected():
                lost = (outcome,)
            case _:
                typing.assert_never(outcome)
        for rejected in lost:
            self._state.reject_attempt(
                rejected.request.attempt_id,
                messages.RejectReason.QUEUE_FULL,
                rejected.retry_after_ms,
                out,
            )

    def _find_refusal(
        self, session: sessions.Session, submit: messages.SubmitAttempt
    ) -> messages.RejectReason | None:
        if submit.session != session.session:
            return messages.RejectReason.STALE_SESSION
        if submit.attempt_id in session.tombstones:
            return messages.RejectReason.TOMBSTONED
        if self._state.leaving:
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
        session.bury(attempt_id)
        rejected = messages.AttemptRejected(attempt_id, reason, retry_after_ms)
        out.append(commands.Send(session.instance, session.session, rejected))

    def cancel(self, attempt_id: str, now: float, out: Commands) -> None:
        """Drops an attempt that its entry no longer wants."""
        attempt = self._state.attempts.find(attempt_id)
        if attempt is None:
            if not self._state.attempts.is_known(attempt_id):
                self._state.sessions.bury(attempt_id)
            return
        if not attempt.running:
            self._state.queue.remove(attempt_id)
            reason = messages.RejectReason.CANCELLED
            self._state.reject_attempt(attempt_id, reason, 0, out)
            return
        if attempt.must_end:
            return
        out.append(commands.CancelCall(attempt_id))
        request_id = attempt.submit.request_id
        self._state.journal.note(request_id, now, "endpoint", "cancelled")
        self._state.settle(attempt, now)
        self._state.end(attempt, "lose", out)
        failed = messages.AttemptFailed(
            attempt_id, messages.FailureKind.CANCELLED, "cancelled by the entry"
        )
        out.append(commands.Send(attempt.instance, attempt.session, failed))

    def answer_query(
        self, session: sessions.Session, attempt_id: str, out: Commands
    ) -> None:
        """Tells the state of an attempt; one that has not arrived never starts."""
        state = self._state.attempts.describe(attempt_id)
        if state is None:
            self._state.sessions.bury(attempt_id)
            state = messages.AttemptState.TOMBSTONED
        status = messages.AttemptStatus(attempt_id, state)
        out.append(commands.Send(session.instance, session.session, status))
