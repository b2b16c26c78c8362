"""Core of an entry: admits requests, routes them and answers their callers."""

from __future__ import annotations

import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.admission import limits
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import draining
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores import journal
from chicoryweir_policy.cores import operations
from chicoryweir_policy.cores import settings as settings_task
from chicoryweir_policy.cores.entry import admitting
from chicoryweir_policy.cores.entry import claiming
from chicoryweir_policy.cores.entry import deadlines
from chicoryweir_policy.cores.entry import delivery
from chicoryweir_policy.cores.entry import dispatching
from chicoryweir_policy.cores.entry import grouping
from chicoryweir_policy.cores.entry import hedging
from chicoryweir_policy.cores.entry import lives
from chicoryweir_policy.cores.entry import outlying
from chicoryweir_policy.cores.entry import pacing
from chicoryweir_policy.cores.entry import peers
from chicoryweir_policy.cores.entry import presumption
from chicoryweir_policy.cores.entry import state as entry_state
from chicoryweir_policy.cores.entry import verifying
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.groups import messages as group_messages
from chicoryweir_policy.membership import instances
from chicoryweir_policy.routing import loads
from chicoryweir_policy.routing import prefix
from chicoryweir_policy.routing import selection

ADDRESS_TTL_S = 2.0


class EntryCore:
    """Deterministic core of an entry.

    A step costs O(log n) in the requests in progress; a closed link costs O(n).
    """

    def __init__(
        self, state: entry_state.EntryState, seeds: tuple[instances.Instance, ...]
    ) -> None:
        self.state = state
        self.peers = peers.Peers(state, seeds)
        self._claimer = claiming.Claimer(state)
        self._verifier = verifying.Verifier(state)
        self._dispatcher = dispatching.Dispatcher(state, self._claimer)
        self._claimer.connect(self._dispatcher.submit)
        self._deadlines = deadlines.Deadlines(state, self._dispatcher)
        self._hedger = hedging.Hedger(state, self._dispatcher)
        self._deliverer = delivery.Deliverer(state, self._dispatcher, self._claimer)
        self.groups = grouping.Coordinators(state)
        self._outlying = outlying.Outlying(state)
        self._pacing = pacing.Pacing(state)
        self._presumption = presumption.Presumption(state.suspicions.book)
        self._drain_watch = draining.DrainWatch(state.facts.instance, state.operations)
        self._leaving_at: float | None = None
        self._drain_until = 0.0
        self._stopped = False

    def step(  # noqa: C901 - one branch for each kind of event
        self, event: events.Event, now: float
    ) -> entry_state.Commands:
        """Consumes one event and returns the commands that follow from it."""
        out: entry_state.Commands = []
        match event:
            case events.MessageReceived():
                self._receive(event, now, out)
            case events.RequestArrived():
                self._admit(event.request, now, out)
            case events.RequestAbandoned():
                live = self.state.requests.find(event.request_id)
                if live is not None:
                    self._deadlines.abandon(live, now, out)
            case events.Ticked():
                self._tick(now, out)
            case events.StoreReplied():
                self._consume_reply(event, now, out)
            case events.LinkOpened():
                self._open_link(event, now, out)
            case events.LinkClosed():
                self._close_link(event, now, out)
            case events.InstancesListed():
                self.peers.consume_list(event.instances, out)
                self.state.limiter.set_entries(self.peers.count_entries(), now)
            case events.DrainRequested():
                self._drain(now, out)
            case events.SettingsChanged(copy):
                self.state.settings.accept_change(copy, now, out)
            case events.NotesAsked():
                self._ask_notes(event, now, out)
            case (
                events.EndpointAnswered()
                | events.EndpointSent()
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
        self._finish_drain(now, out)
        return out

    def _admit(
        self, request: requests.Request, now: float, out: entry_state.Commands
    ) -> None:
        effective = self.state.settings.resolve(
            self.state.facts.place, request.service, request.workspace, request.priority
        )
        live = lives.Live(request, effective)
        self.state.requests.add(live)
        self.state.journal.note(
            request.request_id,
            now,
            "admission",
            f"{request.workspace} {request.priority.name.lower()} to"
            f" {request.service}, settings version {self.state.settings.version}",
        )
        problem = admitting.admit_request(self.state, live, now)
        if problem is not None:
            self.state.refuse(live, problem, now, out)
            return
        self._dispatcher.note_request(live)
        self._hedger.note_request(live, now)
        self._dispatcher.route(live, now, out)

    def _ask_notes(
        self, asked: events.NotesAsked, now: float, out: entry_state.Commands
    ) -> None:
        own = self.state.journal.list_notes(asked.request_id, now)
        instance = self.state.facts.instance
        out.append(commands.ReportNotes(asked.number, instance, own))
        wanted = messages.NotesWanted(asked.number, asked.request_id)
        for link in self.state.agents.values():
            self.state.send(link, wanted, out)
        for peer, session in self.peers.list_sessions():
            out.append(commands.Send(peer, session, wanted))

    def _receive(  # noqa: C901 - one branch for each kind of message
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
                self._receive_attempt(event, message, now, out)
            case messages.LoadReport():
                self.state.loads.note_report(event.instance, message, now)
                self._presumption.consume_report(event.instance, message, now)
                self._outlying.consume_report(event.instance, message, now)
                self.state.endpoints.consume_report(event.instance, message, now)
            case messages.CacheNews():
                self.state.prefixes.note_stored(event.instance, message.stored)
                self.state.prefixes.note_evicted(event.instance, message.evicted)
            case messages.AttemptStatus():
                self._claimer.consume_status(message, now, out)
            case messages.EntryStatus():
                self.peers.consume_status(event.instance, message, now)
            case (
                messages.SettingsHead()
                | messages.SettingsWanted()
                | messages.SettingsBody()
            ):
                self.state.settings.consume_message(event, now, out)
            case messages.NotesWanted(number, request_id):
                notes = self.state.journal.list_notes(request_id, now)
                found = messages.NotesFound(number, notes)
                out.append(commands.Send(event.instance, event.session, found))
            case messages.NotesFound(number, notes):
                out.append(commands.ReportNotes(number, event.instance, notes))
            case group_messages.RankStatus():
                self.groups.consume_message(event.instance, message, now, out)
            case messages.EndpointLost():
                self._note_lost(message, now, out)
            case messages.SuspicionNews():
                self.state.suspicions.merge(message, now, out)
            case messages.LimitAsks(asks):
                loans = messages.LimitLoans(self.state.limiter.lend(asks, now))
                out.append(commands.Send(event.instance, event.session, loans))
            case messages.LimitLoans(loans):
                self.state.limiter.borrow(loans, now)
            case _:
                pass

    def _note_lost(
        self, lost: messages.EndpointLost, now: float, out: entry_state.Commands
    ) -> None:
        self.state.prefixes.forget(lost.instance)
        fingerprints = frozenset(lost.fingerprints)
        if fingerprints:
            self.state.suspicions.book.record_loss(
                lost.instance, lost.endpoint_incarnation, fingerprints, now
            )
            self.state.suspicions.spread(now, out)

    def _receive_attempt(
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
        live = self.state.requests.find_attempt(message.attempt_id)
        dispatch = None if live is None else live.find_dispatch(message.attempt_id)
        if live is None or dispatch is None:
            return
        if dispatch.instance != event.instance:
            out.append(
                commands.Record(
                    catalogue.INVARIANT_VIOLATED,
                    live.request.request_id,
                    event.instance,
                    "a message of an attempt that another agent runs",
                )
            )
            return
        if not self._hedger.settle(live, dispatch, message, now, out):
            return
        match message:
            case messages.AttemptChunk():
                self._deliverer.consume_chunk(live, message, now, out)
            case messages.AttemptHead():
                self._deliverer.consume_head(live, message, now, out)
            case messages.AttemptFinished():
                self._deliverer.consume_finished(live, message, now, out)
            case messages.AttemptStarted():
                self._note_started(live, dispatch, now)
            case messages.AttemptRejected():
                self._dispatcher.consume_rejected(live, message, now, out)
            case messages.AttemptFailed():
                self._dispatcher.consume_failed(live, message, now, out)
            case _:
                typing.assert_never(message)

    def _note_started(
        self, live: lives.Live, dispatch: lives.Dispatch, now: float
    ) -> None:
        request = live.request
        if not any(each.started for each in live.list_dispatches()):
            self.state.throttle.record_outcome(
                request.workspace, request.priority, True, now
            )
        dispatch.started = True
        detail = f"started at {dispatch.instance}"
        self.state.journal.note(request.request_id, now, "endpoint", detail)

    def _consume_reply(
        self, event: events.StoreReplied, now: float, out: entry_state.Commands
    ) -> None:
        purpose = self.state.operations.take(event.operation_id)
        if purpose is None:
            return
        if self._claimer.consume_reply(purpose, event.result, now, out):
            return
        if self._verifier.consume_reply(purpose, event.result, now, out):
            return
        if self.groups.consume_reply(purpose, event.result, now, out):
            return
        if self._drain_watch.consume_result(purpose, event.result, out):
            self._drain(now, out)
            return
        self.state.settings.consume_result(purpose, event.result, now, out)

    def _open_link(
        self, event: events.LinkOpened, now: float, out: entry_state.Commands
    ) -> None:
        hello = event.hello
        self.state.settings.open_link(event, now, out)
        self.state.suspicions.open_link(hello.instance, event.session)
        out.append(commands.Record(catalogue.LINK_OPENED, "", hello.instance, ""))
        if hello.role is instances.Role.ENTRY:
            self.peers.open_entry(hello, event.session, out)
            return
        link = entry_state.AgentLink(
            hello.instance, event.session, hello.incarnation, hello.service
        )
        self.state.agents[hello.instance] = link
        self._pacing.open_link(link, out)
        self.state.endpoints.open_link(hello.instance)
        self.state.loads.note_endpoint(hello.instance, hello.place, hello.service)
        self.state.loads.note_link(hello.instance, True, now)

    def _close_link(
        self, event: events.LinkClosed, now: float, out: entry_state.Commands
    ) -> None:
        self.state.settings.close_link(event.instance, event.session, now)
        self.state.suspicions.close_link(event.session)
        self.peers.close_entry(event.instance, event.session)
        out.append(commands.Record(catalogue.LINK_CLOSED, "", event.instance, ""))
        link = self.state.agents.get(event.instance)
        if link is not None and link.session == event.session:
            self._presume_loss(event, now)
            del self.state.agents[event.instance]
            self.state.endpoints.close_link(event.instance)
            self.state.loads.note_link(event.instance, False, now)
        self._hedger.consume_link_closed(event.session, now)
        self._dispatcher.consume_link_closed(event.session, now, out)

    def _presume_loss(self, event: events.LinkClosed, now: float) -> None:
        view = self.state.loads.view(event.instance)
        broken = self.state.requests.list_session(event.session)
        if view is not None:
            self._presumption.presume(
                event.instance, view.incarnation, event.session, broken, now
            )

    def _tick(self, now: float, out: entry_state.Commands) -> None:
        self.state.settings.tick(now, out)
        self._dispatcher.run_retries(now, out)
        self._hedger.run_hedges(now, out)
        self._deadlines.run(now, out)
        self._claimer.flush(out)
        self.peers.tick(now, out)
        self.groups.tick(now, out)
        self.state.suspicions.tick(now, out)
        self._outlying.tick(now, out)
        self._pacing.tick(now, out)
        self._exchange_limits(now, out)
        self._drain_watch.tick(now, out)

    def _exchange_limits(self, now: float, out: entry_state.Commands) -> None:
        asks = self.state.limiter.tick(now)
        if asks is None or not asks.asks:
            return
        for peer, session in self.peers.list_sessions():
            out.append(commands.Send(peer, session, messages.LimitAsks(asks)))

    def _drain(self, now: float, out: entry_state.Commands) -> None:
        if self._leaving_at is not None:
            return
        self._leaving_at = now
        effective = self.state.settings.resolve(
            self.state.facts.place, "", "", requests.PriorityClass.STANDARD
        )
        self._drain_until = now + effective.drain_timeout_ms / 1000.0
        self.peers.leave(out)
        out.append(
            commands.Record(catalogue.DRAIN_STARTED, "", self.state.facts.instance, "")
        )

    def _finish_drain(self, now: float, out: entry_state.Commands) -> None:
        if self._leaving_at is None or self._stopped:
            return
        if now < self._leaving_at + ADDRESS_TTL_S:
            return
        if len(self.state.requests) and now < self._drain_until:
            return
        self._stopped = True
        self.groups.resign(now, out)
        for live in self.state.requests.list_all():
            out.append(
                commands.Record(
                    catalogue.DRAIN_TIMED_OUT,
                    live.request.request_id,
                    "" if live.dispatch is None else live.dispatch.instance,
                    "still in progress when the drain timeout passed",
                )
            )
        out.append(commands.Stop())


def make_entry_core(
    facts: entry_state.EntryFacts, seeds: tuple[instances.Instance, ...]
) -> EntryCore:
    """Makes the core of an entry with its parts."""
    prefixes = prefix.PrefixBook()
    numbers = operations.Operations()
    state = entry_state.EntryState(
        facts=facts,
        selector=selection.make_selector(prefixes),
        prefixes=prefixes,
        loads=loads.LoadBook(facts.place, {}),
        settings=settings_task.SettingsTask(facts.instance, numbers),
        operations=numbers,
        journal=journal.Journal(),
        limiter=limits.create_limiter(
            facts.instance,
            1 + sum(seed.role is instances.Role.ENTRY for seed in seeds),
        ),
    )
    return EntryCore(state, seeds)
