"""Deltas between settings documents: what changed since a version both sides hold."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes from a base document to another.

    Attributes:
        base_digest: Digest of the base document's canonical bytes.
        digest: Digest of the other document's canonical bytes.
        changes: Changes; an absent `after` removes the value.
    """

    base_digest: str
    digest: str
    changes: tuple[difference.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PatchedDocument:
    """A document made from a base and a delta, with its canonical bytes."""

    data: bytes
    document: store.Json


def compute_delta(base: bytes, target: bytes) -> Delta | None:
    """Computes the delta between two canonical documents.

    Returns:
        The delta, or None when applying it does not give the target's bytes.
    """
    before = documents.decode_stored(base)
    after = documents.decode_stored(target)
    if not isinstance(before, documents.Decoded):
        return None
    if not isinstance(after, documents.Decoded):
        return None
    delta = Delta(
        documents.compute_digest(base),
        documents.compute_digest(target),
        difference.find_changes(before.document, after.document),
    )
    patched = apply_delta(base, delta)
    return delta if patched is not None and patched.data == target else None


def apply_delta(base: bytes, delta: Delta) -> PatchedDocument | None:
    """Applies a delta to the bytes of its base.

    Returns:
        The other document, or None when the base or the result is not the one
        that the delta was computed for.
    """
    if documents.compute_digest(base) != delta.base_digest:
        return None
    decoding = documents.decode_stored(base)
    if not isinstance(decoding, documents.Decoded):
        return None
    document: store.Json = decoding.document
    for change in delta.changes:
        document = _apply_change(document, change)
    data = documents.encode_document(document)
    if documents.compute_digest(data) != delta.digest:
        return None
    return PatchedDocument(data, document)


def encode_delta(delta: Delta) -> bytes:
    """Writes a delta as JSON."""
    return documents.encode_document(
        {
            "base_digest": delta.base_digest,
            "digest": delta.digest,
            "changes": [
                [change.path]
                if isinstance(change.after, difference.Absent)
                else [change.path, change.after]
                for change in delta.changes
            ],
        }
    )


def decode_delta(data: bytes) -> Delta | None:
    """Reads a delta; None when it is damaged."""
    decoding = documents.decode_stored(data)
    if not isinstance(decoding, documents.Decoded):
        return None
    value = decoding.document
    listed = value.get("changes") if isinstance(value, dict) else None
    if not isinstance(value, dict) or not isinstance(listed, list):
        return None
    changes: list[difference.Change] = []
    for item in listed:
        if not isinstance(item, list) or not item or not isinstance(item[0], str):
            return None
        after = item[1] if len(item) > 1 else difference.ABSENT
        changes.append(difference.Change(item[0], difference.ABSENT, after))
    return Delta(
        str(value.get("base_digest")), str(value.get("digest")), tuple(changes)
    )


def _apply_change(document: store.Json, change: difference.Change) -> store.Json:
    """Applies a change in place; a path that is not there is left alone."""
    keys = difference.split_pointer(change.path)
    if not keys:
        return None if isinstance(change.after, difference.Absent) else change.after
    target = document
    for key in keys[:-1]:
        target = target.get(key) if isinstance(target, dict) else None
    if isinstance(target, dict):
        if isinstance(change.after, difference.Absent):
            target.pop(keys[-1], None)
        else:
            target[keys[-1]] = change.after
    return document
