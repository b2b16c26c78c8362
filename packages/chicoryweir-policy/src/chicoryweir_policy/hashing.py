"""Deterministic pseudo-random numbers, derived from a text by hashing."""

from __future__ import annotations

import xxhash

_HASH_RANGE = 2.0**64


def hash_to_unit(text: str, seed: int = 0) -> float:
    """Maps a text to a number from 0 to 1; equal texts and seeds give equal numbers."""
    return xxhash.xxh64_intdigest(text.encode(), seed=seed) / _HASH_RANGE
