"""Parsed requests, the input of routing and admission decisions."""

from __future__ import annotations

import dataclasses
import enum


class PriorityClass(enum.IntEnum):
    """Priority class of a request; a lower value is more urgent."""

    URGENT = 0
    STANDARD = 1
    BULK = 2


class Idempotency(enum.Enum):
    """How often a request may run.

    Attributes:
        IDEMPOTENT: Any number of times; it may be retried and resumed.
        AT_MOST_ONCE: At most once per idempotency key, even if it arrives repeatedly.
        ONCE_PER_ARRIVAL: At most once each time it arrives; never retried.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    ONCE_PER_ARRIVAL = "once_per_arrival"


class AnswerMode(enum.Enum):
    """Format of an answer: server-sent events, or one opaque body."""

    EVENTS = "events"
    BODY = "body"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that an entry has parsed and validated.

    Attributes:
        request_id: Identifier assigned by the entry, unique in the fleet.
        workspace: Workspace that the request belongs to.
        service: Requested service.
        model: Requested model, or an empty string for a plain service.
        priority: Priority class.
        arrived_at: Arrival time, in seconds of the entry's monotonic clock.
        deadline_at: Time after which the caller has left, on the same clock.
        idempotency: How often the request may run.
        idempotency_key: Key set by the caller, or an empty string.
        mode: Format of the answer.
        method: HTTP method for the endpoint.
        path: HTTP path for the endpoint.
        content_type: Content type of the body.
        body: Body as the caller sent it.
        fingerprint: Hash of service, path and body; identifies the content.
        prefix: Hash of the first block of the prompt; 0 if there is none.
        prefix_blocks: Chained hashes of the successive prompt blocks: each covers its
            block and all blocks before it.
        cost_tokens: Estimated tokens of the prompt and the answer together.
        prompt_tokens: Estimated tokens of the prompt alone.
    """

    request_id: str
    workspace: str
    service: str
    model: str
    priority: PriorityClass
    arrived_at: float
    deadline_at: float
    idempotency: Idempotency
    idempotency_key: str
    mode: AnswerMode
    method: str
    path: str
    content_type: str
    body: bytes
    fingerprint: int
    prefix: int
    prefix_blocks: tuple[int, ...]
    cost_tokens: float
    prompt_tokens: float = 0.0
