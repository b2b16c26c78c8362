"""Checks of the settings that an operator sends."""

from __future__ import annotations

import dataclasses
import typing

import jsonschema

from chicoryweir_policy import store
from chicoryweir_policy.settings import schema

MAX_FAULTS = 200
MAX_REASON_CHARS = 1000
MAX_CHANGE_ID_CHARS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class AskedChange:
    """A change as an operator's client sent it."""

    change_id: str
    reason: str
    expect_version: int
    tree: store.Json


def read_change(document: store.Json) -> AskedChange | str:
    """Reads a change; a text tells why it is none."""
    if not isinstance(document, dict) or "tree" not in document:
        return "expected an object with `expect_version` and `tree`"
    expected = document.get("expect_version")
    if type(expected) is not int or expected < 0:
        return "expect_version: expected a whole number from 0"
    change_id = document.get("change_id", "")
    if not isinstance(change_id, str) or len(change_id) > MAX_CHANGE_ID_CHARS:
        return f"change_id: expected at most {MAX_CHANGE_ID_CHARS} characters"
    reason = document.get("reason", "")
    if not isinstance(reason, str) or len(reason) > MAX_REASON_CHARS:
        return f"reason: expected at most {MAX_REASON_CHARS} characters"
    return AskedChange(change_id, reason, expected, document["tree"])


def find_faults(tree: store.Json) -> list[dict[str, typing.Any]]:
    """Returns every fault of a tree, with its path."""
    validator = jsonschema.Draft202012Validator(schema.build_schema())
    found = sorted(
        validator.iter_errors(tree), key=lambda error: list(map(str, error.path))
    )
    return [
        {
            "path": "/" + "/".join(str(part) for part in error.absolute_path),
            "detail": error.message[:500],
        }
        for error in found[:MAX_FAULTS]
    ]
