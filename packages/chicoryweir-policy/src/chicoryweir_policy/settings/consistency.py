"""Cross-checks between the parts of a document that passed the schema."""

from __future__ import annotations

import collections.abc

from chicoryweir_policy import requests
from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import faults
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees

FLOOR_TOLERANCE = 1e-9
_OWNER_KINDS = ("workspaces", "operators")


def find_faults(document: store.Json) -> collections.abc.Iterator[faults.Fault]:
    """Yields the faults of a document that passed the schema."""
    tree = trees.parse_tree(document)
    yield from _check_keys(tree)
    yield from _check_operators(tree)
    yield from _check_services(tree)
    yield from _check_names(tree)
    yield from _check_floors(tree)


def _check_keys(tree: trees.Tree) -> collections.abc.Iterator[faults.Fault]:
    """Checks that each key hash belongs to one owner."""
    owners: dict[str, str] = {}
    for kind, keys in zip(
        _OWNER_KINDS, (tree.workspace_keys, tree.operator_keys), strict=True
    ):
        for owner, hashes in keys.items():
            for index, key_hash in enumerate(hashes):
                path = f"/{kind}/{owner}/keys_sha256/{index}"
                if key_hash in owners:
                    yield faults.Fault(
                        path,
                        f"key already belongs to {owners[key_hash]}",
                        faults.format_value(key_hash),
                        "a key hash that no other workspace or operator lists",
                    )
                owners.setdefault(key_hash, f"/{kind}/{owner}")


def _check_operators(tree: trees.Tree) -> collections.abc.Iterator[faults.Fault]:
    if not tree.operator_by_key:
        yield faults.Fault(
            "/operators",
            "no operator has a key, so no later change could be made",
            "no key",
            "at least one operator with a key in keys_sha256",
        )


def _check_services(tree: trees.Tree) -> collections.abc.Iterator[faults.Fault]:
    for service in tree.services.values():
        if service.kind is trees.ServiceKind.PLAIN and service.models:
            yield faults.Fault(
                f"/services/{service.name}/models",
                "a plain service has no models",
                f"a list of {len(service.models)} items",
                "no models, or kind model",
            )


def _check_names(tree: trees.Tree) -> collections.abc.Iterator[faults.Fault]:
    """Checks that services and workspaces named in the fleet tree are declared."""
    for data_centre, data_centre_node in tree.fleet.children.items():
        base = f"/fleet/places/{data_centre}/services"
        yield from _check_declared(base, data_centre_node, tree.services, "services")
        for service, service_node in data_centre_node.children.items():
            path = f"{base}/{service}/workspaces"
            yield from _check_declared(
                path, service_node, tree.workspace_keys, "workspaces"
            )


def _check_declared(
    path: str,
    node: trees.Node,
    declared: collections.abc.Collection[str],
    kind: str,
) -> collections.abc.Iterator[faults.Fault]:
    for name in node.children:
        if name != trees.ANY_NAME and name not in declared:
            yield faults.Fault(
                difference.join_pointer(path, name),
                f"name is not declared under /{kind}",
                faults.format_value(name),
                f"* or a name listed under /{kind}",
                is_key_fault=True,
            )


def _check_floors(tree: trees.Tree) -> collections.abc.Iterator[faults.Fault]:
    """Checks that the floor shares of the classes add up to at most 1."""
    reported: set[str] = set()
    for data_centre in (*tree.fleet.children, ""):
        for service in (*tree.services, ""):
            floors = [
                _explain_floor(tree, data_centre, service, priority)
                for priority in requests.PriorityClass
            ]
            total = sum(float(floor.value or 0.0) for floor in floors)
            if total <= 1.0 + FLOOR_TOLERANCE:
                continue
            node = max(floor.node for floor in floors)
            path = f"{node}/settings/floor_share"
            if path not in reported:
                reported.add(path)
                yield faults.Fault(
                    path,
                    f"floors of the classes exceed the capacity of service "
                    f"{service or trees.ANY_NAME!r} in place "
                    f"{data_centre or trees.ANY_NAME!r}",
                    f"{total:g} in all",
                    "floor_share of urgent, standard and bulk with a sum up to 1",
                )


def _explain_floor(
    tree: trees.Tree, data_centre: str, service: str, priority: requests.PriorityClass
) -> resolution.Origin:
    origins = resolution.explain(tree, data_centre, service, "", priority)
    return next(origin for origin in origins if origin.name == "floor_share")
