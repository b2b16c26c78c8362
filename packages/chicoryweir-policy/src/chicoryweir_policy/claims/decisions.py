"""Decides how a request proceeds when its idempotency key is already claimed."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import messages
from chicoryweir_policy.claims import records


@dataclasses.dataclass(frozen=True, slots=True)
class OwnClaim:
    """The claim belongs to this request: its earlier write took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContentMismatch:
    """The key is claimed by a request with different content."""


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyRun:
    """A request with this key has run to completion."""


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """A request with this key is queued or running."""


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """A request with this key may have run; its outcome can't be determined."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueryAgent:
    """The agent must be queried for the state of the attempt."""

    agent: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver:
    """The claimed attempt can never start; another request may take over the claim."""


ClaimCheck = (
    OwnClaim
    | ContentMismatch
    | AlreadyRun
    | InProgress
    | MayHaveRun
    | QueryAgent
    | TakeOver
)


def check_claim(
    claim: records.Claim | None,
    token: str,
    fingerprint: int,
    incarnations: typing.Mapping[str, str],
) -> ClaimCheck:
    """Decides how a request proceeds against the claim in the table.

    Args:
        claim: The claim in the table; None if it can't be decoded.
        token: Identifier of the request.
        fingerprint: Hash of the request's content.
        incarnations: Process identifier of each agent that this entry has a link to.
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
    return QueryAgent(claim.agent, claim.attempt_id)


def check_attempt_state(state: messages.AttemptState) -> ClaimCheck:
    """Decides how a request proceeds, from the claimed attempt's state."""
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
