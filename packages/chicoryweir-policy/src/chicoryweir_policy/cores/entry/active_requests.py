"""Requests in progress at an entry."""

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
    """The attempt of a request that is under way.

    Attributes:
        attempt_id: The attempt.
        instance: Agent it went to.
        session: Session of the link it went on.
        sent_at: When it was sent, monotonic seconds.
        answering: Whether any of its answer has come; the head alone is none.
        started: Whether the agent said that the endpoint has it.
        head: Beginning of the answer, once it came.
        assembler: Order, count and digest of the answer.
        held: Payloads in order that came before the head.
    """

    attempt_id: str
    instance: str
    session: str
    sent_at: float = 0.0
    answering: bool = False
    started: bool = False
    head: messages.AttemptHead | None = None
    assembler: answers.Assembler = dataclasses.field(default_factory=answers.Assembler)
    early_payloads: list[bytes] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class ActiveRequest:
    """A request that has no final answer yet.

    Attributes:
        request: The request.
        effective: Settings in force when it arrived.
        attempts: Attempts made so far.
        excluded: Endpoints that are not to be tried again.
        dispatch: The attempt under way, if any.
        second: A hedge beside it, until the answer of either begins.
        hedged: Whether the request had its hedge.
        begun: Whether a part of the answer went to the caller.
        delivered: Events of the answer that went to the caller.
        progressed_at: When the last part of a begun answer came, monotonic seconds.
        body: Pieces of an opaque answer so far.
        body_bytes: Size of those pieces.
        may_have_run: Whether an earlier attempt may have run.
        suspect: Whether an endpoint was lost while its content ran.
        lost_on: Those endpoints.
        expired: Whether its deadline passed and the agent's word is awaited.
        limited: Whether it counts against the limits of its workspace.
        abandoned: Whether the caller is gone.
        claim_version: Version of its claim's row; 0 before it holds one.
        claim_tried: Whether its claim was written or read at least once.
    """

    request: requests.Request
    effective: resolution.Effective
    attempt_count: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    attempt: Attempt | None = None
    hedge: Attempt | None = None
    hedged: bool = False
    answer_begun: bool = False
    delivered: int = 0
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
        """What its caller may conclude if it ends without an answer now."""
        if self.may_have_run:
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.request.idempotency is requests.Idempotency.IDEMPOTENT

    def list_attempts(self) -> list[Attempt]:
        """Returns the attempts under way: none, one, or one and its hedge."""
        both = (self.attempt, self.hedge)
        return [attempt for attempt in both if attempt is not None]

    def find_attempt(self, attempt_id: str) -> Attempt | None:
        """Returns the attempt under way with this identifier, or None."""
        for attempt in self.list_attempts():
            if attempt.attempt_id == attempt_id:
                return attempt
        return None

    def find_attempt_on(self, session: str) -> Attempt | None:
        """Returns the attempt under way on a session, or None."""
        for attempt in self.list_attempts():
            if attempt.session == session:
                return attempt
        return None


class ActiveRequestTable:
    """Requests in progress, by request and by attempt, with their timers."""

    def __init__(self) -> None:
        self._requests: dict[str, ActiveRequest] = {}
        self._attempts: dict[str, ActiveRequest] = {}
        self._attempts_by_content: dict[int, int] = {}
        self._deadlines: list[tuple[float, str]] = []
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
        """Has `pop_due` return the request at a time."""
        heapq.heappush(self._deadlines, (at, request_id))

    def set_retry(self, request_id: str, at: float) -> None:
        """Has `pop_retries` return the request at a time."""
        heapq.heappush(self._retries, (at, request_id))

    def set_hedge(self, request_id: str, at: float) -> None:
        """Has `pop_hedges` return the request at a time."""
        heapq.heappush(self._hedges, (at, request_id))

    def find(self, request_id: str) -> ActiveRequest | None:
        """Returns a request in progress, or None."""
        return self._requests.get(request_id)

    def find_by_attempt(self, attempt_id: str) -> ActiveRequest | None:
        """Returns the request whose attempt under way this is, or None."""
        return self._attempts.get(attempt_id)

    def is_content_in_flight(self, fingerprint: int) -> bool:
        """Tells whether an attempt with this content is under way."""
        return self._attempts_by_content.get(fingerprint, 0) > 0

    def add_attempt(self, active: ActiveRequest, attempt: Attempt) -> None:
        """Makes an attempt the one under way, or the hedge beside the one that is."""
        if active.attempt is None:
            active.attempt = attempt
        else:
            active.hedge = attempt
        self._attempts[attempt.attempt_id] = active
        fingerprint = active.request.fingerprint
        self._attempts_by_content[fingerprint] = (
            self._attempts_by_content.get(fingerprint, 0) + 1
        )

    def remove_current_attempt(self, active: ActiveRequest) -> Attempt | None:
        """Takes the attempt under way off the request; its messages are late."""
        attempt = active.attempt
        if attempt is not None:
            self.remove_attempt(active, attempt)
        return attempt

    def remove_attempt(self, active: ActiveRequest, attempt: Attempt) -> None:
        """Takes one attempt off; the other, if any, is the one under way."""
        if active.attempt is attempt:
            active.attempt = active.hedge
        active.hedge = None
        del self._attempts[attempt.attempt_id]
        fingerprint = active.request.fingerprint
        self._attempts_by_content[fingerprint] -= 1
        if self._attempts_by_content[fingerprint] == 0:
            del self._attempts_by_content[fingerprint]

    def remove(self, active: ActiveRequest) -> None:
        """Removes a request that has its final answer."""
        for attempt in active.list_attempts():
            self.remove_attempt(active, attempt)
        self._requests.pop(active.request.request_id, None)

    def list_by_session(self, session: str) -> list[ActiveRequest]:
        """Returns the requests with an attempt on a session."""
        return [
            active
            for active in {
                id(active): active for active in self._attempts.values()
            }.values()
            if active.find_attempt_on(session) is not None
        ]

    def list_all(self) -> list[ActiveRequest]:
        """Returns all requests in progress."""
        return list(self._requests.values())

    def pop_due(self, now: float) -> list[ActiveRequest]:
        """Returns the requests whose timer passed."""
        return self._pop(self._deadlines, now)

    def pop_retries(self, now: float) -> list[ActiveRequest]:
        """Returns the requests whose time to be tried again has come."""
        return self._pop(self._retries, now)

    def pop_hedges(self, now: float) -> list[ActiveRequest]:
        """Returns the requests whose time to be hedged has come."""
        return self._pop(self._hedges, now)

    def _pop(self, timers: list[tuple[float, str]], now: float) -> list[ActiveRequest]:
        due: list[ActiveRequest] = []
        while timers and timers[0][0] <= now:
            _, request_id = heapq.heappop(timers)
            active = self._requests.get(request_id)
            if active is not None:
                due.append(active)
        return due
