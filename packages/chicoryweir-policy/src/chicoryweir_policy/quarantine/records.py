"""Records of lost endpoints that entries and agents exchange."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LossId:
    """One incarnation of an endpoint that was lost.

    Attributes:
        instance: Instance of the endpoint.
        incarnation: Its incarnation that was lost.
    """

    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """An endpoint was lost while requests ran on it.

    Attributes:
        loss_id: The incarnation that was lost.
        fingerprints: Fingerprints of the requests that ran.
        age_s: Time since the loss when this record was made, in seconds.
    """

    loss_id: LossId
    fingerprints: frozenset[int]
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """A request ran to its end, so that it did not cause earlier losses.

    Attributes:
        fingerprint: Fingerprint of the request.
        losses: Losses that it is cleared of.
    """

    fingerprint: int
    losses: frozenset[LossId]


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Records for another book; merging is commutative and idempotent.

    Attributes:
        cursor: Position in the sender's log; the next export goes on from here.
        losses: Losses.
        clearances: Clearances.
    """

    cursor: int
    losses: tuple[Loss, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Unsuspected:
    """The request may run anywhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """The request may have caused a loss; it runs apart from other suspects.

    Attributes:
        lost_on: Instances that were lost while it ran; it runs on none of them.
        retry_at: Time before which it is not sent, monotonic seconds; by then the
            news of the loss has spread.
    """

    lost_on: frozenset[str]
    retry_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is refused as not run.

    Attributes:
        losses: Endpoints lost while it ran, in order.
        retry_after_s: Time after which the evidence has expired, in seconds.
    """

    losses: tuple[LossId, ...]
    retry_after_s: float


Verdict = Unsuspected | Suspected | Quarantined
