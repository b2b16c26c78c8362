"""Decides what a request may do when its key is already claimed."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import messages
from chicoryweir_policy.claims import records


@dataclasses.dataclass(frozen=True, slots=True)
class OwnClaim:
    """The claim is ours: an earlier write of ours took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContentMismatch:
    """The key belongs to a request with another content."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyRun:
    """A request with this key ran to its end."""


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """A request with this key waits or runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """A request with this key may have run, and nobody can tell any more."""


@dataclasses.dataclass(frozen=True, slots=True)
class AskAgent:
    """The named agent can tell whether the attempt started."""

    agent: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """The claimed attempt never started and never will; the claim may pass on."""


ClaimCheck = (
    OwnClaim
    | ContentMismatch
    | AlreadyRun
    | InProgress
    | MayHaveRun
    | AskAgent
    | TakeOver
)


def check_claim(
    claim: records.Claim | None,
    token: str,
    fingerprint: int,
    incarnations: typing.Mapping[str, str],
) -> ClaimCheck:
    """Judges the claim that stands in the way of a request.

    Args:
        claim: The claim in the table; None when it can't be read.
        token: Identifier of the request.
        fingerprint: Content of the request.
        incarnations: Process of each agent that this entry has a link to.
    """
    if claim is None:
        return MayHaveRun()
    if claim.token == token:
        return OwnClaim()
    if claim.fingerprint != fingerprint:
        return ContentMismatch()
    if claim.state is records.ClaimState.DONE:
        return AlreadyRun()
    if incarnations.get(claim.agent) != claim.agent_incarnation:
        return MayHaveRun()
    return AskAgent(claim.agent, claim.attempt_id)


def check_attempt_state(state: messages.AttemptState) -> ClaimCheck:
    """Judges by what the claim's agent tells of the attempt."""
    match state:
        case messages.AttemptState.TOMBSTONED:
            return TakeOver()
        case messages.AttemptState.QUEUED | messages.AttemptState.RUNNING:
            return InProgress()
        case messages.AttemptState.FINISHED:
            return AlreadyRun()
        case messages.AttemptState.UNKNOWN:
            return MayHaveRun()
        case _:
            typing.assert_never(state)
