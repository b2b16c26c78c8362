"""State that the parts of an agent's core share."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy.admission import queued
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import journal
from chicoryweir_policy.cores import operations
from chicoryweir_policy.cores import settings as settings_task
from chicoryweir_policy.cores import suspicions
from chicoryweir_policy.cores.agent import attempts
from chicoryweir_policy.cores.agent import load
from chicoryweir_policy.cores.agent import sessions
from chicoryweir_policy.quarantine import isolation
from chicoryweir_policy.settings import versions

ENDPOINT_DOWN_RETRY_MS = 1000
LEAVING_RETRY_MS = 100
SUSPECT_RETRY_MS = 300
# Entries tell their agents of a new version at once; the poll is for lost words.
SETTINGS_TIMING = versions.Timing(poll_s=10.0)

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


class AgentState:
    """Shared state of an agent's core, owned by its one task."""

    def __init__(self, facts: AgentFacts, work: queued.Queue) -> None:
        self.facts = facts
        self.queue = work
        self.sessions = sessions.SessionTable()
        self.attempts = attempts.AttemptTable()
        self.running: dict[str, attempts.Attempt] = {}
        self.operations = operations.Operations()
        self.journal = journal.Journal()
        self.load = load.LoadMeter(facts.slots)
        self.settings = settings_task.SettingsTask(
            facts.instance, self.operations, SETTINGS_TIMING
        )
        self.suspicions = suspicions.SuspicionTask()
        self.isolation = isolation.Isolation(self.suspicions.book, facts.instance)
        self.leaving = False

    def hint(self, reason: messages.RejectReason) -> int:
        """Returns when coming back helps, in milliseconds; 0 when not known."""
        hints = {
            messages.RejectReason.LEAVING: LEAVING_RETRY_MS,
            messages.RejectReason.ENDPOINT_DOWN: ENDPOINT_DOWN_RETRY_MS,
            messages.RejectReason.SUSPECT: SUSPECT_RETRY_MS,
        }
        return hints.get(reason, 0)

    def reject_attempt(
        self,
        attempt_id: str,
        reason: messages.RejectReason,
        retry_after_ms: int,
        out: Commands,
    ) -> None:
        """Rejects an attempt that was accepted and has not started."""
        attempt = self.attempts.find(attempt_id)
        if attempt is None:
            return
        if attempt.running:
            out.append(self.record_violation(attempt, "rejected while it runs"))
            return
        self.end(attempt, "refuse", out)
        rejected = messages.AttemptRejected(attempt_id, reason, retry_after_ms)
        out.append(commands.Send(attempt.instance, attempt.session, rejected))

    def record_violation(
        self, attempt: attempts.Attempt, detail: str
    ) -> commands.Record:
        """Returns the log event of an act that would break a guarantee."""
        return commands.Record(
            catalogue.INVARIANT_VIOLATED,
            attempt.submit.request_id,
            attempt.instance,
            detail,
        )

    def end(self, attempt: attempts.Attempt, event: str, out: Commands) -> None:
        """Ends an attempt by an event of its chart."""
        attempt_id = attempt.submit.attempt_id
        if not self.attempts.end(attempt, event):
            detail = f"{event} in state {attempt.state}"
            out.append(self.record_violation(attempt, detail))
        if self.running.pop(attempt_id, None) is not None:
            self.isolation.discard(attempt_id)

    def settle(self, attempt: attempts.Attempt, now: float) -> None:
        """Corrects the books by what an attempt used."""
        submit = attempt.submit
        correction = self.load.note_end(attempt, now)
        self.queue.set_speed(self.load.tokens_per_s)
        self.queue.correct_cost(submit.workspace, submit.priority, correction, now)

    def reject_waiting(self, reason: messages.RejectReason, out: Commands) -> None:
        """Rejects every attempt that waits."""
        for attempt in self.attempts.list_waiting():
            attempt_id = attempt.submit.attempt_id
            self.queue.remove(attempt_id)
            self.reject_attempt(attempt_id, reason, self.hint(reason), out)

    def broadcast(self, message: messages.Message, out: Commands) -> None:
        """Sends a message to every linked entry."""
        out.extend(
            commands.Send(session.instance, session.session, message)
            for session in self.sessions.list_entries()
        )
