"""Deltas between settings documents, relative to a version that both sides hold."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes from a base document to a target document.

    Attributes:
        base_digest: Digest of the base document's canonical bytes.
        digest: Digest of the target document's canonical bytes.
        changes: Changed values; an absent `after` removes the value.
    """

    base_digest: str
    digest: str
    changes: tuple[difference.Change, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PatchedDocument:
    """The result of applying a delta: a document and its canonical bytes."""

    data: bytes
    document: store.Json


def compute_delta(base: bytes, target: bytes) -> Delta | None:
    """Computes the delta between two canonical documents.

    Returns:
        The delta, or None if applying it would not give the target's exact bytes.
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
        The target document, or None if the digest of the base or of the result does
        not match the delta.
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
    """Encodes a delta as JSON."""
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
    """Decodes a delta; returns None if it is damaged."""
    decoding = documents.decode_stored(data)
    if not isinstance(decoding, documents.Decoded):
        return None
    value = decoding.document
    encoded_changes = value.get("changes") if isinstance(value, dict) else None
    if not isinstance(value, dict) or not isinstance(encoded_changes, list):
        return None
    changes: list[difference.Change] = []
    for item in encoded_changes:
        if not isinstance(item, list) or not item or not isinstance(item[0], str):
            return None
        after = item[1] if len(item) > 1 else difference.ABSENT
        changes.append(difference.Change(item[0], difference.ABSENT, after))
    return Delta(
        str(value.get("base_digest")), str(value.get("digest")), tuple(changes)
    )


def _apply_change(document: store.Json, change: difference.Change) -> store.Json:
    """Applies a change in place; ignores a path whose parent does not exist."""
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
