"""Leaves out the parts of a document that are as in one checked before."""

from __future__ import annotations

import enum

from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import tree as trees

_NAMED = ("workspaces", "operators", "services")


class Extent(enum.Enum):
    """How much of a value is not as before."""

    WITHIN = "within"
    WHOLE = "whole"


def prune_unchanged(document: store.Json, base: store.Json) -> store.Json:
    """Drops named children that are the same in `base`.

    What is left has the shape of a settings document, and passes the schema if
    and only if the whole document does, provided that `base` passes it.
    """
    touched = _find_touched(base, document)
    if not isinstance(document, dict) or touched.get("") is Extent.WHOLE:
        return document
    pruned = dict(document)
    for name in _NAMED:
        if name in document:
            pruned[name] = _prune_children(document[name], f"/{name}", None, touched)
    if "fleet" in document:
        pruned["fleet"] = _prune_node(document["fleet"], "/fleet", 0, touched)
    return pruned


def _find_touched(base: store.Json, document: store.Json) -> dict[str, Extent]:
    """Returns the extent of change of each value that is not as before."""
    touched: dict[str, Extent] = {}
    for change in difference.find_changes(base, document):
        path = change.path
        touched[path] = Extent.WHOLE
        while path:
            path = path.rpartition("/")[0]
            touched.setdefault(path, Extent.WITHIN)
    return touched


def _prune_children(
    children: store.Json, path: str, depth: int | None, touched: dict[str, Extent]
) -> store.Json:
    """Keeps the touched children of a map; prunes them too where they are nodes."""
    if not isinstance(children, dict) or touched.get(path) is Extent.WHOLE:
        return children
    kept: dict[str, store.Json] = {}
    for name, child in children.items():
        inner = difference.join_pointer(path, name)
        if inner in touched:
            kept[name] = (
                child if depth is None else _prune_node(child, inner, depth, touched)
            )
    return kept


def _prune_node(
    node: store.Json, path: str, depth: int, touched: dict[str, Extent]
) -> store.Json:
    if not isinstance(node, dict) or touched.get(path) is Extent.WHOLE:
        return node
    if depth >= len(trees.LEVELS) or trees.LEVELS[depth] not in node:
        return node
    level = trees.LEVELS[depth]
    children = _prune_children(node[level], f"{path}/{level}", depth + 1, touched)
    return {**node, level: children}
