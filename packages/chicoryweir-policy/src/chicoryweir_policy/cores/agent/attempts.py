"""Table of the attempts submitted to an agent."""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy import answers
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.charts import interpreter

CHART = interpreter.load_chart("attempt")
MAX_ENDED_ATTEMPTS = 20_000  # also the maximum number of at-most-once keys
_RUNNING_STATES = frozenset({"running", "cancelling"})
_NO_KEY = ("", "")
_MESSAGE_STATES = {
    "queued": messages.AttemptState.QUEUED,
    "running": messages.AttemptState.RUNNING,
    "cancelling": messages.AttemptState.RUNNING,
    "tombstoned": messages.AttemptState.TOMBSTONED,
    "finished": messages.AttemptState.FINISHED,
    "failed": messages.AttemptState.UNKNOWN,
    "unknown": messages.AttemptState.UNKNOWN,
}


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt that has not ended, with the progress of its answer.

    Attributes:
        submit: Message that submitted the attempt.
        session_id: Session on which that message arrived.
        instance: Entry that submitted the attempt.
        deadline_at: Deadline by this agent's clock, in monotonic seconds.
        state: State in the chart `attempt`.
        started_at: When the endpoint was called, in monotonic seconds.
        chunk_count: Number of chunks sent to the entry.
        payload_count: Number of payloads sent to the entry.
        digest: Digest of the payloads sent to the entry.
        buffered: Payloads to send with the next chunk.
        buffered_bytes: Size of these payloads, in bytes.
        relayed_at: When the last chunk was sent, in monotonic seconds.
    """

    submit: messages.SubmitAttempt
    session_id: str
    instance: str
    deadline_at: float
    state: str = CHART.initial
    started_at: float = 0.0
    chunk_count: int = 0
    payload_count: int = 0
    digest: answers.Digest = dataclasses.field(default_factory=answers.Digest)
    buffered: list[bytes] = dataclasses.field(default_factory=list)
    buffered_bytes: int = 0
    relayed_at: float = float("-inf")

    @property
    def running(self) -> bool:
        """Whether the attempt was sent to the endpoint and has not ended."""
        return self.state in _RUNNING_STATES

    @property
    def must_complete(self) -> bool:
        """Whether the attempt must run to its end even if its caller has left."""
        return self.submit.idempotency is not requests.Idempotency.IDEMPOTENT


class AttemptTable:
    """Live attempts by identifier, and the final states of recently ended ones."""

    def __init__(self) -> None:
        self._live: dict[str, Attempt] = {}
        self._ended: collections.OrderedDict[str, messages.AttemptState] = (
            collections.OrderedDict()
        )
        self._sent_keys: collections.OrderedDict[tuple[str, str], str] = (
            collections.OrderedDict()
        )

    def find(self, attempt_id: str) -> Attempt | None:
        """Returns a live attempt, or None."""
        return self._live.get(attempt_id)

    def is_known(self, attempt_id: str) -> bool:
        """Returns whether the attempt is live or ended recently."""
        return attempt_id in self._live or attempt_id in self._ended

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt in the state `queued`."""
        _advance(attempt, "submit")
        self._live[attempt.submit.attempt_id] = attempt

    def start(self, attempt: Attempt, now: float) -> bool:
        """Marks an attempt as running.

        Returns:
            False if another attempt with its at-most-once key was started before, or if
            its state does not allow it.
        """
        key = _get_at_most_once_key(attempt)
        if key is not None and key in self._sent_keys:
            return False
        if not _advance(attempt, "start"):
            return False
        if key is not None:
            self._sent_keys[key] = attempt.submit.attempt_id
            if len(self._sent_keys) > MAX_ENDED_ATTEMPTS:
                self._sent_keys.popitem(last=False)
        attempt.started_at = now
        return True

    def end(self, attempt: Attempt, event: str) -> bool:
        """Ends a live attempt by an event of its chart.

        Returns:
            False if the attempt is not live or its state does not allow the event.
        """
        attempt_id = attempt.submit.attempt_id
        if self._live.get(attempt_id) is not attempt or not _advance(attempt, event):
            return False
        del self._live[attempt_id]
        if event == "unsent":
            self._sent_keys.pop(_get_at_most_once_key(attempt) or _NO_KEY, None)
        self._ended[attempt_id] = _MESSAGE_STATES[attempt.state]
        if len(self._ended) > MAX_ENDED_ATTEMPTS:
            self._ended.popitem(last=False)
        return True

    def get_state(self, attempt_id: str) -> messages.AttemptState | None:
        """Returns the state of an attempt, or None if it is unknown."""
        live = self._live.get(attempt_id)
        if live is None:
            return self._ended.get(attempt_id)
        return _MESSAGE_STATES[live.state]

    def list_running(self) -> list[Attempt]:
        """Returns the attempts that run on the endpoint."""
        return [attempt for attempt in self._live.values() if attempt.running]

    def list_queued(self) -> list[Attempt]:
        """Returns the attempts in the queue."""
        return [attempt for attempt in self._live.values() if not attempt.running]

    def list_by_session(self, session_id: str) -> list[Attempt]:
        """Returns the live attempts of a session."""
        return [
            attempt
            for attempt in self._live.values()
            if attempt.session_id == session_id
        ]

    def __len__(self) -> int:
        return len(self._live)


def _advance(attempt: Attempt, event: str) -> bool:
    outcome = interpreter.advance(CHART, attempt.state, event)
    if isinstance(outcome, interpreter.Ignored):
        return False
    attempt.state = outcome.state
    return True


def _get_at_most_once_key(attempt: Attempt) -> tuple[str, str] | None:
    submit = attempt.submit
    if submit.idempotency is not requests.Idempotency.AT_MOST_ONCE:
        return None
    return (submit.workspace, submit.idempotency_key)
