"""Decodes JSON, with or without comments, and encodes it in a canonical form."""

from __future__ import annotations

import collections.abc
import dataclasses
import json
import math
import re
import typing

import xxhash

from chicoryweir_policy import store

MAX_TEXT_BYTES = 32 << 20
MAX_INTEGER_DIGITS = 300
_STRING = r'("(?:\\.|[^"\\])*(?:"|\Z))'
_COMMENT = re.compile(_STRING + r"|//[^\r\n]*|/\*.*?(?:\*/|\Z)", re.DOTALL)
_TRAILING_COMMA = re.compile(_STRING + r"|,(?=\s*[\]}])", re.DOTALL)
_NOT_NEWLINE = re.compile(r"[^\n]")


@dataclasses.dataclass(frozen=True, slots=True)
class Decoded:
    """A successfully decoded document."""

    document: store.Json


@dataclasses.dataclass(frozen=True, slots=True)
class Undecodable:
    """A text that is not a valid document.

    Attributes:
        detail: Description of the error.
        line: Line of the error, from 1; 0 if unknown.
        column: Column of the error, from 1; 0 if unknown.
    """

    detail: str
    line: int = 0
    column: int = 0


Decoding = Decoded | Undecodable


def parse_text(data: bytes) -> Decoding:
    """Decodes JSON with comments and trailing commas; rejects duplicate keys."""
    return _decode(data, _load_commented)


def decode_document(data: bytes) -> Decoding:
    """Decodes plain JSON from an untrusted source; rejects duplicate keys."""
    return _decode(data, _load_document)


def decode_stored(data: bytes) -> Decoding:
    """Decodes output of `encode_document`, which has no duplicate keys; faster."""
    return _decode(data, _load_stored)


def encode_document(document: store.Json) -> bytes:
    """Encodes a document in its canonical form; equal documents give equal bytes.

    Raises:
        ValueError: The document contains a number that JSON cannot represent.
    """
    return json.dumps(
        document,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=True,
        allow_nan=False,
    ).encode()


def compute_digest(data: bytes) -> str:
    """Returns the digest that identifies the content of an object."""
    return xxhash.xxh3_128_hexdigest(data)


def _load_commented(text: str) -> store.Json:
    return _load_document(
        _replace_with_spaces(_TRAILING_COMMA, _replace_with_spaces(_COMMENT, text))
    )


def _replace_with_spaces(pattern: re.Pattern[str], text: str) -> str:
    """Replaces matches that are not strings by spaces; line and column numbers stay."""
    return pattern.sub(lambda match: match[1] or _NOT_NEWLINE.sub(" ", match[0]), text)


def _load_document(text: str) -> store.Json:
    document: store.Json = json.loads(
        text,
        object_pairs_hook=_collect_pairs,
        parse_constant=_reject_constant,
        parse_float=_parse_float,
        parse_int=_parse_int,
    )
    return document


def _load_stored(text: str) -> store.Json:
    document: store.Json = json.loads(
        text, parse_constant=_reject_constant, parse_float=_parse_float
    )
    return document


def _decode(data: bytes, load: collections.abc.Callable[[str], store.Json]) -> Decoding:
    if len(data) > MAX_TEXT_BYTES:
        return Undecodable(f"longer than {MAX_TEXT_BYTES} bytes")
    try:
        return Decoded(load(data.decode("utf-8-sig")))
    except json.JSONDecodeError as error:
        return Undecodable(error.msg, error.lineno, error.colno)
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return Undecodable("not UTF-8 text", line)
    except ValueError as error:
        return Undecodable(str(error))
    except RecursionError:
        return Undecodable("nested too deeply")


def _collect_pairs(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
    collected = dict(pairs)
    if len(collected) == len(pairs):
        return collected
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise ValueError(f"key {key!r} is doubled")
        seen.add(key)
    return collected


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is no JSON number")


def _parse_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"number {text[:40]} is out of range")
    return value


def _parse_int(text: str) -> int:
    if len(text) > MAX_INTEGER_DIGITS:
        raise ValueError(
            f"number {text[:40]}... has more than {MAX_INTEGER_DIGITS} digits"
        )
    return int(text)
