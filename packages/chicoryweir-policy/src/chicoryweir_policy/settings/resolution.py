"""Effective settings of a data centre, service, workspace and priority class."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from chicoryweir_policy import requests
from chicoryweir_policy.settings import tree as trees

MAX_CACHED = 4096
DEFAULTS_ORIGIN = "defaults"

_DEADLINE_MS = {
    requests.PriorityClass.URGENT: 10_000,
    requests.PriorityClass.STANDARD: 30_000,
    requests.PriorityClass.BULK: 120_000,
}
_FLOOR_SHARE = {
    requests.PriorityClass.URGENT: 0.5,
    requests.PriorityClass.STANDARD: 0.3,
    requests.PriorityClass.BULK: 0.1,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Effective:
    """Settings in effect; names, units and ranges are those of the catalogue.

    A value of None disables the limit.
    """

    deadline_ms: int
    floor_share: float
    weight: float = 1.0
    rate_tokens_per_s: float | None = None
    burst_tokens: float = 20_000.0
    max_inflight: int | None = None
    max_request_bytes: int = 1 << 20
    max_answer_bytes: int = 16 << 20
    max_header_bytes: int = 16 << 10
    max_attempts: int = 3
    retry_ratio: float = 0.1
    hedge_after_ms: int | None = None
    spill_wait_ms: int = 200
    queue_limit: int = 256
    drain_timeout_ms: int = 60_000
    quarantine_losses: int = 2
    max_ejected_share: float = 0.34
    map_gain_min: float = 0.05
    map_keep_s: float = 60.0
    evacuated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The effective value of a setting and the node that sets it.

    Attributes:
        name: Name of the setting.
        value: Value in effect.
        node: JSON pointer of the node that sets it, or `defaults`.
    """

    name: str
    value: trees.Value
    node: str


def get_defaults(priority: requests.PriorityClass) -> Effective:
    """Returns the default settings of a priority class."""
    return Effective(
        deadline_ms=_DEADLINE_MS[priority], floor_share=_FLOOR_SHARE[priority]
    )


def resolve(
    tree: trees.Tree,
    data_centre: str,
    service: str,
    workspace: str,
    priority: requests.PriorityClass,
) -> Effective:
    """Computes the effective settings; an empty name matches only `*`.

    The deepest matching node takes precedence. Among nodes of the same depth, a name
    takes precedence over `*`, compared from the highest level down.
    """
    values: dict[str, typing.Any] = {}
    for _, node in _iterate_matches(
        tree, (data_centre, service, workspace, _get_class_name(priority))
    ):
        values.update(node.values)
    return dataclasses.replace(get_defaults(priority), **values)


def explain(
    tree: trees.Tree,
    data_centre: str,
    service: str,
    workspace: str,
    priority: requests.PriorityClass,
) -> tuple[Origin, ...]:
    """Returns the effective value of each setting and the node that sets it."""
    defaults = get_defaults(priority)
    origins = {
        field.name: Origin(field.name, getattr(defaults, field.name), DEFAULTS_ORIGIN)
        for field in dataclasses.fields(Effective)
    }
    for path, node in _iterate_matches(
        tree, (data_centre, service, workspace, _get_class_name(priority))
    ):
        for name, value in node.values.items():
            origins[name] = Origin(name, value, path)
    return tuple(origins[name] for name in sorted(origins))


def _get_class_name(priority: requests.PriorityClass) -> str:
    return priority.name.lower()


def _iterate_matches(
    tree: trees.Tree, names: tuple[str, ...]
) -> collections.abc.Iterator[tuple[str, trees.Node]]:
    """Yields matching nodes with JSON pointers, in ascending order of precedence."""
    matches = [("/fleet", tree.fleet)]
    yield from matches
    for level, name in zip(trees.LEVELS, names, strict=True):
        candidates = (trees.ANY_NAME, name) if name != trees.ANY_NAME else (name,)
        matches = [
            (f"{path}/{level}/{candidate}", node.children[candidate])
            for path, node in matches
            for candidate in candidates
            if candidate in node.children
        ]
        yield from matches


class Resolver:
    """Resolves settings in one tree and caches a bounded number of results."""

    def __init__(self, tree: trees.Tree, max_cached: int) -> None:
        self.tree = tree
        self._max_cached = max_cached
        self._cache: dict[tuple[str, str, str, requests.PriorityClass], Effective] = {}

    def resolve(
        self,
        data_centre: str,
        service: str,
        workspace: str,
        priority: requests.PriorityClass,
    ) -> Effective:
        """Returns the same settings as the module function `resolve`."""
        key = (data_centre, service, workspace, priority)
        cached = self._cache.get(key)
        if cached is not None:
            return cached
        if len(self._cache) >= self._max_cached:
            del self._cache[next(iter(self._cache))]
        effective = resolve(self.tree, data_centre, service, workspace, priority)
        self._cache[key] = effective
        return effective


def make_resolver(tree: trees.Tree, max_cached: int = MAX_CACHED) -> Resolver:
    """Creates a resolver that caches at most `max_cached` results."""
    return Resolver(tree, max_cached)
