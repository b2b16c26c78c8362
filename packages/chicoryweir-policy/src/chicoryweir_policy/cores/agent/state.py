"""State shared by the parts of an agent's core."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.admission import queued
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import operations
from chicoryweir_policy.cores import request_log
from chicoryweir_policy.cores import settings as core_settings
from chicoryweir_policy.cores import suspicions
from chicoryweir_policy.cores.agent import attempts
from chicoryweir_policy.cores.agent import load
from chicoryweir_policy.cores.agent import sessions
from chicoryweir_policy.quarantine import isolation
from chicoryweir_policy.settings import versions

ENDPOINT_DOWN_RETRY_AFTER_MS = 1000
LEAVING_RETRY_AFTER_MS = 100
SUSPECT_RETRY_AFTER_MS = 300
# Entries announce a new version to their agents at once; polling is needed only if an
# announcement is lost.
SETTINGS_TIMING = versions.Timing(poll_s=10.0)

Commands = list[commands.Command]


@dataclasses.dataclass(frozen=True, slots=True)
class AgentConfig:
    """Configuration of an agent from its settings file, and its process identifier.

    Attributes:
        instance: Instance name.
        data_centre: Data centre.
        service: Service of the endpoint.
        incarnation: Identifier of the agent's process.
        slots: Number of attempts that the endpoint runs concurrently.
        group: Lock-step group of the agent's ranks, or an empty string.
        ranks: The agent's ranks in that group.
    """

    instance: str
    data_centre: str
    service: str
    incarnation: str
    slots: int
    group: str = ""
    ranks: tuple[int, ...] = ()


class AgentState:
    """State shared by the parts of an agent's core, which runs in a single task."""

    def __init__(self, config: AgentConfig, queue: queued.Queue) -> None:
        self.config = config
        self.queue = queue
        self.sessions = sessions.SessionTable()
        self.attempts = attempts.AttemptTable()
        self.running: dict[str, attempts.Attempt] = {}
        self.operations = operations.PendingOperations()
        self.request_log = request_log.RequestLog()
        self.load = load.LoadMeter(config.slots)
        self.settings = core_settings.SettingsManager(
            config.instance, self.operations, SETTINGS_TIMING
        )
        self.suspicions = suspicions.SuspicionExchange()
        self.isolation = isolation.Isolation(self.suspicions.tracker, config.instance)
        self.draining = False

    @property
    def is_evacuated(self) -> bool:
        """Whether the settings in force evacuate this agent's data centre."""
        return self.settings.resolve(
            self.config.data_centre, "", "", requests.PriorityClass.STANDARD
        ).evacuated

    def get_retry_after_ms(self, reason: messages.RejectReason) -> int:
        """Returns the delay before a retry, in milliseconds; 0 if none is set."""
        delays_ms = {
            messages.RejectReason.LEAVING: LEAVING_RETRY_AFTER_MS,
            messages.RejectReason.ENDPOINT_DOWN: ENDPOINT_DOWN_RETRY_AFTER_MS,
            messages.RejectReason.SUSPECT: SUSPECT_RETRY_AFTER_MS,
        }
        return delays_ms.get(reason, 0)

    def reject_attempt(
        self,
        attempt_id: str,
        reason: messages.RejectReason,
        retry_after_ms: int,
        out: Commands,
    ) -> None:
        """Rejects a queued attempt; logs a violation if it is already running."""
        attempt = self.attempts.find(attempt_id)
        if attempt is None:
            return
        if attempt.running:
            out.append(self.make_violation_event(attempt, "rejected while it runs"))
            return
        self.end_attempt(attempt, "refuse", out)
        rejected = messages.AttemptRejected(attempt_id, reason, retry_after_ms)
        out.append(commands.Send(attempt.instance, attempt.session_id, rejected))

    def make_violation_event(
        self, attempt: attempts.Attempt, detail: str
    ) -> commands.LogEvent:
        """Returns the log event for a violated invariant."""
        return commands.LogEvent(
            catalogue.INVARIANT_VIOLATED,
            attempt.submit.request_id,
            attempt.instance,
            detail,
        )

    def end_attempt(self, attempt: attempts.Attempt, event: str, out: Commands) -> None:
        """Ends an attempt by an event of its chart; logs an event it does not allow."""
        attempt_id = attempt.submit.attempt_id
        if not self.attempts.end(attempt, event):
            detail = f"{event} in state {attempt.state}"
            out.append(self.make_violation_event(attempt, detail))
        if self.running.pop(attempt_id, None) is not None:
            self.isolation.discard(attempt_id)

    def record_usage(self, attempt: attempts.Attempt, now: float) -> None:
        """Updates the speed estimate and corrects the workspace's cost in the queue."""
        submit = attempt.submit
        excess_tokens = self.load.record_end(attempt, now)
        self.queue.set_speed(self.load.tokens_per_s)
        self.queue.correct_cost(submit.workspace, submit.priority, excess_tokens, now)

    def reject_queued(self, reason: messages.RejectReason, out: Commands) -> None:
        """Rejects every queued attempt."""
        for attempt in self.attempts.list_queued():
            attempt_id = attempt.submit.attempt_id
            self.queue.remove(attempt_id)
            self.reject_attempt(
                attempt_id, reason, self.get_retry_after_ms(reason), out
            )

    def broadcast(self, message: messages.Message, out: Commands) -> None:
        """Sends a message to every linked entry."""
        out.extend(
            commands.Send(session.instance, session.session_id, message)
            for session in self.sessions.list_entries()
        )
