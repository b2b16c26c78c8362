"""Finds entries of a valid document that never match or have no effect."""

from __future__ import annotations

import collections.abc

from chicoryweir_policy import requests
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import faults
from chicoryweir_policy.settings import nodes
from chicoryweir_policy.settings import tree as trees

_CLASS_NAMES = tuple(item.name.lower() for item in requests.PriorityClass)
# The lookups of each setting in the cores decide what belongs into these sets.
_READ_WITHOUT_WORKSPACE = frozenset(
    {
        "floor_share",
        "drain_timeout_ms",
        "max_ejected_share",
        "map_gain_min",
        "map_keep_s",
    }
)
_READ_FOR_STANDARD_ONLY = _READ_WITHOUT_WORKSPACE - {"floor_share"}
_READ_FOR_URGENT_ONLY = frozenset({"hedge_after_ms"})
_READ_BEFORE_THE_MODEL = frozenset({"max_header_bytes", "max_request_bytes"})
_READ_FOR_GROUPS_ONLY = frozenset({"map_gain_min", "map_keep_s"})
# The size of an agent's queue is fixed.
_UNREAD = frozenset({"queue_limit"})


def find_warnings(tree: trees.Tree) -> collections.abc.Iterator[faults.Fault]:
    """Yields a warning for each entry without an effect."""
    for placed in nodes.iterate_nodes(tree):
        for name in placed.node.values:
            allowed = _find_reading_scope(placed, name, tree)
            if allowed is not None:
                yield _make_warning(placed, name, "value has no effect here", allowed)
        yield from _find_hidden_class_values(placed)
    yield from _find_unreachable_models(tree)
    for operator, hashes in tree.operator_keys.items():
        if not hashes:
            path = difference.join_pointer("/operators", operator)
            allowed = "a key in keys_sha256"
            yield faults.Fault(
                path, "operator without a key can do nothing", "no key", allowed
            )


def find_unknown_places(
    tree: trees.Tree, known: collections.abc.Collection[str]
) -> collections.abc.Iterator[faults.Fault]:
    """Yields a warning for each place of the tree in which there is no instance."""
    for name in tree.fleet.children:
        if name != trees.ANY_NAME and name not in known:
            yield faults.Fault(
                difference.join_pointer("/fleet/places", name),
                "no instance is in this place",
                faults.format_value(name),
                "* or one of " + ", ".join(sorted(known)),
                is_key_fault=True,
            )


def _find_reading_scope(
    placed: nodes.PlacedNode, name: str, tree: trees.Tree
) -> str | None:
    """Returns where a value would have an effect, or None if it has one here."""
    class_name = placed.get_name("classes")
    service = tree.services.get(placed.get_name("services") or "")
    if name in _UNREAD:
        return "nothing; this release does not read it"
    if name in _READ_WITHOUT_WORKSPACE and placed.get_name("workspaces"):
        return "nodes that name no workspace"
    if name in _READ_FOR_STANDARD_ONLY and class_name not in (None, "standard"):
        return "nodes of no class or of class standard"
    if name in _READ_FOR_URGENT_ONLY and class_name not in (None, "urgent"):
        return "nodes of no class or of class urgent"
    if service is None:
        return None
    if name in _READ_BEFORE_THE_MODEL and service.kind is trees.ServiceKind.MODEL:
        return "nodes that name no model service: it is read before the model is known"
    groups = {group.service for group in tree.groups.values()}
    if name in _READ_FOR_GROUPS_ONLY and service.name not in groups:
        return "services that have a group"
    return None


def _find_hidden_class_values(
    placed: nodes.PlacedNode,
) -> collections.abc.Iterator[faults.Fault]:
    """Finds values of the class `*` that each of the classes beside it sets too."""
    children = placed.node.children
    if len(placed.names) != len(trees.LEVELS) - 1 or trees.ANY_NAME not in children:
        return
    if any(name not in children for name in _CLASS_NAMES):
        return
    any_class = children[trees.ANY_NAME]
    for name in any_class.values:
        if all(name in children[other].values for other in _CLASS_NAMES):
            path = f"{placed.path}/classes/{trees.ANY_NAME}"
            hidden = nodes.PlacedNode(path, placed.names, any_class)
            allowed = "a class that does not set it"
            yield _make_warning(hidden, name, "all classes set this value", allowed)


def _find_unreachable_models(
    tree: trees.Tree,
) -> collections.abc.Iterator[faults.Fault]:
    owners: dict[str, str] = {}
    for service in tree.services.values():
        path = f"{difference.join_pointer('/services', service.name)}/models"
        if service.kind is trees.ServiceKind.MODEL and not service.models:
            problem = "no completion reaches a service without models"
            yield faults.Fault(path, problem, "no model", "at least one model")
        for index, model in enumerate(service.models):
            owner = owners.setdefault(model, service.name)
            if owner != service.name:
                yield faults.Fault(
                    f"{path}/{index}",
                    f"completions of this model go to /services/{owner}",
                    faults.format_value(model),
                    "a model that no other service lists",
                )


def _make_warning(
    placed: nodes.PlacedNode, name: str, problem: str, allowed: str
) -> faults.Fault:
    found = faults.format_value(placed.node.values[name])
    return faults.Fault(placed.make_value_path(name), problem, found, allowed)
