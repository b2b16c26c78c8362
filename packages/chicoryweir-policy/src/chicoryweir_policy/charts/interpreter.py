"""Flattens state charts into transition tables and looks up transitions."""

from __future__ import annotations

import collections.abc
import dataclasses
import functools
import importlib.resources
import typing

import yaml


class ChartError(ValueError):
    """A chart is invalid or uses a feature that the interpreter does not support."""


@dataclasses.dataclass(frozen=True, slots=True)
class Advanced:
    """The event leads to `state`."""

    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The state has no transition for the event and is kept.

    Attributes:
        chart: Name of the chart.
        state: Current state.
        event: Event without a transition.
    """

    chart: str
    state: str
    event: str


Outcome = Advanced | Ignored


@dataclasses.dataclass(frozen=True, slots=True)
class Chart:
    """A flattened state chart.

    Attributes:
        name: Name of the chart.
        initial: Initial leaf state.
        states: Leaf states, in the order of the file.
        final: States without outgoing transitions.
        table: Next state by state and event.
    """

    name: str
    initial: str
    states: tuple[str, ...]
    final: frozenset[str]
    table: collections.abc.Mapping[str, collections.abc.Mapping[str, Advanced]]


class _Node(typing.NamedTuple):
    """State as written in the file, plus transitions inherited from its parents."""

    name: str
    initial: str | None
    final: bool
    transitions: dict[str, str]


_STATE_KEYS = frozenset({"name", "initial", "type", "transitions", "states"})
_TRANSITION_KEYS = frozenset({"event", "target"})


@functools.cache
def load_chart(name: str) -> Chart:
    """Reads and flattens a chart of this package.

    Args:
        name: Name of the chart, such as `attempt`.

    Returns:
        The chart; the same object on each call.

    Raises:
        ChartError: The chart is invalid or uses an unsupported feature.
    """
    path = importlib.resources.files(__package__) / "files" / f"{name}.yaml"
    return parse_chart(path.read_text(encoding="utf-8"))


def parse_chart(text: str) -> Chart:
    """Parses and flattens a chart in sismic's YAML format.

    Supports nested states with one initial state each, final states, and transitions
    with an event and a target, without guards or actions.

    Raises:
        ChartError: The chart is invalid or uses an unsupported feature.
    """
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    root = yaml.load(text, Loader=loader)["statechart"]
    nodes: dict[str, _Node] = {}
    _collect_nodes(root["root state"], {}, nodes)
    leaves = [node for node in nodes.values() if node.initial is None]
    return Chart(
        name=root["name"],
        initial=_resolve_leaf(root["root state"]["name"], nodes),
        states=tuple(leaf.name for leaf in leaves),
        final=frozenset(leaf.name for leaf in leaves if leaf.final),
        table={leaf.name: _build_row(leaf, nodes) for leaf in leaves},
    )


def advance(chart: Chart, state: str, event: str) -> Outcome:
    """Returns the transition for an event, or `Ignored` if the state has none.

    Raises:
        KeyError: The chart has no such state.
    """
    found = chart.table[state].get(event)
    if found is None:
        return Ignored(chart.name, state, event)
    return found


def _collect_nodes(
    state: dict[str, typing.Any], inherited: dict[str, str], nodes: dict[str, _Node]
) -> None:
    unsupported = state.keys() - _STATE_KEYS
    if unsupported or state.get("type", "final") != "final":
        raise ChartError(
            f"state {state['name']}: unsupported keys {sorted(unsupported)} or type"
        )
    transitions = dict(inherited)
    for transition in state.get("transitions", ()):
        if transition.keys() != _TRANSITION_KEYS:
            raise ChartError(
                f"state {state['name']}: a transition needs exactly event and target"
            )
        transitions[transition["event"]] = transition["target"]
    children = state.get("states", ())
    if bool(children) != ("initial" in state) or state["name"] in nodes:
        raise ChartError(
            f"state {state['name']}: initial and states don't match, or duplicate name"
        )
    final = state.get("type") == "final"
    nodes[state["name"]] = _Node(
        state["name"], state.get("initial"), final, transitions
    )
    for child in children:
        _collect_nodes(child, transitions, nodes)


def _build_row(leaf: _Node, nodes: dict[str, _Node]) -> dict[str, Advanced]:
    return {
        event: Advanced(_resolve_leaf(target, nodes))
        for event, target in leaf.transitions.items()
    }


def _resolve_leaf(name: str, nodes: dict[str, _Node]) -> str:
    """Returns the leaf state that is reached by entering a state."""
    node = nodes.get(name)
    if node is None:
        raise ChartError(f"unknown state {name}")
    return node.name if node.initial is None else _resolve_leaf(node.initial, nodes)
