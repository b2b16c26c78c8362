"""Faults of a settings document."""

from __future__ import annotations

import dataclasses
import json

from chicoryweir_policy import store

MAX_SHOWN_CHARS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something in a document that cannot be put in force.

    Attributes:
        path: JSON pointer of the value at fault.
        problem: What is wrong.
        found: What stands there, shortened.
        allowed: What may stand there.
        key: Whether the key is at fault and not the value under it.
    """

    path: str
    problem: str
    found: str
    allowed: str
    key: bool = False


def format_value(value: store.Json) -> str:
    """Returns a value as short JSON text."""
    if isinstance(value, dict):
        return f"an object of {len(value)} keys"
    if isinstance(value, list):
        return f"a list of {len(value)} items"
    text = json.dumps(value, ensure_ascii=True)
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return text[:MAX_SHOWN_CHARS] + "..."
