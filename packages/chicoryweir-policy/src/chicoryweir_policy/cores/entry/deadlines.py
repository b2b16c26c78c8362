"""Handles requests that expire, stall or are abandoned by their caller."""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import dispatch
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.retries import failures

# Time for an agent to confirm that an expired attempt never started.
EXPIRY_GRACE_S = 0.05


class Deadlines:
    """Handles the expiry of request timers and the disconnection of callers."""

    def __init__(
        self,
        state: entry_state.EntryState,
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher

    def run(self, now: float, out: entry_state.Commands) -> None:
        """Ends requests whose deadline passed.

        An answer that has begun may continue past the deadline, unless it stalls. If no
        attempt is known to have started, the agents have `EXPIRY_GRACE_S` to confirm
        that none did, so that the problem can report that the request did not run.
        """
        for active in self._state.requests.pop_due(now):
            if active.answer_begun:
                self._check_stall(active, now, out)
                continue
            if active.abandoned:
                continue
            attempt = active.attempt
            started = any(item.started for item in active.list_attempts())
            if attempt is None or active.expired or started:
                if attempt is not None:
                    active.may_have_run = True
                self._dispatcher.cancel(active, out)
                self._dispatcher.expire(active, self._state.config.instance, now, out)
                continue
            active.expired = True
            self._dispatcher.cancel(active, out)
            self._state.requests.set_timer(
                active.request.request_id, now + EXPIRY_GRACE_S
            )

    def _check_stall(
        self,
        active: active_requests.ActiveRequest,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Resumes an answer elsewhere after `STALL_TIMEOUT_S` without an event."""
        request_id = active.request.request_id
        due = active.progressed_at + dispatch.STALL_TIMEOUT_S
        if now < due:
            self._state.requests.set_timer(request_id, due)
            return
        self._state.requests.set_timer(request_id, now + dispatch.STALL_TIMEOUT_S)
        if active.attempt is None:
            return
        self._dispatcher.cancel(active, out)
        instance = active.attempt.instance
        self._dispatcher.remove_current_attempt(active)
        active.may_have_run = True
        kind = messages.FailureKind.ENDPOINT_ERROR
        failure = failures.Failed(instance, kind, "the answer stalled")
        self._dispatcher.retry(active, failure, now, out)

    def abandon(
        self,
        active: active_requests.ActiveRequest,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        """Handles a caller's disconnect.

        A submitted attempt of a request that is not idempotent is left running.
        """
        self._state.request_log.add_note(
            active.request.request_id, now, "answer", "the caller went away"
        )
        active.abandoned = True
        if active.is_idempotent or active.attempt is None:
            self._dispatcher.cancel(active, out)
            self._dispatcher.remove_all_attempts(active)
            self._dispatcher.discard(active, now, out)
