"""Prints responses of the entries as text or JSON."""

from __future__ import annotations

import collections.abc
import json
import sys

from chicoryweir_policy import store


def print_json(value: store.Json) -> None:
    """Prints a JSON document on standard output."""
    print(json.dumps(value, indent=2, ensure_ascii=True))


def print_line(text: str) -> None:
    """Prints one line; escapes characters that standard output can't encode."""
    print(_encode(text, sys.stdout.encoding))


def print_error(text: str) -> None:
    """Prints one line on standard error, escaped like `print_line`."""
    print(_encode(text, sys.stderr.encoding), file=sys.stderr)


def format_value(value: store.Json) -> str:
    """Returns a string as it is and any other value as JSON on one line."""
    return value if isinstance(value, str) else json.dumps(value, ensure_ascii=True)


def format_fields(item: store.Json, names: collections.abc.Sequence[str] = ()) -> str:
    """Formats the named fields of an object, or all if it has none of them."""
    if not isinstance(item, dict):
        return format_value(item)
    selected = [name for name in names if name in item] or list(item)
    return "  ".join(f"{name}={format_value(item[name])}" for name in selected)


def list_items(body: dict[str, store.Json], name: str) -> list[store.Json]:
    """Returns the list field `name` of a response, or an empty list if it has none."""
    items = body.get(name)
    return items if isinstance(items, list) else []


def _encode(text: str, encoding: str | None) -> str:
    codec = encoding or "ascii"
    return text.encode(codec, errors="backslashreplace").decode(codec)
