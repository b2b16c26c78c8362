"""Core of an agent: the only sender of work to its endpoint."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import queued
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import draining
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores import journal
from chicoryweir_policy.cores import operations
from chicoryweir_policy.cores import settings as settings_task
from chicoryweir_policy.cores import suspicions
from chicoryweir_policy.cores.agent import attempts
from chicoryweir_policy.cores.agent import grouping
from chicoryweir_policy.cores.agent import load
from chicoryweir_policy.cores.agent import sessions
from chicoryweir_policy.groups import events as group_events
from chicoryweir_policy.groups import messages as group_messages
from chicoryweir_policy.membership import instances
from chicoryweir_policy.quarantine import isolation
from chicoryweir_policy.settings import versions

_ENDPOINT_DOWN_RETRY_MS = 1000
_LEAVING_RETRY_MS = 100
_SUSPECT_RETRY_MS = 300
RUN_MARGIN = 1.15
# Entries tell their agents of a new version at once; the poll is for lost words.
SETTINGS_TIMING = versions.Timing(poll_s=10.0)
# Entries that have not heard of a drain yet still submit; they are to be refused, for a
# link that closes under an attempt leaves its end unknown.
LINGER_S = 1.0

Commands = list[commands.Command]


@dataclasses.dataclass(frozen=True, slots=True)
class AgentFacts:
    """What an agent knows of itself from its settings file.

    Attributes:
        instance: Its instance.
        place: Its place.
        service: Service of its endpoint.
        incarnation: Identifier of this process.
        slots: Attempts that the endpoint runs at once.
        group: Lock-step group of its ranks, or an empty string.
        ranks: Its ranks in that group.
    """

    instance: str
    place: str
    service: str
    incarnation: str
    slots: int
    group: str = ""
    ranks: tuple[int, ...] = ()


class AgentCore:
    """Deterministic core of an agent.

    A step costs O(log n) in the attempts of its workspace queue; a lost endpoint or a
    closed link costs O(n) in the live attempts.
    """

    def __init__(self, facts: AgentFacts, work: queued.Queue) -> None:
        self._facts = facts
        self._queue = work
        self._sessions = sessions.SessionTable()
        self._attempts = attempts.AttemptTable()
        self._operations = operations.Operations()
        self._journal = journal.Journal()
        self._drain_watch = draining.DrainWatch(facts.instance, self._operations)
        self._load = load.LoadMeter(facts.slots)
        self._settings = settings_task.SettingsTask(
            facts.instance, self._operations, SETTINGS_TIMING
        )
        self._ranks: grouping.Ranks | None = None
        if facts.group:
            self._ranks = grouping.make_ranks(
                facts.group,
                facts.ranks,
                facts.incarnation,
                self._sessions,
                self._operations,
            )
        self._running: dict[str, attempts.Attempt] = {}
        self._suspicions = suspicions.SuspicionTask()
        self._isolation = isolation.Isolation(self._suspicions.book, facts.instance)
        self._held: collections.deque[str] = collections.deque()
        self._leaving = False
        self._stopped = False
        self._drain_until = 0.0
        self._linger_until = 0.0

    @property
    def settings_version(self) -> int:
        """Version of the settings in force here; 0 for none."""
        return self._settings.version

    def step(self, event: events.Event, now: float) -> Commands:
        """Consumes one event and returns the commands that follow from it."""
        out: Commands = []
        self._dispatch(event, now, out)
        self._pump(now, out)
        self._finish_drain(now, out)
        return out

    def _dispatch(  # noqa: C901 - one branch for each kind of event
        self, event: events.Event, now: float, out: Commands
    ) -> None:
        match event:
            case events.MessageReceived():
                self._receive(event, now, out)
            case events.EndpointSent():
                self._relay(event, now, out)
            case events.EndpointAnswered():
                self._relay_head(event, out)
            case events.EndpointFinished():
                self._finish(event.attempt_id, now, out)
            case events.EndpointFailed():
                self._fail(event, now, out)
            case events.Ticked():
                self._tick(now, out)
            case events.EndpointProbed():
                self._note_probe(event, now, out)
            case events.CacheChanged():
                news = messages.CacheNews(event.stored, event.evicted)
                self._broadcast(news, out)
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
        session = self._sessions.find(event.session)
        if session is None:
            return
        message = event.message
        match message:
            case messages.SubmitAttempt():
                self._submit(session, message, now, out)
            case messages.CancelAttempt():
                self._cancel(message.attempt_id, now, out)
            case messages.QueryAttempt():
                self._answer_query(session, message.attempt_id, out)
            case (
                messages.SettingsHead()
                | messages.SettingsWanted()
                | messages.SettingsBody()
            ):
                self._settings.consume_message(event, now, out)
            case messages.RelayPace(window_s):
                session.window_s = window_s
            case messages.SuspicionNews():
                self._suspicions.merge(message, now, out)
            case messages.NotesWanted(number, request_id):
                notes = self._journal.list_notes(request_id, now)
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
        purpose = self._operations.take(event.operation_id)
        if isinstance(purpose, grouping.RankOperation):
            if self._ranks is not None:
                self._ranks.consume_reply(purpose, event.result, now, out)
            return
        if self._drain_watch.consume_result(purpose, event.result, out):
            self._drain(now, out)
            return
        self._settings.consume_result(purpose, event.result, now, out)

    def _submit(
        self,
        session: sessions.Session,
        submit: messages.SubmitAttempt,
        now: float,
        out: Commands,
    ) -> None:
        session.acknowledged = max(session.acknowledged, submit.sequence)
        if self._attempts.is_known(submit.attempt_id):
            return
        reason = self._find_refusal(session, submit)
        if reason is not None:
            self._reject(session, submit.attempt_id, reason, self._hint(reason), out)
            return
        run_s = RUN_MARGIN * self._load.estimate_run(submit.cost_tokens)
        wait_s = self._predict_wait(submit, now)
        if wait_s + run_s > submit.deadline_in_s:
            reason = messages.RejectReason.INFEASIBLE
            late_s = wait_s + run_s - submit.deadline_in_s
            hint_ms = delay.compute_retry_after_ms(submit.request_id, late_s)
            self._reject(session, submit.attempt_id, reason, hint_ms, out)
            return
        effective = self._settings.resolve(
            self._facts.place, self._facts.service, submit.workspace, submit.priority
        )
        of_class = self._settings.resolve(
            self._facts.place, self._facts.service, "", submit.priority
        )
        attempt = attempts.Attempt(
            submit, session.session, session.instance, now + submit.deadline_in_s
        )
        entry = queued.Queued(
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
        self._attempts.add(attempt)
        self._journal.note(
            submit.request_id,
            now,
            "queue",
            f"{len(self._queue)} waiting, {len(self._running)} running,"
            f" weight {effective.weight:g}, settings version {self._settings.version}",
        )
        self._enqueue(entry, now, out)

    def _predict_wait(self, submit: messages.SubmitAttempt, now: float) -> float:
        if len(self._running) < self._facts.slots and not len(self._queue):
            return 0.0
        return self._queue.predict_wait(submit.workspace, submit.priority, now)

    def _enqueue(self, entry: queued.Queued, now: float, out: Commands) -> None:
        outcome = self._queue.push(entry, now)
        match outcome:
            case queued.Accepted():
                lost = outcome.evicted
            case queued.Rejected():
                lost = (outcome,)
            case _:
                typing.assert_never(outcome)
        for rejected in lost:
            self._reject_attempt(
                rejected.entry.attempt_id,
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
        if self._leaving:
            return messages.RejectReason.LEAVING
        if not self._load.serving or not self._settings.is_ready:
            return messages.RejectReason.ENDPOINT_DOWN
        return None

    def _hint(self, reason: messages.RejectReason) -> int:
        hints = {
            messages.RejectReason.LEAVING: _LEAVING_RETRY_MS,
            messages.RejectReason.ENDPOINT_DOWN: _ENDPOINT_DOWN_RETRY_MS,
            messages.RejectReason.SUSPECT: _SUSPECT_RETRY_MS,
        }
        return hints.get(reason, 0)

    def _reject(
        self,
        session: sessions.Session,
        attempt_id: str,
        reason: messages.RejectReason,
        retry_after_ms: int,
        out: Commands,
    ) -> None:
        session.tombstones.add(attempt_id)
        rejected = messages.AttemptRejected(attempt_id, reason, retry_after_ms)
        out.append(commands.Send(session.instance, session.session, rejected))

    def _reject_attempt(
        self,
        attempt_id: str,
        reason: messages.RejectReason,
        retry_after_ms: int,
        out: Commands,
    ) -> None:
        """Rejects an attempt that was accepted and has not started."""
        attempt = self._attempts.find(attempt_id)
        if attempt is None:
            return
        if attempt.running:
            out.append(self._record_violation(attempt, "rejected while it runs"))
            return
        self._end(attempt, "refuse", out)
        rejected = messages.AttemptRejected(attempt_id, reason, retry_after_ms)
        out.append(commands.Send(attempt.instance, attempt.session, rejected))

    def _record_violation(
        self, attempt: attempts.Attempt, detail: str
    ) -> commands.Record:
        return commands.Record(
            catalogue.INVARIANT_VIOLATED,
            attempt.submit.request_id,
            attempt.instance,
            detail,
        )

    def _end(self, attempt: attempts.Attempt, event: str, out: Commands) -> None:
        """Ends an attempt by an event of its chart."""
        attempt_id = attempt.submit.attempt_id
        if not self._attempts.end(attempt, event):
            detail = f"{event} in state {attempt.state}"
            out.append(self._record_violation(attempt, detail))
        if self._running.pop(attempt_id, None) is not None:
            self._isolation.forget(attempt_id)

    def _cancel(self, attempt_id: str, now: float, out: Commands) -> None:
        attempt = self._attempts.find(attempt_id)
        if attempt is None:
            if not self._attempts.is_known(attempt_id):
                self._sessions.bury(attempt_id)
            return
        if not attempt.running:
            self._queue.remove(attempt_id)
            reason = messages.RejectReason.CANCELLED
            self._reject_attempt(attempt_id, reason, 0, out)
            return
        if attempt.must_end:
            return
        out.append(commands.CancelCall(attempt_id))
        self._settle(attempt, now)
        self._end(attempt, "lose", out)
        failed = messages.AttemptFailed(
            attempt_id, messages.FailureKind.CANCELLED, "cancelled by the entry"
        )
        out.append(commands.Send(attempt.instance, attempt.session, failed))

    def _answer_query(
        self, session: sessions.Session, attempt_id: str, out: Commands
    ) -> None:
        state = self._attempts.describe(attempt_id)
        if state is None:
            self._sessions.bury(attempt_id)
            state = messages.AttemptState.TOMBSTONED
        status = messages.AttemptStatus(attempt_id, state)
        out.append(commands.Send(session.instance, session.session, status))

    def _pump(self, now: float, out: Commands) -> None:
        for attempt_id in [self._held.popleft() for _ in range(len(self._held))]:
            self._try_start(attempt_id, now, out)
        while len(self._running) < self._facts.slots and self._load.serving:
            entry = self._queue.pop(now)
            if entry is None:
                return
            self._try_start(entry.attempt_id, now, out)

    def _try_start(self, attempt_id: str, now: float, out: Commands) -> None:
        """Starts an attempt unless its content must wait or may not run here."""
        attempt = self._attempts.find(attempt_id)
        if attempt is None or attempt.running:
            return
        if len(self._running) >= self._facts.slots or not self._load.serving:
            self._held.append(attempt_id)
            return
        submit = attempt.submit
        decided = self._isolation.decide_start(submit.fingerprint, submit.suspect, now)
        match decided:
            case isolation.Start():
                self._start(attempt, now, out)
            case isolation.Hold():
                self._held.append(attempt_id)
            case isolation.Refuse():
                reason = messages.RejectReason.SUSPECT
                self._reject_attempt(attempt_id, reason, _SUSPECT_RETRY_MS, out)
            case _:
                typing.assert_never(decided)

    def _start(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        submit = attempt.submit
        if not self._attempts.start(attempt, now):
            reason = messages.RejectReason.TOMBSTONED
            out.append(self._record_violation(attempt, "its key was sent before"))
            self._reject_attempt(submit.attempt_id, reason, 0, out)
            return
        self._running[submit.attempt_id] = attempt
        self._isolation.note_started(submit.attempt_id, submit.fingerprint)
        self._journal.note(submit.request_id, now, "endpoint", "sent")
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

    def _relay_head(self, event: events.EndpointAnswered, out: Commands) -> None:
        attempt = self._running.get(event.attempt_id)
        if attempt is None:
            return
        head = messages.AttemptHead(
            event.attempt_id, event.status, event.content_type, event.mode
        )
        out.append(commands.Send(attempt.instance, attempt.session, head))

    def _relay(self, event: events.EndpointSent, now: float, out: Commands) -> None:
        attempt = self._running.get(event.attempt_id)
        if attempt is None:
            return
        attempt.held.extend(event.payloads)
        self._relay_due(attempt, now, out)

    def _relay_due(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        """Sends what is held back, unless the entry wants more of it together."""
        session = self._sessions.find(attempt.session)
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

    def _settle(self, attempt: attempts.Attempt, now: float) -> None:
        submit = attempt.submit
        correction = self._load.note_end(attempt, now)
        self._queue.set_speed(self._load.tokens_per_s)
        self._queue.note_served(submit.workspace, submit.priority, correction, now)

    def _finish(self, attempt_id: str, now: float, out: Commands) -> None:
        attempt = self._running.get(attempt_id)
        if attempt is None:
            return
        self._relay_held(attempt, now, out)
        self._settle(attempt, now)
        self._isolation.note_ended(attempt_id, True, now)
        self._end(attempt, "finish", out)
        self._journal.note(
            attempt.submit.request_id, now, "endpoint", f"{attempt.payloads} pieces"
        )
        finished = messages.AttemptFinished(
            attempt_id, attempt.chunks, attempt.digest.compute(), attempt.payloads
        )
        out.append(commands.Send(attempt.instance, attempt.session, finished))

    def _fail(self, event: events.EndpointFailed, now: float, out: Commands) -> None:
        attempt = self._running.get(event.attempt_id)
        if event.lost:
            self._lose_endpoint(now, out)
            attempt = self._running.get(event.attempt_id)
        if attempt is None:
            return
        self._relay_held(attempt, now, out)
        self._settle(attempt, now)
        if not event.sent:
            self._end(attempt, "unsent", out)
            reason = messages.RejectReason.ENDPOINT_DOWN
            rejected = messages.AttemptRejected(
                event.attempt_id, reason, _ENDPOINT_DOWN_RETRY_MS
            )
            out.append(commands.Send(attempt.instance, attempt.session, rejected))
            return
        self._end(attempt, "fail", out)
        failed = messages.AttemptFailed(
            event.attempt_id, messages.FailureKind.ENDPOINT_ERROR, event.detail
        )
        out.append(commands.Send(attempt.instance, attempt.session, failed))

    def _lose_endpoint(self, now: float, out: Commands) -> None:
        """Fails what ran on the endpoint and gives back what waited for it."""
        if not self._load.serving:
            return
        incarnation = self._load.incarnation
        self._load.note_lost()
        self._isolation.note_lost(incarnation, now)
        running = list(self._running.values())
        fingerprints = tuple(sorted({item.submit.fingerprint for item in running}))
        lost = messages.EndpointLost(self._facts.instance, incarnation, fingerprints)
        self._broadcast(lost, out)
        self._suspicions.spread(now, out)
        out.append(
            commands.Record(
                catalogue.ENDPOINT_LOST, "", self._facts.instance, incarnation
            )
        )
        for attempt in running:
            self._fail_lost(attempt, now, out)
        self._reject_waiting(messages.RejectReason.ENDPOINT_DOWN, out)

    def _fail_lost(self, attempt: attempts.Attempt, now: float, out: Commands) -> None:
        attempt_id = attempt.submit.attempt_id
        self._relay_held(attempt, now, out)
        self._settle(attempt, now)
        self._end(attempt, "lose", out)
        out.append(commands.CancelCall(attempt_id))
        failed = messages.AttemptFailed(
            attempt_id, messages.FailureKind.ENDPOINT_LOST, "endpoint died"
        )
        out.append(commands.Send(attempt.instance, attempt.session, failed))

    def _reject_waiting(self, reason: messages.RejectReason, out: Commands) -> None:
        for attempt in self._attempts.list_waiting():
            attempt_id = attempt.submit.attempt_id
            self._queue.remove(attempt_id)
            self._reject_attempt(attempt_id, reason, self._hint(reason), out)

    def _tick(self, now: float, out: Commands) -> None:
        self._expire(now, out)
        for attempt in self._running.values():
            if attempt.held:
                self._relay_due(attempt, now, out)
        self._suspicions.tick(now, out)
        self._settings.tick(now, out)
        self._drain_watch.tick(now, out)
        self._tell_ranks(group_events.Ticked(), now, out)
        if self._load.is_report_due(now):
            self._report(now, out)

    def _expire(self, now: float, out: Commands) -> None:
        overdue = [expired.attempt_id for expired in self._queue.expire(now)]
        for attempt_id in self._held:
            held = self._attempts.find(attempt_id)
            if held is not None and held.deadline_at < now:
                overdue.append(attempt_id)
        reason = messages.RejectReason.EXPIRED
        for attempt_id in overdue:
            self._reject_attempt(attempt_id, reason, 0, out)

    def _report(self, now: float, out: Commands) -> None:
        measure = self._queue.measure(now)
        tokens = sum(
            max(0.0, item.submit.cost_tokens - item.payloads)
            for item in self._running.values()
        )
        for session in self._sessions.list_entries():
            report = self._load.make_report(
                session, measure, len(self._running), tokens, self._leaving
            )
            if load.is_news(session, report, now):
                load.note_told(session, report, now)
                out.append(commands.Send(session.instance, session.session, report))
        self._load.note_reported(now)

    def _note_probe(
        self, event: events.EndpointProbed, now: float, out: Commands
    ) -> None:
        known = self._load.incarnation
        if known and event.incarnation != known:
            self._lose_endpoint(now, out)
        if self._load.note_probe(event):
            self._report(now, out)
            if self._load.serving:
                out.append(
                    commands.Record(
                        catalogue.ENDPOINT_SERVING,
                        "",
                        self._facts.instance,
                        event.incarnation,
                    )
                )

    def _open_session(
        self, event: events.LinkOpened, now: float, out: Commands
    ) -> None:
        self._sessions.open(event.hello, event.session)
        self._settings.open_link(event, now, out)
        self._suspicions.open_link(event.hello.instance, event.session)
        if event.hello.role is instances.Role.ENTRY:
            linked = group_events.PeerLinked(event.hello.instance)
            self._tell_ranks(linked, now, out)
        self._report(now, out)

    def _close_session(
        self, event: events.LinkClosed, now: float, out: Commands
    ) -> None:
        session_id = event.session
        self._settings.close_link(event.instance, session_id, now)
        self._suspicions.close_link(session_id)
        self._sessions.close(session_id)
        if self._sessions.find_instance(event.instance) is None:
            unlinked = group_events.PeerUnlinked(event.instance)
            self._tell_ranks(unlinked, now, out)
        for attempt in self._attempts.list_session(session_id):
            if attempt.running and attempt.must_end:
                continue
            attempt_id = attempt.submit.attempt_id
            if attempt.running:
                out.append(commands.CancelCall(attempt_id))
                self._settle(attempt, now)
                self._end(attempt, "lose", out)
            else:
                self._queue.remove(attempt_id)
                self._end(attempt, "cancel", out)

    def _drain(self, now: float, out: Commands) -> None:
        if self._leaving:
            return
        self._leaving = True
        out.append(
            commands.Record(catalogue.DRAIN_STARTED, "", self._facts.instance, "")
        )
        effective = self._settings.resolve(
            self._facts.place,
            self._facts.service,
            "",
            requests.PriorityClass.STANDARD,
        )
        self._drain_until = now + effective.drain_timeout_ms / 1000.0
        self._linger_until = now + LINGER_S
        self._report(now, out)
        self._reject_waiting(messages.RejectReason.LEAVING, out)

    def _finish_drain(self, now: float, out: Commands) -> None:
        if not self._leaving or self._stopped:
            return
        if now < self._linger_until:
            return
        if self._running and now < self._drain_until:
            return
        self._stopped = True
        for attempt in self._running.values():
            out.append(
                commands.Record(
                    catalogue.DRAIN_TIMED_OUT,
                    attempt.submit.request_id,
                    attempt.instance,
                    "still running when the drain timeout passed",
                )
            )
        out.append(commands.Stop())

    def _broadcast(self, message: messages.Message, out: Commands) -> None:
        out.extend(
            commands.Send(session.instance, session.session, message)
            for session in self._sessions.list_entries()
        )


def make_agent_core(
    facts: AgentFacts, make_queue: collections.abc.Callable[[int], queued.Queue]
) -> AgentCore:
    """Makes the core of an agent around a queue for its number of slots."""
    return AgentCore(facts, make_queue(facts.slots))
