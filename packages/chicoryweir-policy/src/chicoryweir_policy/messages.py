"""Messages between daemons."""

from __future__ import annotations

import dataclasses
import enum

from chicoryweir_policy import requests
from chicoryweir_policy.admission import shares
from chicoryweir_policy.groups import messages as group_messages
from chicoryweir_policy.membership import instances
from chicoryweir_policy.quarantine import records as suspicion_records
from chicoryweir_policy.settings import heads


class RejectReason(enum.Enum):
    """Why an agent rejects an attempt; a rejected attempt never runs."""

    LEAVING = "leaving"
    QUEUE_FULL = "queue_full"
    INFEASIBLE = "infeasible"
    EXPIRED = "expired"
    TOMBSTONED = "tombstoned"
    STALE_SESSION = "stale_session"
    ENDPOINT_DOWN = "endpoint_down"
    CANCELLED = "cancelled"
    SUSPECT = "suspect"


class FailureKind(enum.Enum):
    """How an attempt that was sent to its endpoint failed."""

    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_ERROR = "endpoint_error"
    TOO_LARGE = "too_large"
    CANCELLED = "cancelled"
    INVARIANT = "invariant"


class AttemptState(enum.Enum):
    """State of an attempt at its agent.

    Attributes:
        TOMBSTONED: Did not start and never will.
        QUEUED: Waits for its endpoint.
        RUNNING: Was sent to its endpoint.
        FINISHED: Ran to completion.
        UNKNOWN: Was sent to its endpoint; its outcome is unknown.
    """

    TOMBSTONED = "tombstoned"
    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message that each side sends on a link.

    Attributes:
        instance: Sender's instance.
        role: Sender's role.
        place: Sender's data centre.
        service: Service of an agent's endpoint, or an empty string.
        incarnation: Identifier of the sender's process, new at each start.
        session: Identifier of this link, assigned by the agent; empty from an entry.
        settings_version: Version of the settings in force at the sender; 0 for none.
    """

    instance: str
    role: instances.Role
    place: str
    service: str
    incarnation: str
    session: str
    settings_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitAttempt:
    """Asks an agent to run an attempt of a request.

    Attributes:
        attempt_id: Identifier, unique in the fleet.
        sequence: Number of attempts that the entry has submitted on this session.
        session: Session of the agent in which the attempt is valid.
        request_id: Request of the attempt.
        workspace: Workspace of the request.
        model: Requested model, or an empty string.
        priority: Priority class.
        deadline_in_s: Time remaining until the deadline, in seconds.
        idempotency: How often the request may run.
        idempotency_key: Key set by the caller, or an empty string.
        mode: Format of the answer.
        method: HTTP method.
        path: HTTP path.
        content_type: Content type of the body.
        body: Body of the request.
        fingerprint: Hash of the request's content.
        cost_tokens: Estimated tokens of the prompt and the answer together.
        prompt_tokens: Estimated tokens of the prompt alone.
        resume_from: Number of events that the caller has already received.
        suspect: Whether an endpoint was lost while this content ran.
    """

    attempt_id: str
    sequence: int
    session: str
    request_id: str
    workspace: str
    model: str
    priority: requests.PriorityClass
    deadline_in_s: float
    idempotency: requests.Idempotency
    idempotency_key: str
    mode: requests.AnswerMode
    method: str
    path: str
    content_type: str
    body: bytes
    fingerprint: int
    cost_tokens: float
    prompt_tokens: float
    resume_from: int
    suspect: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancels an attempt."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class QueryAttempt:
    """Asks for the state of an attempt.

    If the attempt has not arrived, the agent tombstones it, so that it never runs.
    """

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStatus:
    """Reply to `QueryAttempt`."""

    attempt_id: str
    state: AttemptState


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRejected:
    """The agent rejected the attempt, which did not start and never will.

    Attributes:
        attempt_id: The attempt.
        reason: Why it was rejected.
        retry_after_ms: Time after which a retry may succeed; 0 if unknown.
    """

    attempt_id: str
    reason: RejectReason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The attempt was sent to its endpoint."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHead:
    """The endpoint began its answer.

    Attributes:
        attempt_id: The attempt.
        status: HTTP status from the endpoint.
        content_type: Content type of the answer.
        mode: Format of the answer.
    """

    attempt_id: str
    status: int
    content_type: str
    mode: requests.AnswerMode


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptChunk:
    """A chunk of the answer.

    Attributes:
        attempt_id: The attempt.
        sequence: Number of this chunk within the attempt, from 0.
        payloads: Data of events, or parts of the body.
    """

    attempt_id: str
    sequence: int
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The whole answer of the attempt was sent.

    Attributes:
        attempt_id: The attempt.
        chunks: Total number of chunks.
        digest: Digest of all payloads of the attempt in order.
        tokens: Tokens used by the attempt.
    """

    attempt_id: str
    chunks: int
    digest: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt was sent to its endpoint and failed."""

    attempt_id: str
    kind: FailureKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an agent's endpoint, sent periodically.

    Attributes:
        sequence: Number of this report on the session.
        acknowledged: Highest `SubmitAttempt.sequence` received on the session.
        running: Attempts running at the endpoint.
        waiting: Attempts queued at the agent.
        unfinished_tokens: Estimated remaining tokens of running and queued attempts.
        slots: Number of attempts that the endpoint can run concurrently.
        tokens_per_s: Current generation rate of the endpoint, in tokens per second.
        wait_s: Predicted queueing delay of each priority class, in seconds.
        leaving: Whether the agent rejects new attempts because it is draining.
        serving: Whether the endpoint responds.
        endpoint_incarnation: Identifier of the endpoint's process.
        models: Models loaded on the endpoint.
    """

    sequence: int
    acknowledged: int
    running: int
    waiting: int
    unfinished_tokens: float
    slots: int
    tokens_per_s: float
    wait_s: tuple[float, ...]
    leaving: bool
    serving: bool
    endpoint_incarnation: str
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CacheNews:
    """Prompt blocks that an endpoint cached or evicted since the last message."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLost:
    """The process of an endpoint died while it ran attempts.

    Attributes:
        instance: Instance of the endpoint.
        endpoint_incarnation: Identifier of the process that died.
        fingerprints: Content fingerprints of the attempts that it ran.
    """

    instance: str
    endpoint_incarnation: str
    fingerprints: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """Status that an entry reports to its peers.

    Attributes:
        instance: The entry.
        ip: IP address for callers.
        port: Port for callers.
        place: Its data centre.
        leaving: Whether it is draining, so that callers must no longer be sent to it.
    """

    instance: str
    ip: str
    port: int
    place: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsHead:
    """Head of the settings in force at the sender, or None."""

    head: heads.Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsWanted:
    """Asks a peer for a copy of its settings."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsBody:
    """A complete version of the settings."""

    head: heads.Head
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive when it has no other message to send."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestNote:
    """One processing step of a request, as recorded by the sender.

    Attributes:
        age_s: Time since the step, in seconds.
        step: Name of the step, such as `admission` or `routing`.
        detail: The decision and its reasons.
    """

    age_s: float
    step: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotesWanted:
    """Asks a peer for its notes on a request; `number` identifies the query."""

    number: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotesFound:
    """Reply to `NotesWanted`; `notes` is empty if the request is unknown."""

    number: int
    notes: tuple[RequestNote, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionNews:
    """Endpoint losses and clearances that the receiver may not know yet."""

    news: suspicion_records.News


@dataclasses.dataclass(frozen=True, slots=True)
class LimitAsks:
    """Asks peers to lend part of their shares of workspace limits."""

    asks: shares.Asks


@dataclasses.dataclass(frozen=True, slots=True)
class LimitLoans:
    """Reply to `LimitAsks`."""

    loans: shares.Loans


@dataclasses.dataclass(frozen=True, slots=True)
class RelayPace:
    """Sets how long an agent may buffer tokens to send them in one chunk.

    Attributes:
        window_s: Minimum time between chunks of one answer, in seconds; 0 disables
            buffering.
    """

    window_s: float


Message = (
    Hello
    | SubmitAttempt
    | CancelAttempt
    | QueryAttempt
    | AttemptStatus
    | AttemptRejected
    | AttemptStarted
    | AttemptHead
    | AttemptChunk
    | AttemptFinished
    | AttemptFailed
    | LoadReport
    | CacheNews
    | EndpointLost
    | EntryStatus
    | SettingsHead
    | SettingsWanted
    | SettingsBody
    | Heartbeat
    | NotesWanted
    | NotesFound
    | SuspicionNews
    | LimitAsks
    | LimitLoans
    | RelayPace
    | group_messages.QueryRanks
    | group_messages.PrepareMap
    | group_messages.ReleaseMap
    | group_messages.RankStatus
)
