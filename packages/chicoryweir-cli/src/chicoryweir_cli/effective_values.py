"""Effective settings at one node of a settings document."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees

ROOT = "fleet"


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """Node to resolve settings at and its classes; an empty name matches only `*`."""

    data_centre: str
    service: str
    workspace: str
    classes: tuple[requests.PriorityClass, ...]


def parse_scope(path: str) -> Scope | None:
    """Parses `PLACE/SERVICE/WORKSPACE/CLASS` or a JSON pointer to a node.

    Omitted parts match only `*`; without a class, all classes are resolved.
    Returns None if the path doesn't name a node.
    """
    names = list(difference.split_pointer("/" + path.strip("/")))
    if names and names[0] == ROOT:
        levels = names[1::2]
        if tuple(levels) != trees.LEVELS[: len(levels)] or len(names) % 2 == 0:
            return None
        names = names[2::2]
    if len(names) > len(trees.LEVELS):
        return None
    names += [""] * (len(trees.LEVELS) - len(names))
    class_by_name = {item.name.lower(): (item,) for item in requests.PriorityClass}
    classes = tuple(requests.PriorityClass)
    if names[3] and names[3] != trees.ANY_NAME:
        if names[3] not in class_by_name:
            return None
        classes = class_by_name[names[3]]
    return Scope(names[0], names[1], names[2], classes)


def list_values(document: store.Json, scope: Scope) -> list[dict[str, store.Json]]:
    """Lists the effective values, each with the node that sets it."""
    tree = trees.parse_tree(document)
    return [
        {
            "class": priority.name.lower(),
            "name": origin.name,
            "value": origin.value,
            "from": origin.node,
        }
        for priority in scope.classes
        for origin in resolution.explain(
            tree, scope.data_centre, scope.service, scope.workspace, priority
        )
    ]
