"""Table rows that claim the idempotency key of an at-most-once request."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import typing

from chicoryweir_policy import requests
from chicoryweir_policy import store

DIGEST_BYTES = 8


class ClaimState(enum.Enum):
    """State of a claim.

    Attributes:
        OPEN: The attempt may have been sent.
        DONE: The attempt has run to completion.
    """

    OPEN = "open"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim of a key for one attempt at one process of an agent.

    Attributes:
        token: Identifier of the request that holds the claim.
        fingerprint: Hash of the request's content.
        attempt_id: The only attempt that may run under the claim.
        agent: Instance of the agent that may run it.
        agent_incarnation: Process identifier of that agent.
        state: State of the claim.
    """

    token: str
    fingerprint: int
    attempt_id: str
    agent: str
    agent_incarnation: str
    state: ClaimState


def make_key(workspace: str, idempotency_key: str) -> str:
    """Returns the row's key; the length prefix prevents clashes of workspaces."""
    return f"claim/{len(workspace)}/{workspace}/{idempotency_key}"


def make_request_key(request: requests.Request) -> str:
    """Returns the key of the row that claims a request's idempotency key."""
    return make_key(request.workspace, request.idempotency_key)


def digest_request(request: requests.Request) -> int:
    """Returns the digest of method, path and body that a claim stores."""
    digest = hashlib.blake2b(request.body, digest_size=DIGEST_BYTES)
    digest.update(f"\x00{request.method}\x00{request.path}".encode())
    return int.from_bytes(digest.digest(), "big")


def encode_claim(claim: Claim) -> store.Json:
    """Returns the JSON value of a claim's row."""
    return {
        "token": claim.token,
        "fingerprint": f"{claim.fingerprint:016x}",
        "attempt_id": claim.attempt_id,
        "agent": claim.agent,
        "agent_incarnation": claim.agent_incarnation,
        "state": claim.state.value,
    }


def decode_claim(value: store.Json) -> Claim | None:
    """Returns the claim decoded from a row's value, or None if it is malformed."""
    if not isinstance(value, dict):
        return None
    try:
        return Claim(
            token=str(value["token"]),
            fingerprint=int(typing.cast(str, value["fingerprint"]), 16),
            attempt_id=str(value["attempt_id"]),
            agent=str(value["agent"]),
            agent_incarnation=str(value["agent_incarnation"]),
            state=ClaimState(value["state"]),
        )
    except (KeyError, ValueError, TypeError):
        return None
