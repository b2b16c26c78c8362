"""Core of an agent: the only sender of work to its endpoint."""

from __future__ import annotations

import collections.abc
import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.admission import queued
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import draining
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import arrivals
from chicoryweir_policy.cores.agent import grouping
from chicoryweir_policy.cores.agent import load
from chicoryweir_policy.cores.agent import runs
from chicoryweir_policy.cores.agent import state as agent_state
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.groups import messages as group_messages
from chicoryweir_policy.membership import instances

# Entries that have not heard of a drain yet still submit; they are to be refused, for a
# link that closes under an attempt leaves its end unknown.
LINGER_S = 1.0

AgentFacts = agent_state.AgentFacts
Commands = agent_state.Commands


class AgentCore:
    """Deterministic core of an agent.

    A step costs O(log n) in the attempts of its workspace queue; a lost endpoint or a
    closed link costs O(n) in the live attempts.
    """

    def __init__(self, facts: AgentFacts, work: queued.Queue) -> None:
        self._state = state = agent_state.AgentState(facts, work)
        self._arrivals = arrivals.Arrivals(state)
        self._runs = runs.Runs(state)
        self._drain_watch = draining.DrainWatch(facts.instance, state.operations)
        self._ranks: grouping.Ranks | None = None
        if facts.group:
            self._ranks = grouping.make_ranks(
                facts.group,
                facts.ranks,
                facts.incarnation,
                state.sessions,
                state.operations,
            )
        self._stopped = False
        self._drain_until = 0.0
        self._linger_until = 0.0

    @property
    def settings_version(self) -> int:
        """Version of the settings in force here; 0 for none."""
        return self._state.settings.version

    def step(self, event: events.Event, now: float) -> Commands:
        """Consumes one event and returns the commands that follow from it."""
        out: Commands = []
        self._dispatch(event, now, out)
        self._runs.pump(now, out)
        self._finish_drain(now, out)
        return out

    def _dispatch(  # noqa: C901 - one branch for each kind of event
        self, event: events.Event, now: float, out: Commands
    ) -> None:
        match event:
            case events.MessageReceived():
                self._receive(event, now, out)
            case events.EndpointSent():
                self._runs.relay(event, now, out)
            case events.EndpointAnswered():
                self._runs.relay_head(event, out)
            case events.EndpointFinished():
                self._runs.finish(event.attempt_id, now, out)
            case events.EndpointFailed():
                self._runs.fail(event, now, out)
            case events.Ticked():
                self._tick(now, out)
            case events.EndpointProbed():
                self._note_probe(event, now, out)
            case events.CacheChanged():
                news = messages.CacheNews(event.stored, event.evicted)
                self._state.broadcast(news, out)
            case events.LinkOpened():
                self._open_session(event, now, out)
            case events.LinkClosed():
                self._close_session(event, now, out)
            case events.DrainRequested():
                self._drain(now, out)
            case events.StoreReplied():
                self._consume_reply(event, now, out)
            case group_events.EngineObserved() | group_events.EngineReplied():
                self._tell_ranks(event, now, out)
            case (
                events.InstancesListed()
                | events.RequestArrived()
                | events.SettingsChanged()
                | events.NotesAsked()
                | events.RequestAbandoned()
            ):
                pass
            case _:
                typing.assert_never(event)

    def _receive(
        self, event: events.MessageReceived, now: float, out: Commands
    ) -> None:
        session = self._state.sessions.find(event.session)
        if session is None:
            return
        message = event.message
        match message:
            case messages.SubmitAttempt():
                self._arrivals.submit(session, message, now, out)
            case messages.CancelAttempt():
                self._arrivals.cancel(message.attempt_id, now, out)
            case messages.QueryAttempt():
                self._arrivals.answer_query(session, message.attempt_id, out)
            case (
                messages.SettingsHead()
                | messages.SettingsWanted()
                | messages.SettingsBody()
            ):
                self._state.settings.consume_message(event, now, out)
            case messages.RelayPace(window_s):
                session.window_s = window_s
            case messages.SuspicionNews():
                self._state.suspicions.merge(message, now, out)
            case messages.NotesWanted(number, request_id):
                notes = self._state.journal.list_notes(request_id, now)
                found = messages.NotesFound(number, notes)
                out.append(commands.Send(session.instance, session.session, found))
            case (
                group_messages.QueryRanks()
                | group_messages.PrepareMap()
                | group_messages.ReleaseMap()
            ):
                received = group_events.MessageReceived(event.instance, message)
                self._tell_ranks(received, now, out)
            case _:
                pass

    def _tell_ranks(
        self, event: group_events.MemberEvent, now: float, out: Commands
    ) -> None:
        if self._ranks is not None:
            self._ranks.consume(event, now, out)

    def _consume_reply(
        self, event: events.StoreReplied, now: float, out: Commands
    ) -> None:
        purpose = self._state.operations.take(event.operation_id)
        if isinstance(purpose, grouping.RankOperation):
            if self._ranks is not None:
                self._ranks.consume_reply(purpose, event.result, now, out)
            return
        if self._drain_watch.consume_result(purpose, event.result, out):
            self._drain(now, out)
            return
        self._state.settings.consume_result(purpose, event.result, now, out)

    def _tick(self, now: float, out: Commands) -> None:
        self._runs.expire(now, out)
        self._state.suspicions.tick(now, out)
        self._state.settings.tick(now, out)
        self._drain_watch.tick(now, out)
        self._tell_ranks(group_events.Ticked(), now, out)
        if self._state.load.is_report_due(now):
            self._report(now, out)

    def _report(self, now: float, out: Commands) -> None:
        measure = self._state.queue.measure_backlog(now)
        tokens = sum(
            max(0.0, item.submit.cost_tokens - item.payloads)
            for item in self._state.running.values()
        )
        for session in self._state.sessions.list_entries():
            report = self._state.load.make_report(
                session, measure, len(self._state.running), tokens, self._state.leaving
            )
            if load.is_news(session, report, now):
                load.note_told(session, report, now)
                out.append(commands.Send(session.instance, session.session, report))
        self._state.load.note_reported(now)

    def _note_probe(
        self, event: events.EndpointProbed, now: float, out: Commands
    ) -> None:
        known = self._state.load.incarnation
        if known and event.incarnation != known:
            self._runs.lose_endpoint(now, out)
        if self._state.load.note_probe(event):
            self._report(now, out)
            if self._state.load.serving:
                out.append(
                    commands.Record(
                        catalogue.ENDPOINT_SERVING,
                        "",
                        self._state.facts.instance,
                        event.incarnation,
                    )
                )

    def _open_session(
        self, event: events.LinkOpened, now: float, out: Commands
    ) -> None:
        self._state.sessions.open(event.hello, event.session)
        self._state.settings.open_link(event, now, out)
        self._state.suspicions.open_link(event.hello.instance, event.session)
        if event.hello.role is instances.Role.ENTRY:
            linked = group_events.PeerLinked(event.hello.instance)
            self._tell_ranks(linked, now, out)
        self._report(now, out)

    def _close_session(
        self, event: events.LinkClosed, now: float, out: Commands
    ) -> None:
        session_id = event.session
        self._state.settings.close_link(event.instance, session_id, now)
        self._state.suspicions.close_link(session_id)
        self._state.sessions.close(session_id)
        if self._state.sessions.find_instance(event.instance) is None:
            unlinked = group_events.PeerUnlinked(event.instance)
            self._tell_ranks(unlinked, now, out)
        for attempt in self._state.attempts.list_session(session_id):
            if attempt.running and attempt.must_end:
                continue
            attempt_id = attempt.submit.attempt_id
            if attempt.running:
                out.append(commands.CancelCall(attempt_id))
                self._state.settle(attempt, now)
                self._state.end(attempt, "lose", out)
            else:
                self._state.queue.remove(attempt_id)
                self._state.end(attempt, "cancel", out)

    def _drain(self, now: float, out: Commands) -> None:
        if self._state.leaving:
            return
        self._state.leaving = True
        out.append(
            commands.Record(catalogue.DRAIN_STARTED, "", self._state.facts.instance, "")
        )
        effective = self._state.settings.resolve(
            self._state.facts.place,
            self._state.facts.service,
            "",
            requests.PriorityClass.STANDARD,
        )
        self._drain_until = now + effective.drain_timeout_ms / 1000.0
        self._linger_until = now + LINGER_S
        self._report(now, out)
        self._state.reject_waiting(messages.RejectReason.LEAVING, out)

    def _finish_drain(self, now: float, out: Commands) -> None:
        if not self._state.leaving or self._stopped:
            return
        if now < self._linger_until:
            return
        if self._state.running and now < self._drain_until:
            return
        self._stopped = True
        for attempt in self._state.running.values():
            out.append(
                commands.Record(
                    catalogue.DRAIN_TIMED_OUT,
                    attempt.submit.request_id,
                    attempt.instance,
                    "still running when the drain timeout passed",
                )
            )
        out.append(commands.Stop())


def make_agent_core(
    facts: AgentFacts, make_queue: collections.abc.Callable[[int], queued.Queue]
) -> AgentCore:
    """Makes the core of an agent around a queue for its number of slots."""
    return AgentCore(facts, make_queue(facts.slots))
