"""Requests as the decisions see them."""

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
        AT_MOST_ONCE: At most once for its key, however often it arrives.
        ONCE_PER_ARRIVAL: Sent at most once for each arrival; never retried.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    ONCE_PER_ARRIVAL = "once_per_arrival"


class AnswerMode(enum.Enum):
    """Form of an answer: server-sent events, or one opaque body."""

    EVENTS = "events"
    BODY = "body"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that an entry has accepted for a decision.

    Attributes:
        request_id: Identifier made by the entry, unique in the fleet.
        workspace: Workspace the request belongs to.
        service: Service it is for.
        model: Model it names, or an empty string for a plain service.
        priority: Priority class.
        arrived_at: Arrival, monotonic seconds of the entry.
        deadline_at: Time by which the answer is due, same clock.
        idempotency: How often the request may run.
        idempotency_key: The caller's key, or an empty string.
        mode: Form of the answer.
        method: HTTP method for the endpoint.
        path: HTTP path for the endpoint.
        content_type: Content type of the body.
        body: Body as the caller sent it.
        fingerprint: Hash of service, path and body; equal for a request sent again.
        prefix: Hash of the leading block of the prompt; 0 when there is none.
        prefix_blocks: Hashes of the successive prompt blocks, each over all before it.
        cost_tokens: Estimated prompt plus generated tokens.
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
