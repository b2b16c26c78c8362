"""Prints what the entries answered, for people or as JSON."""

from __future__ import annotations

import collections.abc
import json
import sys

from chicoryweir_policy import store


def print_json(value: store.Json) -> None:
    """Prints one JSON document on standard output."""
    print(json.dumps(value, indent=2, ensure_ascii=True))


def print_line(text: str) -> None:
    """Prints one line; characters that the terminal lacks are escaped."""
    print(_encode(text, sys.stdout.encoding))


def print_error(text: str) -> None:
    """Prints one line on standard error."""
    print(_encode(text, sys.stderr.encoding), file=sys.stderr)


def format_value(value: store.Json) -> str:
    """Returns a value as JSON text on one line."""
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=True)


def format_fields(item: store.Json, names: collections.abc.Sequence[str] = ()) -> str:
    """Returns the fields of an object on one line; all of them when none is named."""
    if not isinstance(item, dict):
        return format_value(item)
    shown = [name for name in names if name in item] or list(item)
    return "  ".join(f"{name}={format_value(item[name])}" for name in shown)


def list_items(body: dict[str, store.Json], name: str) -> list[store.Json]:
    """Returns a list within an answer; empty when it is not there."""
    items = body.get(name)
    return items if isinstance(items, list) else []


def _encode(text: str, encoding: str | None) -> str:
    safe = encoding or "ascii"
    return text.encode(safe, errors="backslashreplace").decode(safe)
