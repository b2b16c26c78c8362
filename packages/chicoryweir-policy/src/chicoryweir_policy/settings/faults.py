"""Faults of a settings document."""

from __future__ import annotations

import dataclasses
import json

from chicoryweir_policy import store

MAX_SHOWN_CHARS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that makes a document invalid, or a warning about a valid document.

    Attributes:
        path: JSON pointer of the faulty value or key.
        problem: Description of the fault.
        found: The value or key found, shortened.
        allowed: Description of the allowed values or keys.
        is_key_fault: Whether the key at `path` is faulty, not its value.
    """

    path: str
    problem: str
    found: str
    allowed: str
    is_key_fault: bool = False


def format_value(value: store.Json) -> str:
    """Formats a value as short JSON text; summarizes objects and lists."""
    if isinstance(value, dict):
        return f"an object of {len(value)} keys"
    if isinstance(value, list):
        return f"a list of {len(value)} items"
    text = json.dumps(value, ensure_ascii=True)
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return text[:MAX_SHOWN_CHARS] + "..."
