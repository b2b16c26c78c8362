"""Core of an entry: passes each event to the part that handles it."""

from __future__ import annotations

import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.admission import limits
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import draining
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores import operations
from chicoryweir_policy.cores import request_log
from chicoryweir_policy.cores import settings as core_settings
from chicoryweir_policy.cores.entry import active_requests
from chicoryweir_policy.cores.entry import admission
from chicoryweir_policy.cores.entry import claim_verification
from chicoryweir_policy.cores.entry import claims
from chicoryweir_policy.cores.entry import coordinators
from chicoryweir_policy.cores.entry import deadlines
from chicoryweir_policy.cores.entry import delivery
from chicoryweir_policy.cores.entry import dispatch
from chicoryweir_policy.cores.entry import ejection
from chicoryweir_policy.cores.entry import evacuations
from chicoryweir_policy.cores.entry import hedges
from chicoryweir_policy.cores.entry import peers
from chicoryweir_policy.cores.entry import presumed_losses
from chicoryweir_policy.cores.entry import relay_window
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.groups import messages as group_messages
from chicoryweir_policy.membership import instances
from chicoryweir_policy.routing import loads
from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection

# How long callers may cache entry addresses, so also the minimum time of a drain.
ADDRESS_TTL_S = 2.0


class EntryCore:
    """Deterministic core of an entry.

    Handling an event takes O(log n) time for n requests in progress; the loss of a link
    takes O(n) time.
    """

    def __init__(
        self, state: entry_state.EntryState, seeds: tuple[instances.Instance, ...]
    ) -> None:
        self.state = state
        self.peers = peers.Peers(state, seeds)
        self._claim_writer = claims.ClaimWriter(state)
        self._claim_verifier = claim_verification.ClaimVerifier(state)
        self._dispatcher = dispatch.Dispatcher(state, self._claim_writer)
        self._claim_writer.set_submit(self._dispatcher.submit_claimed)
        self._deadlines = deadlines.Deadlines(state, self._dispatcher)
        self._hedger = hedges.Hedger(state, self._dispatcher)
        self._deliverer = delivery.Deliverer(
            state, self._dispatcher, self._claim_writer
        )
        self.groups = coordinators.Coordinators(state)
        self.evacuations = evacuations.Evacuations(state, self.peers)
        self._ejector = ejection.OutlierEjector(state)
        self._relay_window = relay_window.RelayWindow(state)
        self._presumed_losses = presumed_losses.PresumedLosses(state.suspicions.tracker)
        self._drain_watch = draining.DrainWatch(state.config.instance, state.operations)
        self._drain_started_at: float | None = None
        self._drain_deadline_at = 0.0
        self._stopped = False

    def step(  # noqa: C901 - one branch for each kind of event
        self, event: events.Event, now: float
    ) -> entry_state.Commands:
        """Handles one event and returns the resulting commands, in order."""
        out: entry_state.Commands = []
        match event:
            case events.MessageReceived():
                self._handle_message(event, now, out)
            case events.RequestArrived():
                self._admit(event.request, now, out)
            case events.RequestAbandoned():
                active = self.state.requests.find(event.request_id)
                if active is not None:
                    self._deadlines.abandon(active, now, out)
            case events.Ticked():
                self._tick(now, out)
            case events.StoreReplied():
                self._handle_reply(event, now, out)
            case events.LinkOpened():
                self._open_link(event, now, out)
            case events.LinkClosed():
                self._close_link(event, now, out)
            case events.InstancesListed():
                self.peers.handle_list(event.instances, out)
                self.state.limiter.set_entries(self.peers.count_entries(), now)
            case events.DrainRequested():
                self._start_drain(now, out)
            case events.SettingsChanged(copy):
                self.state.settings.accept_change(copy, now, out)
            case events.NotesRequested():
                self._collect_notes(event, now, out)
            case (
                events.EndpointAnswerStarted()
                | events.EndpointPayloadsReceived()
                | events.EndpointFinished()
                | events.EndpointFailed()
                | events.EndpointProbed()
                | events.CacheChanged()
                | group_events.EngineObserved()
                | group_events.EngineReplied()
            ):
                pass
            case _:
                typing.assert_never(event)
        self.evacuations.apply_settings()
        self._finish_drain(now, out)
        return out

    def _admit(
        self, request: requests.Request, now: float, out: entry_state.Commands
    ) -> None:
        effective = self.state.settings.resolve(
            self.state.config.data_centre,
            request.service,
            request.workspace,
            request.priority,
        )
        active = active_requests.ActiveRequest(request, effective)
        self.state.requests.add(active)
        self.state.request_log.add_note(
            request.request_id,
            now,
            "admission",
            f"{request.workspace} {request.priority.name.lower()} to"
            f" {request.service}, settings version {self.state.settings.version}",
        )
        problem = admission.admit_request(self.state, active, now)
        if problem is not None:
            self.state.end_with_problem(active, problem, now, out)
            return
        self._dispatcher.credit_retry_budget(active)
        self._hedger.credit_hedge_budget(active, now)
        self._dispatcher.route(active, now, out)

    def _collect_notes(
        self, requested: events.NotesRequested, now: float, out: entry_state.Commands
    ) -> None:
        own_notes = self.state.request_log.list_notes(requested.request_id, now)
        instance = self.state.config.instance
        out.append(commands.ReportNotes(requested.number, instance, own_notes))
        query = messages.NotesWanted(requested.number, requested.request_id)
        for link in self.state.agent_links.values():
            self.state.send(link, query, out)
        for peer, session_id in self.peers.list_sessions():
            out.append(commands.Send(peer, session_id, query))

    def _handle_message(  # noqa: C901 - one branch for each kind of message
        self, event: events.MessageReceived, now: float, out: entry_state.Commands
    ) -> None:
        message = event.message
        match message:
            case (
                messages.AttemptChunk()
                | messages.AttemptHead()
                | messages.AttemptStarted()
                | messages.AttemptFinished()
                | messages.AttemptRejected()
                | messages.AttemptFailed()
            ):
                self._handle_attempt_message(event, message, now, out)
            case messages.LoadReport():
                self.state.loads.record_report(event.instance, message, now)
                self._presumed_losses.handle_report(event.instance, message, now)
                self._ejector.handle_report(event.instance, message, now)
                self.state.endpoints.handle_report(event.instance, message, now)
            case messages.CacheNews():
                self.state.prefixes.record_stored(event.instance, message.stored)
                self.state.prefixes.record_evicted(event.instance, message.evicted)
            case messages.AttemptStatus():
                self._claim_writer.handle_status(message, now, out)
            case messages.EntryStatus():
                self.peers.handle_status(event.instance, message, now)
            case (
                messages.SettingsHead()
                | messages.SettingsWanted()
                | messages.SettingsBody()
            ):
                self.state.settings.handle_message(event, now, out)
            case messages.NotesWanted(number, request_id):
                notes = self.state.request_log.list_notes(request_id, now)
                found = messages.NotesFound(number, notes)
                out.append(commands.Send(event.instance, event.session_id, found))
            case messages.NotesFound(number, notes):
                out.append(commands.ReportNotes(number, event.instance, notes))
            case group_messages.RankStatus():
                self.groups.handle_message(event.instance, message, now, out)
            case messages.EndpointLost():
                self._record_loss(message, now, out)
            case messages.SuspicionNews():
                self.state.suspicions.merge(message, now, out)
            case messages.LimitAsks(asks):
                loans = messages.LimitLoans(self.state.limiter.lend(asks, now))
                out.append(commands.Send(event.instance, event.session_id, loans))
            case messages.LimitLoans(loans):
                self.state.limiter.borrow(loans, now)
            case _:
                pass

    def _record_loss(
        self, lost: messages.EndpointLost, now: float, out: entry_state.Commands
    ) -> None:
        self.state.prefixes.remove_endpoint(lost.instance)
        fingerprints = frozenset(lost.fingerprints)
        if fingerprints:
            self.state.suspicions.tracker.record_loss(
                lost.instance, lost.endpoint_incarnation, fingerprints, now
            )
            self.state.suspicions.send_updates(now, out)

    def _handle_attempt_message(
        self,
        event: events.MessageReceived,
        message: messages.AttemptChunk
        | messages.AttemptHead
        | messages.AttemptStarted
        | messages.AttemptFinished
        | messages.AttemptRejected
        | messages.AttemptFailed,
        now: float,
        out: entry_state.Commands,
    ) -> None:
        active = self.state.requests.find_by_attempt(message.attempt_id)
        attempt = None if active is None else active.find_attempt(message.attempt_id)
        if active is None or attempt is None:
            return
        if attempt.instance != event.instance:
            out.append(
                commands.LogEvent(
                    catalogue.INVARIANT_VIOLATED,
                    active.request.request_id,
                    event.instance,
                    "a message of an attempt that another agent runs",
                )
            )
            return
        if not self._hedger.handle_message(active, attempt, message, now, out):
            return
        match message:
            case messages.AttemptChunk():
                self._deliverer.handle_chunk(active, message, now, out)
            case messages.AttemptHead():
                self._deliverer.handle_head(active, message, now, out)
            case messages.AttemptFinished():
                self._deliverer.handle_finished(active, message, now, out)
            case messages.AttemptStarted():
                self._record_started(active, attempt, now)
            case messages.AttemptRejected():
                self._dispatcher.handle_rejected(active, message, now, out)
            case messages.AttemptFailed():
                self._dispatcher.handle_failed(active, message, now, out)
            case _:
                typing.assert_never(message)

    def _record_started(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        now: float,
    ) -> None:
        request = active.request
        if not any(item.started for item in active.list_attempts()):
            self.state.throttle.record_outcome(
                request.workspace, request.priority, True, now
            )
        attempt.started = True
        detail = f"started at {attempt.instance}"
        self.state.request_log.add_note(request.request_id, now, "endpoint", detail)

    def _handle_reply(
        self, event: events.StoreReplied, now: float, out: entry_state.Commands
    ) -> None:
        purpose = self.state.operations.pop_purpose(event.operation_id)
        if purpose is None:
            return
        if self._claim_writer.handle_reply(purpose, event.result, now, out):
            return
        if self._claim_verifier.handle_reply(purpose, event.result, now, out):
            return
        if self.groups.handle_reply(purpose, event.result, now, out):
            return
        if self._drain_watch.handle_reply(purpose, event.result, out):
            self._start_drain(now, out)
            return
        self.state.settings.handle_reply(purpose, event.result, now, out)

    def _open_link(
        self, event: events.LinkOpened, now: float, out: entry_state.Commands
    ) -> None:
        hello = event.hello
        self.state.settings.open_link(event, now, out)
        self.state.suspicions.open_link(hello.instance, event.session_id)
        out.append(commands.LogEvent(catalogue.LINK_OPENED, "", hello.instance, ""))
        if hello.role is instances.Role.ENTRY:
            self.peers.open_entry(hello, event.session_id, out)
            return
        link = entry_state.AgentLink(
            hello.instance, event.session_id, hello.incarnation, hello.service
        )
        self.state.agent_links[hello.instance] = link
        self._relay_window.open_link(link, out)
        self.state.endpoints.open_link(hello.instance)
        self.state.loads.add_endpoint(hello.instance, hello.place, hello.service)
        self.state.loads.record_link_state(hello.instance, True, now)

    def _close_link(
        self, event: events.LinkClosed, now: float, out: entry_state.Commands
    ) -> None:
        self.state.settings.close_link(event.instance, event.session_id, now)
        self.state.suspicions.close_link(event.session_id)
        self.peers.close_entry(event.instance, event.session_id)
        out.append(commands.LogEvent(catalogue.LINK_CLOSED, "", event.instance, ""))
        link = self.state.agent_links.get(event.instance)
        if link is not None and link.session_id == event.session_id:
            self._presume_loss(event, now)
            del self.state.agent_links[event.instance]
            self.state.endpoints.close_link(event.instance)
            self.state.loads.record_link_state(event.instance, False, now)
        self._hedger.handle_link_closed(event.session_id, now)
        self._dispatcher.handle_link_closed(event.session_id, now, out)

    def _presume_loss(self, event: events.LinkClosed, now: float) -> None:
        view = self.state.loads.get_view(event.instance)
        affected = self.state.requests.list_by_session(event.session_id)
        if view is not None:
            self._presumed_losses.presume_loss(
                event.instance, view.incarnation, event.session_id, affected, now
            )

    def _tick(self, now: float, out: entry_state.Commands) -> None:
        self.state.settings.tick(now, out)
        self.evacuations.apply_settings()
        self._dispatcher.run_retries(now, out)
        self._hedger.run_hedges(now, out)
        self._deadlines.run(now, out)
        self._claim_writer.flush(out)
        self.peers.tick(now, out)
        self.groups.tick(now, out)
        self.state.suspicions.tick(now, out)
        self._ejector.tick(now, out)
        self._relay_window.tick(now, out)
        self._exchange_limits(now, out)
        self._drain_watch.tick(now, out)

    def _exchange_limits(self, now: float, out: entry_state.Commands) -> None:
        asks = self.state.limiter.tick(now)
        if asks is None or not asks.asks:
            return
        for peer, session_id in self.peers.list_sessions():
            out.append(commands.Send(peer, session_id, messages.LimitAsks(asks)))

    def _start_drain(self, now: float, out: entry_state.Commands) -> None:
        if self._drain_started_at is not None:
            return
        self._drain_started_at = now
        effective = self.state.settings.resolve(
            self.state.config.data_centre, "", "", requests.PriorityClass.STANDARD
        )
        self._drain_deadline_at = now + effective.drain_timeout_ms / 1000.0
        self.peers.leave(out)
        out.append(
            commands.LogEvent(
                catalogue.DRAIN_STARTED, "", self.state.config.instance, ""
            )
        )

    def _finish_drain(self, now: float, out: entry_state.Commands) -> None:
        if self._drain_started_at is None or self._stopped:
            return
        if now < self._drain_started_at + ADDRESS_TTL_S:
            return
        if len(self.state.requests) and now < self._drain_deadline_at:
            return
        self._stopped = True
        self.groups.resign(now, out)
        for active in self.state.requests.list_all():
            out.append(
                commands.LogEvent(
                    catalogue.DRAIN_TIMED_OUT,
                    active.request.request_id,
                    "" if active.attempt is None else active.attempt.instance,
                    "still in progress when the drain timeout passed",
                )
            )
        out.append(commands.Stop())


def make_entry_core(
    config: entry_state.EntryConfig, seeds: tuple[instances.Instance, ...]
) -> EntryCore:
    """Creates the core of an entry."""
    prefixes = prefix.PrefixIndex()
    entry_operations = operations.PendingOperations()
    state = entry_state.EntryState(
        config=config,
        selector=selection.make_selector(prefixes),
        prefixes=prefixes,
        loads=loads.LoadTracker(config.data_centre, {}),
        settings=core_settings.SettingsManager(config.instance, entry_operations),
        operations=entry_operations,
        request_log=request_log.RequestLog(),
        limiter=limits.create_limiter(
            config.instance,
            1 + sum(seed.role is instances.Role.ENTRY for seed in seeds),
        ),
    )
    return EntryCore(state, seeds)
