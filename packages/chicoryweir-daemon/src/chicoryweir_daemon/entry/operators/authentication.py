"""Admits operators by their keys."""

from __future__ import annotations

import hashlib

from chicoryweir_policy.settings import tree as trees


def find_operator(authorization: str, tree: trees.Tree | None) -> str | None:
    """Returns the operator whose key a header holds, or None.

    Keys are compared by their SHA-256, which an attacker can't steer, so the time of
    the look-up tells nothing of a key.
    """
    scheme, _, key = authorization.partition(" ")
    if tree is None or scheme.lower() != "bearer" or not key.strip():
        return None
    digest = hashlib.sha256(key.strip().encode()).hexdigest()
    return tree.operator_by_key.get(digest)
