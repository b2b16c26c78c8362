"""Copies of a settings version, as processes keep and exchange them."""

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
    """A version and the bytes of its document."""

    head: heads.Head
    data: bytes


def patch_copy(
    held: Copy | None, head: heads.Head, encoded: bytes | None
) -> Copy | None:
    """Makes the copy of a version from the one before and an encoded delta.

    None when there is no delta, or it does not fit the copy held.
    """
    if held is None or encoded is None:
        return None
    data = delta.apply_encoded(held.data, encoded)
    return Copy(head, data) if data is not None else None


def load_tree(copy: Copy) -> trees.Tree | None:
    """Parses a copy; None when it is not whole or is no settings document."""
    if copy.head.digest and documents.compute_digest(copy.data) != copy.head.digest:
        return None
    decoding = documents.decode_document(copy.data)
    if isinstance(decoding, documents.Undecodable):
        return None
    try:
        return trees.parse_tree(decoding.document)
    except (KeyError, ValueError, TypeError):
        return None


def read_document(copy: Copy | None) -> store.Json:
    """Returns the document of a copy; an empty one when it cannot be read."""
    decoding = documents.decode_document(copy.data) if copy is not None else None
    if not isinstance(decoding, documents.Decoded):
        return EMPTY_DOCUMENT
    return decoding.document
