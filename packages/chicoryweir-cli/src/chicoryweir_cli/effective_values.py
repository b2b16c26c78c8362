"""Effective settings of a document at one node of the tree."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees

ROOT = "fleet"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Node to resolve at; an empty name matches only `*`."""

    place: str
    service: str
    workspace: str
    classes: tuple[requests.PriorityClass, ...]


def parse_place(path: str) -> Place | None:
    """Reads `PLACE/SERVICE/WORKSPACE/CLASS` or a pointer to a node.

    Parts left out match only `*`; without a class all classes are resolved.
    None when the path names no node.
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
    by_name = {item.name.lower(): (item,) for item in requests.PriorityClass}
    chosen = tuple(requests.PriorityClass)
    if names[3] and names[3] != trees.ANY_NAME:
        if names[3] not in by_name:
            return None
        chosen = by_name[names[3]]
    return Place(names[0], names[1], names[2], chosen)


def list_values(document: store.Json, place: Place) -> list[dict[str, store.Json]]:
    """Lists the values in effect with the node that each came from."""
    tree = trees.parse_tree(document)
    return [
        {
            "class": priority.name.lower(),
            "name": origin.name,
            "value": origin.value,
            "from": origin.node,
        }
        for priority in place.classes
        for origin in resolution.explain(
            tree, place.place, place.service, place.workspace, priority
        )
    ]
