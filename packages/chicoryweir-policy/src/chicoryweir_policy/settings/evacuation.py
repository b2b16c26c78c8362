"""Evacuation of places by the setting `evacuated`."""

from __future__ import annotations

import collections.abc
import copy
import dataclasses

from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees

SETTING = "evacuated"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A place that is known from the instances.

    Attributes:
        name: Name of the place.
        has_endpoints: Whether an agent is in it.
    """

    name: str
    has_endpoints: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """The document after the change."""

    document: store.Json


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The place is in the requested state already."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownPlace:
    """No place has this name; `known` lists those that exist."""

    known: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LastPlace:
    """No place with endpoints would remain."""


Plan = Changed | Unchanged | UnknownPlace | LastPlace


def is_evacuated(tree: trees.Tree, place: str) -> bool:
    """Returns whether the settings evacuate a place."""
    return resolution.resolve(
        tree, place, "", "", requests.PriorityClass.STANDARD
    ).evacuated


def list_named(tree: trees.Tree) -> tuple[str, ...]:
    """Returns the places that the fleet tree names."""
    return tuple(name for name in tree.fleet.children if name != trees.ANY_NAME)


def plan_change(
    document: store.Json,
    place: str,
    evacuated: bool,
    known: collections.abc.Iterable[Place],
) -> Plan:
    """Plans to evacuate a place or to end its evacuation.

    Args:
        document: Valid settings document in force.
        place: Place to change.
        evacuated: Whether the place is to be evacuated.
        known: Places known from the instances. If one of them has endpoints, only such
            places count as remaining.
    """
    tree = trees.parse_tree(document)
    has_endpoints = {item.name: item.has_endpoints for item in known}
    names = {*list_named(tree), *has_endpoints}
    if place not in names:
        return UnknownPlace(tuple(sorted(names)))
    if is_evacuated(tree, place) == evacuated:
        return Unchanged()
    usable = {name for name in names if has_endpoints.get(name)} or names
    remaining = {
        name for name in usable if name != place and not is_evacuated(tree, name)
    }
    if evacuated and not remaining:
        return LastPlace()
    return Changed(_set_value(document, place, evacuated))


def _set_value(document: store.Json, place: str, evacuated: bool) -> store.Json:
    """Returns a copy in which the place's value has the requested effect.

    Removes the value if that suffices, with the objects that it leaves empty, so that
    the end of an evacuation restores the document from before it.
    """
    removed = copy.deepcopy(document)
    fleet = _get_child(removed, "fleet")
    places = _get_child(fleet, "places")
    node = _get_child(places, place)
    settings = _get_child(node, "settings")
    settings.pop(SETTING, None)
    for parent, key in ((node, "settings"), (places, place)):
        if not parent[key]:
            del parent[key]
    if is_evacuated(trees.parse_tree(removed), place) == evacuated:
        return removed
    changed = copy.deepcopy(document)
    node = _get_child(_get_child(_get_child(changed, "fleet"), "places"), place)
    _get_child(node, "settings")[SETTING] = evacuated
    return changed


def _get_child(parent: store.Json, key: str) -> dict[str, store.Json]:
    """Returns the object at a key and adds it if it is missing."""
    assert isinstance(parent, dict)
    child = parent.setdefault(key, {})
    assert isinstance(child, dict)
    return child
