"""Copies of a settings version that processes hold and exchange."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import store
from chicoryweir_policy.settings import delta
from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import tree as trees

EMPTY_DOCUMENT: store.Json = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """The head of a version and the canonical bytes of its document."""

    head: heads.Head
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedCopy:
    """An intact copy and the tree parsed from it."""

    copy: Copy
    tree: trees.Tree


def load_copy(copy: Copy) -> LoadedCopy | None:
    """Parses a copy; returns None if the digest or the document is not valid."""
    if copy.head.digest and documents.compute_digest(copy.data) != copy.head.digest:
        return None
    decoding = documents.decode_stored(copy.data)
    if isinstance(decoding, documents.Undecodable):
        return None
    return _parse(copy, decoding.document)


def load_from_delta(
    base: Copy | None, head: heads.Head, encoded: bytes | None
) -> LoadedCopy | None:
    """Builds the copy of a version from the version before and an encoded delta.

    Returns:
        The copy, or None if there is no delta or it does not apply to `base`.
    """
    if base is None or encoded is None:
        return None
    decoded = delta.decode_delta(encoded)
    if decoded is None or decoded.digest != head.digest:
        return None
    patched = delta.apply_delta(base.data, decoded)
    if patched is None:
        return None
    return _parse(Copy(head, patched.data), patched.document)


def _parse(copy: Copy, document: store.Json) -> LoadedCopy | None:
    try:
        return LoadedCopy(copy, trees.parse_tree(document))
    except (KeyError, ValueError, TypeError):
        return None


def read_document(copy: Copy | None) -> store.Json:
    """Returns the document of a copy, or an empty one if it cannot be decoded."""
    decoding = documents.decode_stored(copy.data) if copy is not None else None
    if not isinstance(decoding, documents.Decoded):
        return EMPTY_DOCUMENT
    return decoding.document
