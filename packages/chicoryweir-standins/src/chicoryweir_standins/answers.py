"""Answers of the engine's stand-in, as a pure function of the request."""

from __future__ import annotations

import json
import typing

import xxhash

DEFAULT_MAX_TOKENS = 32
MAX_ANSWER_TOKENS = 8192

_SYLLABLES = ("ba", "ce", "di", "fo", "gu", "la", "me", "ni", "po", "ru", "sa", "te")


def extract_text(body: dict[str, typing.Any]) -> str:
    """Returns the prompt text: the prompt, or the contents of the messages."""
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else json.dumps(prompt)
    contents = (message.get("content", "") for message in body["messages"])
    return "\n".join(c if isinstance(c, str) else json.dumps(c) for c in contents)


def compute_digest(body: dict[str, typing.Any]) -> int:
    """Returns a hash of all that determines the answer."""
    material = {
        "model": body.get("model"),
        "messages": body.get("messages"),
        "prompt": body.get("prompt"),
        "tokens": count_tokens(body),
    }
    return xxhash.xxh64_intdigest(json.dumps(material, sort_keys=True).encode())


def count_tokens(body: dict[str, typing.Any]) -> int:
    """Returns the number of tokens of the answer."""
    wanted = body.get("max_completion_tokens") or body.get("max_tokens")
    return min(int(wanted or DEFAULT_MAX_TOKENS), MAX_ANSWER_TOKENS)


def compute_answer(body: dict[str, typing.Any]) -> list[str]:
    """Returns the tokens of the whole answer to a request.

    The first token carries the digest of the request, so that answers to different
    requests never share a text.
    """
    digest = compute_digest(body)
    tokens = [f"{digest:016x}"]
    for index in range(1, count_tokens(body)):
        draw = xxhash.xxh64_intdigest(b"%d" % index, digest)
        word = "".join(
            _SYLLABLES[(draw >> shift) % len(_SYLLABLES)] for shift in (0, 16, 32)
        )
        tokens.append(" " + word)
    return tokens
