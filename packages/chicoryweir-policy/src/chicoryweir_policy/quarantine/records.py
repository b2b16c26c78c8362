"""Records of lost endpoints exchanged between entries and agents."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LossId:
    """Identifies the loss of one incarnation of an endpoint.

    Attributes:
        instance: Instance of the endpoint.
        incarnation: Incarnation that was lost.
    """

    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Loss of an endpoint while requests ran on it.

    Attributes:
        loss_id: Identifier of the loss.
        fingerprints: Fingerprints of the requests that were running.
        age_s: Time between the loss and the export of this record, in seconds.
    """

    loss_id: LossId
    fingerprints: frozenset[int]
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Clearance:
    """States that a request did not cause losses, since it was answered in full.

    Attributes:
        fingerprint: Fingerprint of the request.
        losses: Losses that it did not cause.
    """

    fingerprint: int
    losses: frozenset[LossId]


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Update for another tracker; merging is commutative and idempotent.

    Attributes:
        cursor: Position in the sender's log from which the next export continues.
        losses: Losses.
        clearances: Clearances.
    """

    cursor: int
    losses: tuple[Loss, ...] = ()
    clearances: tuple[Clearance, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Unsuspected:
    """The request may run on any endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """The request may have caused a loss and must not run beside another suspect.

    Attributes:
        lost_on: Instances that were lost while it ran; it must not run on them again.
        retry_at: Earliest time to send it again, monotonic seconds. The delay allows
            gossip to spread the loss first.
    """

    lost_on: frozenset[str]
    retry_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is rejected without running.

    Attributes:
        losses: Losses of endpoints while it ran, sorted.
        retry_after_s: Time until expired losses end the quarantine, in seconds.
    """

    losses: tuple[LossId, ...]
    retry_after_s: float


Verdict = Unsuspected | Suspected | Quarantined
