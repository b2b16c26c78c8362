"""Differences between two operators' configurations, without their secrets."""

from __future__ import annotations

import collections.abc
import hashlib

from chicoryweir_policy import store
from chicoryweir_policy.settings import difference

_SHOWN_DIGEST_DIGITS = 12


def find_changes(
    before: store.Json,
    after: store.Json,
    *,
    name_keys: collections.abc.Sequence[str],
    secret_keys: collections.abc.Collection[str],
) -> tuple[difference.Change, ...]:
    """Lists the changes from one configuration to another, ordered by path.

    Lists of objects are compared by their names, whatever their order; a list in which
    a name is missing or doubled is compared as a whole. Secrets are shown by the
    first digits of their SHA-256.

    Args:
        before: First document.
        after: Second document.
        name_keys: Keys that name an object in a list; the first that all have counts.
        secret_keys: Keys whose value is a secret or a list of secrets.
    """
    return difference.find_changes(
        _normalize(before, name_keys, secret_keys),
        _normalize(after, name_keys, secret_keys),
    )


def _normalize(
    value: store.Json,
    name_keys: collections.abc.Sequence[str],
    secret_keys: collections.abc.Collection[str],
) -> store.Json:
    if isinstance(value, dict):
        return {
            key: _digest_secrets(child)
            if key in secret_keys
            else _normalize(child, name_keys, secret_keys)
            for key, child in value.items()
        }
    if isinstance(value, list):
        items = [_normalize(item, name_keys, secret_keys) for item in value]
        indexed = _index_by_name(items, name_keys)
        return items if indexed is None else indexed
    return value


def _index_by_name(
    items: list[store.Json], name_keys: collections.abc.Sequence[str]
) -> dict[str, store.Json] | None:
    """Returns the items by name, or None if they don't have distinct names."""
    for name_key in name_keys:
        indexed: dict[str, store.Json] = {}
        for item in items:
            name = item.get(name_key) if isinstance(item, dict) else None
            if isinstance(name, str):
                indexed[name] = item
        if len(indexed) == len(items):
            return indexed
    return None


def _digest_secrets(value: store.Json) -> store.Json:
    if isinstance(value, list):
        return [_digest_secrets(item) for item in value]
    digest = hashlib.sha256(str(value).encode()).hexdigest()
    return f"sha256:{digest[:_SHOWN_DIGEST_DIGITS]}"
