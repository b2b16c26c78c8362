"""Draws that a text determines, so that equal inputs decide alike."""

from __future__ import annotations

import xxhash

_HASH_RANGE = 2.0**64


def hash_to_unit(text: str, seed: int = 0) -> float:
    """Returns a number from 0 to 1 that differs between texts, and between seeds."""
    return xxhash.xxh64_intdigest(text.encode(), seed=seed) / _HASH_RANGE
