"""Computes the engine stand-in's answers as a pure function of the request."""

from __future__ import annotations

import json
import typing

import xxhash

DEFAULT_MAX_TOKENS = 32
MAX_ANSWER_TOKENS = 8192

_SYLLABLES = ("ba", "ce", "di", "fo", "gu", "la", "me", "ni", "po", "ru", "sa", "te")


def extract_text(body: dict[str, typing.Any]) -> str:
    """Returns the prompt, or else the contents of all messages."""
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else json.dumps(prompt)
    contents = (message.get("content", "") for message in body["messages"])
    return "\n".join(c if isinstance(c, str) else json.dumps(c) for c in contents)


def compute_digest(body: dict[str, typing.Any]) -> int:
    """Returns a hash of the fields that determine the answer."""
    hashed_fields = {
        "model": body.get("model"),
        "messages": body.get("messages"),
        "prompt": body.get("prompt"),
        "tokens": count_tokens(body),
    }
    return xxhash.xxh64_intdigest(json.dumps(hashed_fields, sort_keys=True).encode())


def count_tokens(body: dict[str, typing.Any]) -> int:
    """Returns the number of tokens of the answer."""
    requested = body.get("max_completion_tokens") or body.get("max_tokens")
    return min(int(requested or DEFAULT_MAX_TOKENS), MAX_ANSWER_TOKENS)


def compute_answer(body: dict[str, typing.Any]) -> list[str]:
    """Returns all tokens of the answer to a request.

    The first token is the digest of the request, so that different requests never
    have the same answer.
    """
    digest = compute_digest(body)
    tokens = [f"{digest:016x}"]
    for index in range(1, count_tokens(body)):
        value = xxhash.xxh64_intdigest(b"%d" % index, digest)
        text = "".join(
            _SYLLABLES[(value >> shift) % len(_SYLLABLES)] for shift in (0, 16, 32)
        )
        tokens.append(" " + text)
    return tokens
