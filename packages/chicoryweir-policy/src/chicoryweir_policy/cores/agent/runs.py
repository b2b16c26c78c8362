"""Attempts at the endpoint: started, relayed, ended, or lost with it."""

from __future__ import annotations

import collections
import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import attempts
from chicoryweir_policy.cores.agent import state as agent_state
from chicoryweir_policy.quarantine import isolation

Commands = agent_state.Commands


class Runs:
    """Hands attempts to the endpoint and answers back to the entries."""

    def __init__(self, state: agent_state.AgentState) -> None:
        self._state = state
        self._held: collections.deque[str] = collections.deque()

    def pump(self, now: float, out: Commands) -> None:
        """Starts what waits, as far as the endpoint has room."""
        for attempt_id in [self._held.popleft() for _ in range(len(self._held))]:
            self._try_start(attempt_id, now, out)
        while (
            len(self._state.running) < self._state.facts.slots
            and self._state.load.serving
        ):
            entry = self._state.queue.pop(now)
            if entry is None:
                return
            self._try_start(entry.attempt_id, now, out)

    def _try_start(self, attempt_id: str, now: float, out: Commands) -> None:
        """Starts an attempt unless its content must wait or may not run here."""
        attempt = self._state.attempts.find(attempt_id)
        if attempt is None or attempt.running:
            return
        if (
            len(self._state.running) >= self._state.facts.slots
            or not self._state.load.serving
        ):
            self._held.append(attempt_id)
            return
        submit = attempt.submit
        decided = self._state.isolation.decide_start(
            submit.fingerprint, submit.suspect, now
        )
        match decided:
            case isolation.Start():
                self._start(attempt, now, out)
            case isolation.Hold():
                self._held.append(attempt_id)
            case isolation.Reject():
                reason = messages.RejectReason.SUSPECT
                self._state.reject_attempt(
                    attempt_id, reason, agent_state.SUSPECT_RETRY_MS, out
                )
            case _:
                typing.assert_never(decided)

    def _start(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        submit = attempt.submit
        if not self._state.attempts.start(attempt, now):
            reason = messages.RejectReason.TOMBSTONED
            out.append(self._state.record_violation(attempt, "its key was sent before"))
            self._state.reject_attempt(submit.attempt_id, reason, 0, out)
            return
        self._state.running[submit.attempt_id] = attempt
        self._state.isolation.record_started(submit.attempt_id, submit.fingerprint)
        self._state.journal.note(submit.request_id, now, "endpoint", "sent")
        started = messages.AttemptStarted(submit.attempt_id)
        out.append(commands.Send(attempt.instance, attempt.session, started))
        out.append(
            commands.CallEndpoint(
                attempt_id=submit.attempt_id,
                request_id=submit.request_id,
                method=submit.method,
                path=submit.path,
                content_type=submit.content_type,
                idempotency_key=submit.idempotency_key,
                body=submit.body,
                mode=submit.mode,
                priority=submit.priority,
                resume_from=submit.resume_from,
            )
        )

    def relay_head(self, event: events.EndpointAnswered, out: Commands) -> None:
        """Passes on how an answer begins."""
        attempt = self._state.running.get(event.attempt_id)
        if attempt is None:
            return
        head = messages.AttemptHead(
            event.attempt_id, event.status, event.content_type, event.mode
        )
        out.append(commands.Send(attempt.instance, attempt.session, head))

    def relay(self, event: events.EndpointSent, now: float, out: Commands) -> None:
        """Passes on a piece of an answer."""
        attempt = self._state.running.get(event.attempt_id)
        if attempt is None:
            return
        attempt.held.extend(event.payloads)
        self._relay_due(attempt, now, out)

    def _relay_due(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        """Sends what is held back, unless the entry wants more of it together."""
        session = self._state.sessions.find(attempt.session)
        window_s = session.window_s if session is not None else 0.0
        if now - attempt.relayed_at >= window_s:
            self._relay_held(attempt, now, out)

    def _relay_held(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        if not attempt.held:
            return
        payloads = tuple(attempt.held)
        attempt.held.clear()
        attempt_id = attempt.submit.attempt_id
        chunk = messages.AttemptChunk(attempt_id, attempt.chunks, payloads)
        attempt.relayed_at = now
        attempt.chunks += 1
        attempt.payloads += len(payloads)
        attempt.digest.update(payloads)
        out.append(commands.Send(attempt.instance, attempt.session, chunk))

    def finish(self, attempt_id: str, now: float, out: Commands) -> None:
        """Ends an attempt whose answer is whole."""
        attempt = self._state.running.get(attempt_id)
        if attempt is None:
            return
        self._relay_held(attempt, now, out)
        self._state.settle(attempt, now)
        self._state.isolation.record_ended(attempt_id, True, now)
        self._state.end(attempt, "finish", out)
        self._state.journal.note(
            attempt.submit.request_id, now, "endpoint", f"{attempt.payloads} pieces"
        )
        finished = messages.AttemptFinished(
            attempt_id, attempt.chunks, attempt.digest.compute(), attempt.payloads
        )
        out.append(commands.Send(attempt.instance, attempt.session, finished))

    def fail(self, event: events.EndpointFailed, now: float, out: Commands) -> None:
        """Ends an attempt whose call broke."""
        attempt = self._state.running.get(event.attempt_id)
        if event.lost:
            self.lose_endpoint(now, out)
            attempt = self._state.running.get(event.attempt_id)
        if attempt is None:
            return
        self._relay_held(attempt, now, out)
        self._state.settle(attempt, now)
        if not event.sent:
            self._state.end(attempt, "unsent", out)
            reason = messages.RejectReason.ENDPOINT_DOWN
            rejected = messages.AttemptRejected(
                event.attempt_id, reason, agent_state.ENDPOINT_DOWN_RETRY_MS
            )
            out.append(commands.Send(attempt.instance, attempt.session, rejected))
            return
        self._state.end(attempt, "fail", out)
        failed = messages.AttemptFailed(
            event.attempt_id, messages.FailureKind.ENDPOINT_ERROR, event.detail
        )
        out.append(commands.Send(attempt.instance, attempt.session, failed))

    def lose_endpoint(self, now: float, out: Commands) -> None:
        """Fails what ran on the endpoint and gives back what waited for it."""
        if not self._state.load.serving:
            return
        incarnation = self._state.load.incarnation
        self._state.load.note_lost()
        self._state.isolation.record_endpoint_lost(incarnation, now)
        running = list(self._state.running.values())
        fingerprints = tuple(sorted({item.submit.fingerprint for item in running}))
        lost = messages.EndpointLost(
            self._state.facts.instance, incarnation, fingerprints
        )
        self._state.broadcast(lost, out)
        self._state.suspicions.spread(now, out)
        out.append(
            commands.Record(
                catalogue.ENDPOINT_LOST, "", self._state.facts.instance, incarnation
            )
        )
        for attempt in running:
            self._fail_lost(attempt, now, out)
        self._state.reject_waiting(messages.RejectReason.ENDPOINT_DOWN, out)

    def _fail_lost(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        attempt_id = attempt.submit.attempt_id
        self._relay_held(attempt, now, out)
        self._state.settle(attempt, now)
        self._state.end(attempt, "lose", out)
        out.append(commands.CancelCall(attempt_id))
        failed = messages.AttemptFailed(
            attempt_id, messages.FailureKind.ENDPOINT_LOST, "endpoint died"
        )
        out.append(commands.Send(attempt.instance, attempt.session, failed))

    def expire(self, now: float, out: Commands) -> None:
        """Rejects what can no longer be in time, and sends what is held back."""
        for attempt in self._state.running.values():
            if attempt.held:
                self._relay_due(attempt, now, out)
        overdue = [expired.attempt_id for expired in self._state.queue.expire(now)]
        for attempt_id in self._held:
            held = self._state.attempts.find(attempt_id)
            if held is not None and held.deadline_at < now:
                overdue.append(attempt_id)
        reason = messages.RejectReason.EXPIRED
        for attempt_id in overdue:
            self._state.reject_attempt(attempt_id, reason, 0, out)
