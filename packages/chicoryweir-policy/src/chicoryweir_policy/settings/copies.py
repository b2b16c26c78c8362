"""Copies of a settings version, as processes keep and exchange them."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.settings import documents
from chicoryweir_policy.settings import heads
from chicoryweir_policy.settings import tree as trees


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """A version and the bytes of its document."""

    head: heads.Head
    data: bytes


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
