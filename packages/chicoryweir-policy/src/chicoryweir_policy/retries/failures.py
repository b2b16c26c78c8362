"""Ways in which an attempt of a request fails."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages


@dataclasses.dataclass(frozen=True, slots=True)
class NotStarted:
    """The attempt never reached its endpoint and never will.

    Attributes:
        instance: Instance of the agent.
        reason: Why the agent refused it.
        retry_after_ms: Time after which the agent would take work; 0 if not known.
    """

    instance: str
    reason: messages.RejectReason
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt reached its endpoint and ended badly."""

    instance: str
    kind: messages.FailureKind
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The link to the agent broke; whether the attempt ran is not known."""

    instance: str


Failure = NotStarted | Failed | Lost
