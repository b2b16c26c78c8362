"""Failures of an attempt."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages


@dataclasses.dataclass(frozen=True, slots=True)
class NotStarted:
    """The attempt never reached its endpoint and never will.

    Attributes:
        instance: Instance of the agent.
        reason: Reason for which the agent rejected it.
        retry_after_ms: Delay after which the agent may accept work; 0 if unknown.
    """

    instance: str
    reason: messages.RejectReason
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The attempt reached its endpoint and failed."""

    instance: str
    kind: messages.FailureKind
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The link to the agent broke; whether the attempt ran is unknown."""

    instance: str


Failure = NotStarted | Failed | Lost
