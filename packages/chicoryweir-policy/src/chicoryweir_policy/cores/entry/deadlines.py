"""Ends requests whose deadline passed, whose answer stalled, or whose caller went."""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.cores.entry import dispatching
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.retries import failures

EXPIRY_GRACE_S = 0.05


class Deadlines:
    """Watches the timers of requests."""

    def __init__(
        self,
        state: entry_state.EntryState,
        dispatcher: dispatching.Dispatcher,
    ) -> None:
        self._state = state
        self._dispatcher = dispatcher

    def run(self, now: float, out: entry_state.Commands) -> None:
        """Ends the requests whose deadline passed; a begun answer goes on."""
        for live in self._state.requests.pop_due(now):
            if live.begun:
                self._check_stall(live, now, out)
                continue
            if live.abandoned:
                continue
            dispatch = live.dispatch
            started = any(each.started for each in live.list_dispatches())
            if dispatch is None or live.expired or started:
                if dispatch is not None:
                    live.may_have_run = True
                self._dispatcher.cancel(live, out)
                self._dispatcher.expire(live, self._state.facts.instance, now, out)
                continue
            live.expired = True
            self._dispatcher.cancel(live, out)
            self._state.requests.set_timer(
                live.request.request_id, now + EXPIRY_GRACE_S
            )

    def _check_stall(
        self, live: lives.Live, now: float, out: entry_state.Commands
    ) -> None:
        """Moves a begun answer elsewhere when nothing of it has come for long."""
        request_id = live.request.request_id
        due = live.progressed_at + dispatching.STALL_TIMEOUT_S
        if now < due:
            self._state.requests.set_timer(request_id, due)
            return
        self._state.requests.set_timer(request_id, now + dispatching.STALL_TIMEOUT_S)
        if live.dispatch is None:
            return
        self._dispatcher.cancel(live, out)
        instance = live.dispatch.instance
        self._dispatcher.detach(live)
        live.may_have_run = True
        kind = messages.FailureKind.ENDPOINT_ERROR
        failure = failures.Failed(instance, kind, "the answer stalled")
        self._dispatcher.retry(live, failure, now, out)

    def abandon(self, live: lives.Live, now: float, out: entry_state.Commands) -> None:
        """The caller is gone; what must run once runs on without it."""
        self._state.journal.add_note(
            live.request.request_id, now, "answer", "the caller went away"
        )
        live.abandoned = True
        if live.is_idempotent or live.dispatch is None:
            self._dispatcher.cancel(live, out)
            self._dispatcher.detach_all(live)
            self._dispatcher.forget(live, now, out)
