"""Requests in progress at an entry, with their attempts and timers."""

from __future__ import annotations

import dataclasses
import heapq

from chicoryweir_policy import answers
from chicoryweir_policy import messages
from chicoryweir_policy import outcomes
from chicoryweir_policy import requests
from chicoryweir_policy.settings import resolution


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt to run a request at one endpoint.

    Attributes:
        attempt_id: Identifier of the attempt.
        instance: Instance name of the agent that it is submitted to.
        session_id: Session identifier of the link that it is submitted on.
        sent_at: When it was submitted, in monotonic seconds.
        answering: Whether a part of the answer other than the head was received.
        started: Whether the endpoint is known to have received the attempt.
        head: Status and content type of the answer, once received.
        assembler: Reorders the chunks of the answer and verifies their number and
            digest.
        early_payloads: Payloads received before the head, in order.
    """

    attempt_id: str
    instance: str
    session_id: str
    sent_at: float = 0.0
    answering: bool = False
    started: bool = False
    head: messages.AttemptHead | None = None
    assembler: answers.Assembler = dataclasses.field(default_factory=answers.Assembler)
    early_payloads: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """A request that has not ended yet.

    Attributes:
        request: The caller's request.
        effective: Settings in force when the request arrived.
        attempt_count: Number of attempts so far, not counting hedges.
        excluded: Endpoints that must not be selected again.
        attempt: The attempt in progress, if any.
        hedge: A second attempt in progress, until either of the two answers.
        hedged: Whether a hedge was started; a request gets at most one.
        answer_begun: Whether a part of the answer was sent to the caller.
        events_delivered: Number of answer events sent to the caller.
        progressed_at: When the last answer event was received, in monotonic seconds.
        answer_body: Received payloads of an answer that isn't a stream.
        answer_bytes: Total size of `answer_body`, in bytes.
        may_have_run: Whether an earlier attempt may have run.
        suspect: Whether an endpoint was lost while this content ran.
        lost_on: Endpoints that were lost while this content ran.
        expired: Whether its deadline has passed or its claim is being read, so that the
            request only waits for confirmation that it did not run.
        limited: Whether it counts towards the limits of its workspace.
        abandoned: Whether the caller has disconnected.
        claim_version: Version of the claim's row; 0 if the request holds no claim.
        claim_checked: Whether a write or a read of the claim was started.
    """

    request: requests.Request
    effective: resolution.Effective
    attempt_count: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    attempt: Attempt | None = None
    hedge: Attempt | None = None
    hedged: bool = False
    answer_begun: bool = False
    events_delivered: int = 0
    progressed_at: float = 0.0
    answer_body: list[bytes] = dataclasses.field(default_factory=list)
    answer_bytes: int = 0
    may_have_run: bool = False
    suspect: bool = False
    lost_on: frozenset[str] = frozenset()
    expired: bool = False
    limited: bool = False
    abandoned: bool = False
    claim_version: int = 0
    claim_checked: bool = False

    @property
    def outcome(self) -> outcomes.Outcome:
        """The outcome to report if the request ends now without an answer."""
        if self.may_have_run:
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.request.idempotency is requests.Idempotency.IDEMPOTENT

    def list_attempts(self) -> list[Attempt]:
        """Returns the attempts in progress: none, one, or one and its hedge."""
        both = (self.attempt, self.hedge)
        return [attempt for attempt in both if attempt is not None]

    def find_attempt(self, attempt_id: str) -> Attempt | None:
        """Returns the attempt in progress with this identifier, or None."""
        for attempt in self.list_attempts():
            if attempt.attempt_id == attempt_id:
                return attempt
        return None

    def find_attempt_on(self, session_id: str) -> Attempt | None:
        """Returns the attempt in progress on a session, or None."""
        for attempt in self.list_attempts():
            if attempt.session_id == session_id:
                return attempt
        return None


class ActiveRequestTable:
    """Table of requests in progress by request and attempt, with their timers."""

    def __init__(self) -> None:
        self._requests: dict[str, ActiveRequest] = {}
        self._attempts: dict[str, ActiveRequest] = {}
        self._attempt_counts_by_content: dict[int, int] = {}
        self._timers: list[tuple[float, str]] = []
        self._retries: list[tuple[float, str]] = []
        self._hedges: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, active: ActiveRequest) -> None:
        """Adds a request."""
        request = active.request
        self._requests[request.request_id] = active
        self.set_timer(request.request_id, request.deadline_at)

    def set_timer(self, request_id: str, at: float) -> None:
        """Schedules a request for `pop_due` at a monotonic time, in seconds."""
        heapq.heappush(self._timers, (at, request_id))

    def set_retry(self, request_id: str, at: float) -> None:
        """Schedules a request for `pop_retries` at a monotonic time, in seconds."""
        heapq.heappush(self._retries, (at, request_id))

    def set_hedge(self, request_id: str, at: float) -> None:
        """Schedules a request for `pop_hedges` at a monotonic time, in seconds."""
        heapq.heappush(self._hedges, (at, request_id))

    def find(self, request_id: str) -> ActiveRequest | None:
        """Returns a request in progress, or None."""
        return self._requests.get(request_id)

    def find_by_attempt(self, attempt_id: str) -> ActiveRequest | None:
        """Returns the request with this attempt in progress, or None."""
        return self._attempts.get(attempt_id)

    def is_content_in_flight(self, fingerprint: int) -> bool:
        """Returns whether an attempt with this content is in progress."""
        return self._attempt_counts_by_content.get(fingerprint, 0) > 0

    def add_attempt(self, active: ActiveRequest, attempt: Attempt) -> None:
        """Adds an attempt, as the hedge if another attempt is in progress."""
        if active.attempt is None:
            active.attempt = attempt
        else:
            active.hedge = attempt
        self._attempts[attempt.attempt_id] = active
        fingerprint = active.request.fingerprint
        self._attempt_counts_by_content[fingerprint] = (
            self._attempt_counts_by_content.get(fingerprint, 0) + 1
        )

    def remove_current_attempt(self, active: ActiveRequest) -> Attempt | None:
        """Removes the attempt in progress, so that its later messages are ignored."""
        attempt = active.attempt
        if attempt is not None:
            self.remove_attempt(active, attempt)
        return attempt

    def remove_attempt(self, active: ActiveRequest, attempt: Attempt) -> None:
        """Removes one attempt; the other one, if any, remains as `attempt`."""
        if active.attempt is attempt:
            active.attempt = active.hedge
        active.hedge = None
        del self._attempts[attempt.attempt_id]
        fingerprint = active.request.fingerprint
        self._attempt_counts_by_content[fingerprint] -= 1
        if self._attempt_counts_by_content[fingerprint] == 0:
            del self._attempt_counts_by_content[fingerprint]

    def remove(self, active: ActiveRequest) -> None:
        """Removes a request that has ended, with its attempts."""
        for attempt in active.list_attempts():
            self.remove_attempt(active, attempt)
        self._requests.pop(active.request.request_id, None)

    def list_by_session(self, session_id: str) -> list[ActiveRequest]:
        """Returns the requests with an attempt in progress on a session."""
        return [
            active
            for active in {
                id(active): active for active in self._attempts.values()
            }.values()
            if active.find_attempt_on(session_id) is not None
        ]

    def list_all(self) -> list[ActiveRequest]:
        """Returns all requests in progress."""
        return list(self._requests.values())

    def pop_due(self, now: float) -> list[ActiveRequest]:
        """Removes and returns the requests whose timer has expired."""
        return self._pop(self._timers, now)

    def pop_retries(self, now: float) -> list[ActiveRequest]:
        """Removes and returns the requests whose retry is due."""
        return self._pop(self._retries, now)

    def pop_hedges(self, now: float) -> list[ActiveRequest]:
        """Removes and returns the requests whose hedge is due."""
        return self._pop(self._hedges, now)

    def _pop(self, timers: list[tuple[float, str]], now: float) -> list[ActiveRequest]:
        due: list[ActiveRequest] = []
        while timers and timers[0][0] <= now:
            _, request_id = heapq.heappop(timers)
            active = self._requests.get(request_id)
            if active is not None:
                due.append(active)
        return due
