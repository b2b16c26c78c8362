"""Drops the parts of a document that equal those of a validated document."""

from __future__ import annotations

import enum

from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import tree as trees

_NAMED_MAPS = ("workspaces", "operators", "services")


class Extent(enum.Enum):
    """Extent of a change to a value.

    Attributes:
        WITHIN: Only values nested in it changed.
        WHOLE: The value was added, removed or replaced.
    """

    WITHIN = "within"
    WHOLE = "whole"


def prune_unchanged(document: store.Json, base: store.Json) -> store.Json:
    """Drops the entries of maps keyed by name that are equal in `base`.

    The result has the structure of a settings document. If `base` passes the schema,
    the result passes it exactly if `document` does.
    """
    changed = _find_changed(base, document)
    if not isinstance(document, dict) or changed.get("") is Extent.WHOLE:
        return document
    pruned = dict(document)
    for name in _NAMED_MAPS:
        if name in document:
            pruned[name] = _prune_children(document[name], f"/{name}", None, changed)
    if "fleet" in document:
        pruned["fleet"] = _prune_node(document["fleet"], "/fleet", 0, changed)
    return pruned


def _find_changed(base: store.Json, document: store.Json) -> dict[str, Extent]:
    """Returns the extent of change of changed values and their parents, by pointer."""
    changed: dict[str, Extent] = {}
    for change in difference.find_changes(base, document):
        path = change.path
        changed[path] = Extent.WHOLE
        while path:
            path = path.rpartition("/")[0]
            changed.setdefault(path, Extent.WITHIN)
    return changed


def _prune_children(
    children: store.Json, path: str, depth: int | None, changed: dict[str, Extent]
) -> store.Json:
    """Drops the unchanged children of a map.

    Args:
        children: The map.
        path: JSON pointer of the map.
        depth: Depth of the children in the fleet tree; None if they are not nodes.
        changed: Extent of each change by JSON pointer.
    """
    if not isinstance(children, dict) or changed.get(path) is Extent.WHOLE:
        return children
    kept: dict[str, store.Json] = {}
    for name, child in children.items():
        child_path = difference.join_pointer(path, name)
        if child_path in changed:
            kept[name] = (
                child
                if depth is None
                else _prune_node(child, child_path, depth, changed)
            )
    return kept


def _prune_node(
    node: store.Json, path: str, depth: int, changed: dict[str, Extent]
) -> store.Json:
    if not isinstance(node, dict) or changed.get(path) is Extent.WHOLE:
        return node
    if depth >= len(trees.LEVELS) or trees.LEVELS[depth] not in node:
        return node
    level = trees.LEVELS[depth]
    children = _prune_children(node[level], f"{path}/{level}", depth + 1, changed)
    return {**node, level: children}
