"""The head row, which names the current settings version, and related keys."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import store

HEAD_KEY = "settings/head"
HISTORY_PREFIX = "settings/history/"
MAX_HISTORY_VERSIONS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """One accepted version of the settings.

    Attributes:
        version: Version number; increases by one per accepted change.
        object_name: Name of the object that holds the document.
        digest: Digest of the object's bytes.
        change_id: Identifier of the change that created the version.
        author: Operator who made the change.
        at: Wall-clock time of the change in seconds, shown to operators only.
        reason: Reason that the operator gave.
    """

    version: int
    object_name: str
    digest: str
    change_id: str
    author: str
    at: float
    reason: str


def make_object_name(version: int, change_id: str) -> str:
    """Returns the name of the object that holds a version's document."""
    return f"settings/{version}-{change_id}"


def make_delta_name(object_name: str) -> str:
    """Returns the name of the object that holds the delta from the version before."""
    return f"{object_name}.delta"


def make_history_key(version: int) -> str:
    """Returns the key of a version's history row; keys sort by version."""
    return f"{HISTORY_PREFIX}{version:012d}"


def render_head(head: Head) -> store.Json:
    """Returns the row value of a head, for the head row or a history row."""
    return {
        "version": head.version,
        "object": head.object_name,
        "digest": head.digest,
        "change_id": head.change_id,
        "author": head.author,
        "at": head.at,
        "reason": head.reason,
    }


def parse_head(value: store.Json) -> Head | None:
    """Parses the value of a head or history row; returns None if it is damaged."""
    if not isinstance(value, dict):
        return None
    version = value.get("version")
    name = value.get("object")
    at = value.get("at")
    if not isinstance(version, int) or version < 1 or not isinstance(name, str):
        return None
    return Head(
        version=version,
        object_name=name,
        digest=str(value.get("digest", "")),
        change_id=str(value.get("change_id", "")),
        author=str(value.get("author", "")),
        at=float(at) if isinstance(at, int | float) else 0.0,
        reason=str(value.get("reason", "")),
    )
