"""Runs attempts on the endpoint and relays their answers to the entries."""

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

# Size from which on buffered payloads are sent before the window has passed.
MAX_BUFFERED_BYTES = 262_144


class AttemptRunner:
    """Starts queued attempts, relays their answers and ends them."""

    def __init__(self, state: agent_state.AgentState) -> None:
        self._state = state
        self._deferred: collections.deque[str] = collections.deque()

    def start_queued(self, now: float, out: Commands) -> None:
        """Starts deferred and queued attempts while the endpoint has free slots."""
        for attempt_id in [
            self._deferred.popleft() for _ in range(len(self._deferred))
        ]:
            self._try_start(attempt_id, now, out)
        while (
            len(self._state.running) < self._state.config.slots
            and self._state.load.serving
        ):
            item = self._state.queue.pop(now)
            if item is None:
                return
            self._try_start(item.attempt_id, now, out)

    def _try_start(self, attempt_id: str, now: float, out: Commands) -> None:
        """Starts, defers or rejects an attempt, depending on slots and quarantine."""
        attempt = self._state.attempts.find(attempt_id)
        if attempt is None or attempt.running:
            return
        if (
            len(self._state.running) >= self._state.config.slots
            or not self._state.load.serving
        ):
            self._deferred.append(attempt_id)
            return
        submit = attempt.submit
        decision = self._state.isolation.decide_start(
            submit.fingerprint, submit.suspect, now
        )
        match decision:
            case isolation.Start():
                self._start(attempt, now, out)
            case isolation.Wait():
                self._deferred.append(attempt_id)
            case isolation.Reject():
                reason = messages.RejectReason.SUSPECT
                self._state.reject_attempt(
                    attempt_id, reason, agent_state.SUSPECT_RETRY_AFTER_MS, out
                )
            case _:
                typing.assert_never(decision)

    def _start(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        submit = attempt.submit
        if not self._state.attempts.start(attempt, now):
            reason = messages.RejectReason.TOMBSTONED
            out.append(
                self._state.make_violation_event(attempt, "its key was sent before")
            )
            self._state.reject_attempt(submit.attempt_id, reason, 0, out)
            return
        self._state.running[submit.attempt_id] = attempt
        self._state.isolation.record_started(submit.attempt_id, submit.fingerprint)
        self._state.request_log.add_note(submit.request_id, now, "endpoint", "sent")
        started = messages.AttemptStarted(submit.attempt_id)
        out.append(commands.Send(attempt.instance, attempt.session_id, started))
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
                session_id=attempt.session_id,
            )
        )

    def relay_head(self, event: events.EndpointAnswerStarted, out: Commands) -> None:
        """Relays the status and content type of an answer."""
        attempt = self._state.running.get(event.attempt_id)
        if attempt is None:
            return
        head = messages.AttemptHead(
            event.attempt_id, event.status, event.content_type, event.mode
        )
        out.append(commands.Send(attempt.instance, attempt.session_id, head))

    def relay(
        self, event: events.EndpointPayloadsReceived, now: float, out: Commands
    ) -> None:
        """Relays payloads of an answer, at once or with a later chunk."""
        attempt = self._state.running.get(event.attempt_id)
        if attempt is None:
            return
        attempt.buffered.extend(event.payloads)
        attempt.buffered_bytes += sum(map(len, event.payloads))
        self._flush_if_due(attempt, now, out)

    def _flush_if_due(
        self, attempt: attempts.Attempt, now: float, out: Commands
    ) -> None:
        """Sends the buffered payloads if the session's relay window has passed."""
        session = self._state.sessions.find(attempt.session_id)
        window_s = session.window_s if session is not None else 0.0
        if (
            now - attempt.relayed_at >= window_s
            or attempt.buffered_bytes >= MAX_BUFFERED_BYTES
        ):
            self._flush(attempt, now, out)

    def _flush(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        if not attempt.buffered:
            return
        payloads = tuple(attempt.buffered)
        attempt.buffered.clear()
        attempt.buffered_bytes = 0
        attempt_id = attempt.submit.attempt_id
        chunk = messages.AttemptChunk(attempt_id, attempt.chunk_count, payloads)
        attempt.relayed_at = now
        attempt.chunk_count += 1
        attempt.payload_count += len(payloads)
        attempt.digest.update(payloads)
        out.append(commands.Send(attempt.instance, attempt.session_id, chunk))

    def finish(self, attempt_id: str, now: float, out: Commands) -> None:
        """Ends an attempt whose answer is complete."""
        attempt = self._state.running.get(attempt_id)
        if attempt is None:
            return
        self._flush(attempt, now, out)
        self._state.record_usage(attempt, now)
        self._state.isolation.record_ended(attempt_id, True, now)
        self._state.end_attempt(attempt, "finish", out)
        self._state.request_log.add_note(
            attempt.submit.request_id,
            now,
            "endpoint",
            f"{attempt.payload_count} pieces",
        )
        finished = messages.AttemptFinished(
            attempt_id,
            attempt.chunk_count,
            attempt.digest.compute(),
            attempt.payload_count,
        )
        out.append(commands.Send(attempt.instance, attempt.session_id, finished))

    def fail(self, event: events.EndpointFailed, now: float, out: Commands) -> None:
        """Ends an attempt whose call failed.

        The attempt is rejected if the call was never sent, and fails otherwise.
        """
        attempt = self._state.running.get(event.attempt_id)
        if event.lost:
            self.handle_endpoint_loss(now, out)
            attempt = self._state.running.get(event.attempt_id)
        if attempt is None:
            return
        self._flush(attempt, now, out)
        self._state.record_usage(attempt, now)
        if not event.sent:
            self._state.end_attempt(attempt, "unsent", out)
            reason = messages.RejectReason.ENDPOINT_DOWN
            rejected = messages.AttemptRejected(
                event.attempt_id, reason, agent_state.ENDPOINT_DOWN_RETRY_AFTER_MS
            )
            out.append(commands.Send(attempt.instance, attempt.session_id, rejected))
            return
        self._state.end_attempt(attempt, "fail", out)
        failed = messages.AttemptFailed(
            event.attempt_id, messages.FailureKind.ENDPOINT_ERROR, event.detail
        )
        out.append(commands.Send(attempt.instance, attempt.session_id, failed))

    def handle_endpoint_loss(self, now: float, out: Commands) -> None:
        """Announces the loss; fails running attempts and rejects queued ones."""
        if not self._state.load.serving:
            return
        incarnation = self._state.load.incarnation
        self._state.load.mark_lost()
        self._state.isolation.record_endpoint_lost(incarnation, now)
        running = list(self._state.running.values())
        fingerprints = tuple(sorted({item.submit.fingerprint for item in running}))
        lost = messages.EndpointLost(
            self._state.config.instance, incarnation, fingerprints
        )
        self._state.broadcast(lost, out)
        self._state.suspicions.send_updates(now, out)
        out.append(
            commands.LogEvent(
                catalogue.ENDPOINT_LOST, "", self._state.config.instance, incarnation
            )
        )
        for attempt in running:
            self._fail_lost(attempt, now, out)
        self._state.reject_queued(messages.RejectReason.ENDPOINT_DOWN, out)

    def _fail_lost(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        attempt_id = attempt.submit.attempt_id
        self._flush(attempt, now, out)
        self._state.record_usage(attempt, now)
        self._state.end_attempt(attempt, "lose", out)
        out.append(commands.CancelCall(attempt_id))
        failed = messages.AttemptFailed(
            attempt_id, messages.FailureKind.ENDPOINT_LOST, "endpoint died"
        )
        out.append(commands.Send(attempt.instance, attempt.session_id, failed))

    def expire(self, now: float, out: Commands) -> None:
        """Rejects expired attempts and sends the buffered payloads that are due."""
        for attempt in self._state.running.values():
            if attempt.buffered:
                self._flush_if_due(attempt, now, out)
        expired_ids = [expired.attempt_id for expired in self._state.queue.expire(now)]
        for attempt_id in self._deferred:
            deferred = self._state.attempts.find(attempt_id)
            if deferred is not None and deferred.deadline_at < now:
                expired_ids.append(attempt_id)
        reason = messages.RejectReason.EXPIRED
        for attempt_id in expired_ids:
            self._state.reject_attempt(attempt_id, reason, 0, out)
