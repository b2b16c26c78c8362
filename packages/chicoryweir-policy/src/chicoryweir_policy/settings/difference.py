"""Differences between settings documents."""

from __future__ import annotations

import collections.abc
import dataclasses

from chicoryweir_policy import store


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Marks a value that one of the documents lacks."""


ABSENT = Absent()

ValueOrAbsent = store.Json | Absent


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One path at which two documents differ.

    Attributes:
        path: JSON pointer (RFC 6901) of the value.
        before: Value in the first document.
        after: Value in the second document.
    """

    path: str
    before: ValueOrAbsent
    after: ValueOrAbsent


def find_changes(before: store.Json, after: store.Json) -> tuple[Change, ...]:
    """Lists the changes from one document to another, ordered by path.

    Objects are compared key by key, lists and scalars as a whole.
    """
    return tuple(_walk_changes("", before, after))


def join_pointer(path: str, key: str) -> str:
    """Appends a key to a JSON pointer."""
    return f"{path}/{key.replace('~', '~0').replace('/', '~1')}"


def split_pointer(path: str) -> tuple[str, ...]:
    """Splits a JSON pointer into its keys."""
    if not path:
        return ()
    return tuple(
        key.replace("~1", "/").replace("~0", "~") for key in path.split("/")[1:]
    )


def render_value(value: ValueOrAbsent) -> store.Json:
    """Converts a value to JSON; an absent value becomes null."""
    return None if isinstance(value, Absent) else value


def _walk_changes(
    path: str, before: ValueOrAbsent, after: ValueOrAbsent
) -> collections.abc.Iterator[Change]:
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            yield from _walk_changes(
                join_pointer(path, key), before.get(key, ABSENT), after.get(key, ABSENT)
            )
    elif not _are_equal(before, after):
        yield Change(path, before, after)


def _are_equal(before: ValueOrAbsent, after: ValueOrAbsent) -> bool:
    """Compares by JSON types: true differs from 1, but 1 equals 1.0."""
    if isinstance(before, bool) or isinstance(after, bool):
        return before is after
    if isinstance(before, list) and isinstance(after, list):
        return len(before) == len(after) and all(map(_are_equal, before, after))
    if isinstance(before, dict) and isinstance(after, dict):
        return before.keys() == after.keys() and all(
            _are_equal(before[key], after[key]) for key in before
        )
    return before == after
