"""Authenticates operators by their keys."""

from __future__ import annotations

import hashlib

from chicoryweir_policy.settings import tree as trees


def find_operator(authorization: str, tree: trees.Tree | None) -> str | None:
    """Returns the operator whose key an `Authorization` header carries, or None.

    The lookup is by the key's SHA-256. An attacker can't choose the hash of a guess, so
    the time of the lookup reveals nothing about a valid key.
    """
    scheme, _, key = authorization.partition(" ")
    if tree is None or scheme.lower() != "bearer" or not key.strip():
        return None
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    return tree.operator_by_key.get(digest)
