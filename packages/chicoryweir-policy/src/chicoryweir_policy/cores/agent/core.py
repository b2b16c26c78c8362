"""Core of an agent. Only the agent sends requests to its endpoint."""

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
from chicoryweir_policy.cores.agent import attempt_messages
from chicoryweir_policy.cores.agent import attempt_runner
from chicoryweir_policy.cores.agent import group_member
from chicoryweir_policy.cores.agent import load
from chicoryweir_policy.cores.agent import state as agent_state
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.groups import messages as group_messages
from chicoryweir_policy.membership import instances

# Minimum time between the start of a drain and the stop of the process. Entries that
# have not yet received the load report of the drain still submit attempts. The agent
# must reject these: if it closed the link instead, their outcome would be unknown.
MIN_DRAIN_S = 1.0

AgentConfig = agent_state.AgentConfig
Commands = agent_state.Commands


class AgentCore:
    """Deterministic core of an agent.

    Handling an event takes O(log n) time for n queued attempts of its workspace; the
    loss of the endpoint or of a link takes O(n) time for n live attempts.
    """

    def __init__(self, config: AgentConfig, queue: queued.Queue) -> None:
        self._state = state = agent_state.AgentState(config, queue)
        self._attempt_messages = attempt_messages.AttemptMessageHandler(state)
        self._runner = attempt_runner.AttemptRunner(state)
        self._drain_watch = draining.DrainWatch(config.instance, state.operations)
        self._group_member: group_member.GroupMember | None = None
        if config.group:
            self._group_member = group_member.make_group_member(
                config.group,
                config.ranks,
                config.incarnation,
                state.sessions,
                state.operations,
            )
        self._stopped = False
        self._drain_deadline_at = 0.0
        self._earliest_stop_at = 0.0

    @property
    def settings_version(self) -> int:
        """Version of the settings in force on this agent; 0 if none."""
        return self._state.settings.version

    def step(self, event: events.Event, now: float) -> Commands:
        """Handles one event and returns the resulting commands, in order."""
        out: Commands = []
        self._handle_event(event, now, out)
        if len(self._state.queue) and self._state.is_evacuated:
            self._state.reject_queued(messages.RejectReason.LEAVING, out)
        self._runner.start_queued(now, out)
        self._finish_drain(now, out)
        return out

    def _handle_event(  # noqa: C901 - one branch for each kind of event
        self, event: events.Event, now: float, out: Commands
    ) -> None:
        match event:
            case events.MessageReceived():
                self._handle_message(event, now, out)
            case events.EndpointPayloadsReceived():
                self._runner.relay(event, now, out)
            case events.EndpointAnswerStarted():
                self._runner.relay_head(event, out)
            case events.EndpointFinished():
                self._runner.finish(event.attempt_id, now, out)
            case events.EndpointFailed():
                self._runner.fail(event, now, out)
            case events.Ticked():
                self._tick(now, out)
            case events.EndpointProbed():
                self._handle_probe(event, now, out)
            case events.CacheChanged():
                update = messages.CacheNews(event.stored, event.evicted)
                self._state.broadcast(update, out)
            case events.LinkOpened():
                self._open_session(event, now, out)
            case events.LinkClosed():
                self._close_session(event, now, out)
            case events.DrainRequested():
                self._start_drain(now, out)
            case events.StoreReplied():
                self._handle_reply(event, now, out)
            case group_events.EngineObserved() | group_events.EngineReplied():
                self._notify_group_member(event, now, out)
            case (
                events.InstancesListed()
                | events.RequestArrived()
                | events.SettingsChanged()
                | events.NotesRequested()
                | events.RequestAbandoned()
            ):
                pass
            case _:
                typing.assert_never(event)

    def _handle_message(
        self, event: events.MessageReceived, now: float, out: Commands
    ) -> None:
        session = self._state.sessions.find(event.session_id)
        if session is None:
            return
        message = event.message
        match message:
            case messages.SubmitAttempt():
                self._attempt_messages.submit(session, message, now, out)
            case messages.CancelAttempt():
                self._attempt_messages.cancel(message.attempt_id, now, out)
            case messages.QueryAttempt():
                self._attempt_messages.answer_query(session, message.attempt_id, out)
            case (
                messages.SettingsHead()
                | messages.SettingsWanted()
                | messages.SettingsBody()
            ):
                self._state.settings.handle_message(event, now, out)
            case messages.RelayPace(window_s):
                session.window_s = window_s
            case messages.SuspicionNews():
                self._state.suspicions.merge(message, now, out)
            case messages.NotesWanted(number, request_id):
                notes = self._state.request_log.list_notes(request_id, now)
                reply = messages.NotesFound(number, notes)
                out.append(commands.Send(session.instance, session.session_id, reply))
            case (
                group_messages.QueryRanks()
                | group_messages.PrepareMap()
                | group_messages.ReleaseMap()
            ):
                received = group_events.MessageReceived(event.instance, message)
                self._notify_group_member(received, now, out)
            case _:
                pass

    def _notify_group_member(
        self, event: group_events.MemberEvent, now: float, out: Commands
    ) -> None:
        if self._group_member is not None:
            self._group_member.handle_event(event, now, out)

    def _handle_reply(
        self, event: events.StoreReplied, now: float, out: Commands
    ) -> None:
        purpose = self._state.operations.pop_purpose(event.operation_id)
        if isinstance(purpose, group_member.MemberOperation):
            if self._group_member is not None:
                self._group_member.handle_reply(purpose, event.result, now, out)
            return
        if self._drain_watch.handle_reply(purpose, event.result, out):
            self._start_drain(now, out)
            return
        self._state.settings.handle_reply(purpose, event.result, now, out)

    def _tick(self, now: float, out: Commands) -> None:
        self._runner.expire(now, out)
        self._state.suspicions.tick(now, out)
        self._state.settings.tick(now, out)
        self._drain_watch.tick(now, out)
        self._notify_group_member(group_events.Ticked(), now, out)
        if self._state.load.is_report_due(now):
            self._send_load_reports(now, out)

    def _send_load_reports(self, now: float, out: Commands) -> None:
        class_backlogs = self._state.queue.measure_backlog(now)
        running_tokens = sum(
            max(0.0, attempt.submit.cost_tokens - attempt.payload_count)
            for attempt in self._state.running.values()
        )
        for session in self._state.sessions.list_entries():
            report = self._state.load.make_report(
                session,
                class_backlogs,
                len(self._state.running),
                running_tokens,
                self._state.draining,
            )
            if load.is_report_needed(session, report, now):
                load.record_sent_report(session, report, now)
                out.append(commands.Send(session.instance, session.session_id, report))
        self._state.load.record_report_time(now)

    def _handle_probe(
        self, event: events.EndpointProbed, now: float, out: Commands
    ) -> None:
        last_incarnation = self._state.load.incarnation
        if last_incarnation and event.incarnation != last_incarnation:
            self._runner.handle_endpoint_loss(now, out)
        if self._state.load.record_probe(event):
            self._send_load_reports(now, out)
            if self._state.load.serving:
                out.append(
                    commands.LogEvent(
                        catalogue.ENDPOINT_SERVING,
                        "",
                        self._state.config.instance,
                        event.incarnation,
                    )
                )

    def _open_session(
        self, event: events.LinkOpened, now: float, out: Commands
    ) -> None:
        self._state.sessions.open(event.hello, event.session_id)
        self._state.settings.open_link(event, now, out)
        self._state.suspicions.open_link(event.hello.instance, event.session_id)
        if event.hello.role is instances.Role.ENTRY:
            linked = group_events.PeerLinked(event.hello.instance)
            self._notify_group_member(linked, now, out)
        self._send_load_reports(now, out)

    def _close_session(
        self, event: events.LinkClosed, now: float, out: Commands
    ) -> None:
        session_id = event.session_id
        self._state.settings.close_link(event.instance, session_id, now)
        self._state.suspicions.close_link(session_id)
        self._state.sessions.close(session_id)
        if self._state.sessions.find_instance(event.instance) is None:
            unlinked = group_events.PeerUnlinked(event.instance)
            self._notify_group_member(unlinked, now, out)
        for attempt in self._state.attempts.list_by_session(session_id):
            if attempt.running and attempt.must_complete:
                continue
            attempt_id = attempt.submit.attempt_id
            if attempt.running:
                out.append(commands.CancelCall(attempt_id))
                self._state.record_usage(attempt, now)
                self._state.end_attempt(attempt, "lose", out)
            else:
                self._state.queue.remove(attempt_id)
                self._state.end_attempt(attempt, "cancel", out)

    def _start_drain(self, now: float, out: Commands) -> None:
        if self._state.draining:
            return
        self._state.draining = True
        out.append(
            commands.LogEvent(
                catalogue.DRAIN_STARTED, "", self._state.config.instance, ""
            )
        )
        effective = self._state.settings.resolve(
            self._state.config.data_centre,
            self._state.config.service,
            "",
            requests.PriorityClass.STANDARD,
        )
        self._drain_deadline_at = now + effective.drain_timeout_ms / 1000.0
        self._earliest_stop_at = now + MIN_DRAIN_S
        self._send_load_reports(now, out)
        self._state.reject_queued(messages.RejectReason.LEAVING, out)

    def _finish_drain(self, now: float, out: Commands) -> None:
        if not self._state.draining or self._stopped:
            return
        if now < self._earliest_stop_at:
            return
        if self._state.running and now < self._drain_deadline_at:
            return
        self._stopped = True
        for attempt in self._state.running.values():
            out.append(
                commands.LogEvent(
                    catalogue.DRAIN_TIMED_OUT,
                    attempt.submit.request_id,
                    attempt.instance,
                    "still running when the drain timeout passed",
                )
            )
        out.append(commands.Stop())


def make_agent_core(
    config: AgentConfig, make_queue: collections.abc.Callable[[int], queued.Queue]
) -> AgentCore:
    """Creates the core of an agent, with a queue made for its number of slots."""
    return AgentCore(config, make_queue(config.slots))
