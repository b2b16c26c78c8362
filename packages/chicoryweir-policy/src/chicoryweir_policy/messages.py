"""Messages that the daemons send one another."""

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
    """Why an agent refuses an attempt; a refused attempt never runs."""

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
        TOMBSTONED: It has not started and never will.
        QUEUED: It waits for its endpoint.
        RUNNING: It was sent to its endpoint.
        FINISHED: It ran to its end.
        UNKNOWN: It was sent and its end is not known.
    """

    TOMBSTONED = "tombstoned"
    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of either side of a link.

    Attributes:
        instance: Sender's instance.
        role: Sender's role.
        place: Sender's place.
        service: Service of an agent's endpoint, or an empty string.
        incarnation: Identifier of the sender's process, new at each start.
        session: Identifier of this link made by an agent; empty from an entry.
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
    """An entry asks an agent to run an attempt of a request.

    Attributes:
        attempt_id: Identifier, unique in the fleet.
        sequence: Count of attempts the entry has submitted on this session.
        session: The agent's session this attempt is valid in.
        request_id: Request that it serves.
        workspace: Workspace of the request.
        model: Model named, or an empty string.
        priority: Priority class.
        deadline_in_s: Time left until the deadline, in seconds.
        idempotency: How often the request may run.
        idempotency_key: The caller's key, or an empty string.
        mode: Form of the answer.
        method: HTTP method.
        path: HTTP path.
        content_type: Content type of the body.
        body: Body of the request.
        fingerprint: Hash of the request's content.
        cost_tokens: Estimated prompt plus generated tokens.
        prompt_tokens: Estimated tokens of the prompt alone.
        resume_from: Events of the answer that the caller already has.
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
    """An entry no longer wants an attempt."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class QueryAttempt:
    """Asks for an attempt's state; one that has not arrived is tombstoned."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStatus:
    """Answer to `QueryAttempt`."""

    attempt_id: str
    state: AttemptState


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRejected:
    """The attempt never started and never will.

    Attributes:
        attempt_id: The attempt.
        reason: Why.
        retry_after_ms: Time after which coming back helps; 0 when not known.
    """

    attempt_id: str
    reason: RejectReason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The attempt was handed to its endpoint."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptHead:
    """The endpoint's answer began.

    Attributes:
        attempt_id: The attempt.
        status: HTTP status of the endpoint.
        content_type: Content type of the answer.
        mode: Form in which the answer comes.
    """

    attempt_id: str
    status: int
    content_type: str
    mode: requests.AnswerMode


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptChunk:
    """A piece of the answer.

    Attributes:
        attempt_id: The attempt.
        sequence: Number of this chunk within the attempt, from 0.
        payloads: Data of events, or pieces of the body.
    """

    attempt_id: str
    sequence: int
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFinished:
    """The whole answer of the attempt was sent.

    Attributes:
        attempt_id: The attempt.
        chunks: Number of chunks sent.
        digest: Digest over all payloads of the attempt in order.
        tokens: Tokens that the attempt used.
    """

    attempt_id: str
    chunks: int
    digest: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt was sent to its endpoint and did not end well."""

    attempt_id: str
    kind: FailureKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an agent's endpoint.

    Attributes:
        sequence: Number of this report on the session.
        acknowledged: Highest `SubmitAttempt.sequence` received on the session.
        running: Attempts at the endpoint.
        waiting: Attempts queued.
        unfinished_tokens: Estimated tokens of both.
        slots: Attempts that the endpoint runs at once.
        tokens_per_s: Tokens a second that the endpoint generates at present.
        wait_s: Predicted wait of each priority class, in seconds.
        leaving: Whether the agent takes no new attempts.
        serving: Whether the endpoint answers.
        endpoint_incarnation: Process of the endpoint.
        models: Models that it holds.
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
    """Prompt blocks that an endpoint stored or evicted since the last message."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLost:
    """An endpoint's process died with attempts on it.

    Attributes:
        instance: Instance of the endpoint.
        endpoint_incarnation: Process that died.
        fingerprints: Contents that ran on it.
    """

    instance: str
    endpoint_incarnation: str
    fingerprints: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """What an entry tells its peers about itself.

    Attributes:
        instance: The entry.
        ip: Address for callers.
        port: Port for callers.
        place: Its place.
        leaving: Whether callers must no longer be sent to it.
    """

    instance: str
    ip: str
    port: int
    place: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsHead:
    """The version of the settings in force at the sender; None for none."""

    head: heads.Head | None


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsWanted:
    """Asks a peer for a copy of its version of the settings."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsBody:
    """A whole version of the settings."""

    head: heads.Head
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells that the sender lives, when it has nothing else to say."""

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestNote:
    """One step of a request at the sender.

    Attributes:
        age_s: Time since, in seconds.
        step: Step, such as `admission` or `routing`.
        detail: What was decided and on what grounds.
    """

    age_s: float
    step: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotesWanted:
    """Asks a peer for its notes on a request."""

    number: int
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotesFound:
    """The notes asked for by `NotesWanted`; none if the request is not known."""

    number: int
    notes: tuple[RequestNote, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionNews:
    """Losses of endpoints and clearances that the receiver may not know."""

    news: suspicion_records.News


@dataclasses.dataclass(frozen=True, slots=True)
class LimitAsks:
    """An entry asks its peers for parts of workspaces' limits."""

    asks: shares.Asks


@dataclasses.dataclass(frozen=True, slots=True)
class LimitLoans:
    """Answer to `LimitAsks`."""

    loans: shares.Loans


@dataclasses.dataclass(frozen=True, slots=True)
class RelayPace:
    """For how long an agent may hold tokens back to send several together.

    Attributes:
        window_s: Time between two chunks of one answer, in seconds; 0 for none.
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
