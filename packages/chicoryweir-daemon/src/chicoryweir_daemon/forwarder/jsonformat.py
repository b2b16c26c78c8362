"""Decodes JSON from other processes."""

from __future__ import annotations

import typing

import msgspec

_DecodedT = typing.TypeVar("_DecodedT")


def decode(data: bytes, expected: type[_DecodedT], *, strict: bool = True) -> _DecodedT:
    """Decodes JSON of an expected type.

    Args:
        data: Encoded JSON.
        expected: Type of the decoded value.
        strict: Whether a value of another type, such as a number in a string, is an
            error.

    Raises:
        ValueError: The data is not JSON of that type, or is nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=expected, strict=strict)
    except RecursionError as error:
        # Also raised for fields that the type doesn't have.
        raise ValueError(f"nested too deeply: {error}") from error
