"""The tree of settings, parsed from a document that passed the schema."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import types
import typing

from chicoryweir_policy import store
from chicoryweir_policy.settings import catalogue

ANY_NAME = "*"
LEVELS = ("places", "services", "workspaces", "classes")

Value = None | int | float
KeyHashes = collections.abc.Mapping[str, tuple[str, ...]]


class ServiceKind(enum.Enum):
    """Kind of a service: a model behind engines, or plain HTTP."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the catalogue.

    Attributes:
        name: Name of the service.
        kind: Whether engines or plain endpoints answer it.
        models: Models it serves; empty for a plain service.
    """

    name: str
    kind: ServiceKind
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A lock-step group of ranks.

    Attributes:
        name: Name of the group.
        service: Service that its ranks answer for.
        ranks: Number of ranks.
        experts: Number of experts of a layer.
        slots_per_rank: Experts that a rank holds at once.
        agents: Instances of its agents; empty where every entry links to all.
    """

    name: str
    service: str
    ranks: int
    experts: int
    slots_per_rank: int
    agents: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A node of the tree.

    Attributes:
        values: Settings that the node overrides.
        children: Child nodes by name; `*` stands for every name not listed.
    """

    values: collections.abc.Mapping[str, Value]
    children: collections.abc.Mapping[str, Node]


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """Everything the operators have set.

    Attributes:
        workspace_keys: SHA-256 hashes of the keys of each workspace.
        operator_keys: SHA-256 hashes of the keys of each operator.
        services: Services by name.
        groups: Lock-step groups by name.
        fleet: Root node; beneath are places, services, workspaces, classes.
        workspace_by_key: Workspace that a key hash belongs to.
        operator_by_key: Operator that a key hash belongs to.
    """

    workspace_keys: KeyHashes
    operator_keys: KeyHashes
    services: collections.abc.Mapping[str, Service]
    groups: collections.abc.Mapping[str, Group]
    fleet: Node
    workspace_by_key: collections.abc.Mapping[str, str]
    operator_by_key: collections.abc.Mapping[str, str]


EMPTY_NODE = Node(types.MappingProxyType({}), types.MappingProxyType({}))


def parse_tree(document: store.Json) -> Tree:
    """Builds the tree from a document that passed the schema."""
    root = _as_object(document)
    workspaces = _parse_keys(_as_object(root.get("workspaces")))
    operators = _parse_keys(_as_object(root.get("operators")))
    return Tree(
        workspace_keys=workspaces,
        operator_keys=operators,
        services=types.MappingProxyType(
            {
                name: _parse_service(name, _as_object(value))
                for name, value in _as_object(root.get("services")).items()
            }
        ),
        groups=types.MappingProxyType(
            {
                name: _parse_group(name, _as_object(value))
                for name, value in _as_object(root.get("groups")).items()
            }
        ),
        fleet=_parse_node(_as_object(root.get("fleet")), 0),
        workspace_by_key=_invert_keys(workspaces),
        operator_by_key=_invert_keys(operators),
    )


def _as_object(value: store.Json) -> dict[str, store.Json]:
    return value if isinstance(value, dict) else {}


def _parse_keys(owners: dict[str, store.Json]) -> KeyHashes:
    parsed: dict[str, tuple[str, ...]] = {}
    for owner, value in owners.items():
        hashes = _as_object(value).get("keys_sha256")
        listed = hashes if isinstance(hashes, list) else []
        parsed[owner] = tuple(str(item).lower() for item in listed)
    return types.MappingProxyType(parsed)


def _invert_keys(keys: KeyHashes) -> collections.abc.Mapping[str, str]:
    return types.MappingProxyType(
        {item: owner for owner, hashes in keys.items() for item in hashes}
    )


def _parse_service(name: str, value: dict[str, store.Json]) -> Service:
    models = value.get("models")
    return Service(
        name=name,
        kind=ServiceKind(value["kind"]),
        models=tuple(str(model) for model in models)
        if isinstance(models, list)
        else (),
    )


def _parse_values(settings: dict[str, store.Json]) -> dict[str, Value]:
    """Keeps the settings of the catalogue; a newer release may know more."""
    values: dict[str, Value] = {}
    for name, value in settings.items():
        setting = catalogue.SETTINGS_BY_NAME.get(name)
        if setting is None:
            continue
        if value is None:
            values[name] = None
        elif isinstance(value, int | float):
            values[name] = int(value) if setting.is_integer else float(value)
    return values


def _parse_names(value: store.Json) -> tuple[str, ...]:
    return tuple(str(item) for item in value) if isinstance(value, list) else ()


def _parse_group(name: str, value: dict[str, store.Json]) -> Group:
    counts = typing.cast("dict[str, int]", value)
    return Group(
        name=name,
        service=str(value["service"]),
        ranks=counts["ranks"],
        experts=counts["experts"],
        slots_per_rank=counts["slots_per_rank"],
        agents=_parse_names(value.get("agents")),
    )


def _parse_node(value: dict[str, store.Json], depth: int) -> Node:
    values = _parse_values(_as_object(value.get("settings")))
    children: dict[str, Node] = {}
    if depth < len(LEVELS):
        for name, child in _as_object(value.get(LEVELS[depth])).items():
            children[name] = _parse_node(_as_object(child), depth + 1)
    if not values and not children:
        return EMPTY_NODE
    return Node(types.MappingProxyType(values), types.MappingProxyType(children))
