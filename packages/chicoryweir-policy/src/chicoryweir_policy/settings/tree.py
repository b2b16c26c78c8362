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

Value = None | bool | int | float
KeyHashes = collections.abc.Mapping[str, tuple[str, ...]]


class ServiceKind(enum.Enum):
    """Kind of a service: a model behind engines, or plain HTTP."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A declared service.

    Attributes:
        name: Name of the service.
        kind: Whether model engines or plain HTTP endpoints serve it.
        models: Models that it serves; empty for a plain service.
    """

    name: str
    kind: ServiceKind
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A lock-step group of ranks.

    Attributes:
        name: Name of the group.
        service: Service that its ranks belong to.
        ranks: Number of ranks.
        experts: Number of experts per layer.
        slots_per_rank: Number of experts that a rank can hold.
        agents: Instances of its agents; empty if every entry links to all agents.
    """

    name: str
    service: str
    ranks: int
    experts: int
    slots_per_rank: int
    agents: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A node of the fleet tree.

    Attributes:
        values: Settings that the node overrides.
        children: Child nodes by name; `*` matches every name.
    """

    values: collections.abc.Mapping[str, Value]
    children: collections.abc.Mapping[str, Node]


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """The settings of one document.

    Attributes:
        workspace_keys: SHA-256 hashes of the keys of each workspace.
        operator_keys: SHA-256 hashes of the keys of each operator.
        services: Services by name.
        groups: Lock-step groups by name.
        fleet: Root node; the levels below it are `LEVELS`.
        workspace_by_key: Workspace by key hash.
        operator_by_key: Operator by key hash.
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
    workspaces = _parse_key_hashes(_as_object(root.get("workspaces")))
    operators = _parse_key_hashes(_as_object(root.get("operators")))
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
        workspace_by_key=_map_hashes_to_owners(workspaces),
        operator_by_key=_map_hashes_to_owners(operators),
    )


def _as_object(value: store.Json) -> dict[str, store.Json]:
    return value if isinstance(value, dict) else {}


def _parse_key_hashes(owners: dict[str, store.Json]) -> KeyHashes:
    parsed: dict[str, tuple[str, ...]] = {}
    for owner, value in owners.items():
        hashes = _as_object(value).get("keys_sha256")
        items = hashes if isinstance(hashes, list) else []
        parsed[owner] = tuple(str(item).lower() for item in items)
    return types.MappingProxyType(parsed)


def _map_hashes_to_owners(keys: KeyHashes) -> collections.abc.Mapping[str, str]:
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
    """Parses the known settings; ignores those that a newer release may have added."""
    values: dict[str, Value] = {}
    for name, value in settings.items():
        setting = catalogue.SETTINGS_BY_NAME.get(name)
        if setting is None:
            continue
        if value is None:
            values[name] = None
        elif setting.is_flag:
            values[name] = value is True
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
