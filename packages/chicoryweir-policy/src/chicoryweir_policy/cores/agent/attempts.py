"""Table of the attempts at an agent."""

from __future__ import annotations

import collections
import dataclasses

from chicoryweir_policy import answers
from chicoryweir_policy import messages
from chicoryweir_policy import requests

MAX_ENDED = 20_000


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt that has not ended.

    Attributes:
        submit: What the entry asked for.
        session: Session it came on.
        instance: The entry.
        deadline_at: Deadline by this agent's clock, monotonic seconds.
        running: Whether it was sent to the endpoint.
        started_at: When it was sent.
        chunks: Chunks of the answer sent so far.
        payloads: Payloads sent so far.
        size_bytes: Bytes of payload sent so far.
        digest: Digest of the payloads so far.
        held: Payloads that go out with the next chunk.
        relayed_at: When the last chunk went out, monotonic seconds.
    """

    submit: messages.SubmitAttempt
    session: str
    instance: str
    deadline_at: float
    running: bool = False
    started_at: float = 0.0
    chunks: int = 0
    payloads: int = 0
    size_bytes: int = 0
    digest: answers.Digest = dataclasses.field(default_factory=answers.Digest)
    held: list[bytes] = dataclasses.field(default_factory=list)
    relayed_at: float = float("-inf")

    @property
    def must_end(self) -> bool:
        """Whether it is to run to its end even when nobody waits for it."""
        return self.submit.idempotency is not requests.Idempotency.IDEMPOTENT


class AttemptTable:
    """Attempts by identifier, and how the most recent ones ended."""

    def __init__(self) -> None:
        self._live: dict[str, Attempt] = {}
        self._ended: collections.OrderedDict[str, messages.AttemptState] = (
            collections.OrderedDict()
        )
        self._keys: collections.OrderedDict[tuple[str, str], str] = (
            collections.OrderedDict()
        )

    def find(self, attempt_id: str) -> Attempt | None:
        """Returns a live attempt, or None."""
        return self._live.get(attempt_id)

    def is_known(self, attempt_id: str) -> bool:
        """Tells whether the attempt is live or ended recently."""
        return attempt_id in self._live or attempt_id in self._ended

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt that waits."""
        self._live[attempt.submit.attempt_id] = attempt

    def start(self, attempt: Attempt, now: float) -> bool:
        """Marks an attempt as sent; False if its key was sent before."""
        submit = attempt.submit
        if submit.idempotency is requests.Idempotency.AT_MOST_ONCE:
            key = (submit.workspace, submit.idempotency_key)
            if key in self._keys:
                return False
            self._keys[key] = submit.attempt_id
            if len(self._keys) > MAX_ENDED:
                self._keys.popitem(last=False)
        attempt.running = True
        attempt.started_at = now
        return True

    def end(self, attempt_id: str, state: messages.AttemptState) -> None:
        """Removes a live attempt and remembers how it ended."""
        if self._live.pop(attempt_id, None) is None:
            return
        self._ended[attempt_id] = state
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def describe(self, attempt_id: str) -> messages.AttemptState | None:
        """Returns the state of an attempt, or None when it is not known."""
        live = self._live.get(attempt_id)
        if live is None:
            return self._ended.get(attempt_id)
        if live.running:
            return messages.AttemptState.RUNNING
        return messages.AttemptState.QUEUED

    def list_running(self) -> list[Attempt]:
        """Returns the attempts at the endpoint."""
        return [attempt for attempt in self._live.values() if attempt.running]

    def list_waiting(self) -> list[Attempt]:
        """Returns the attempts in the queue."""
        return [attempt for attempt in self._live.values() if not attempt.running]

    def list_session(self, session: str) -> list[Attempt]:
        """Returns the live attempts of a session."""
        return [
            attempt for attempt in self._live.values() if attempt.session == session
        ]

    def __len__(self) -> int:
        return len(self._live)
