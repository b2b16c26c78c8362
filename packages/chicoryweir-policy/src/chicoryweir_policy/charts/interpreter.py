"""Flattens state charts from their files into tables and steps through them."""

from __future__ import annotations

import collections.abc
import dataclasses
import functools
import importlib.resources
import typing

import yaml


class ChartError(ValueError):
    """A chart's file holds what the interpreter does not support."""


@dataclasses.dataclass(frozen=True, slots=True)
class Advanced:
    """The event led to `state`."""

    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The state does not allow the event; the state stays as it is.

    Attributes:
        chart: Name of the chart.
        state: Present state.
        event: Event that it does not allow.
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
        initial: First state.
        states: States that something can be in, in the file's order.
        final: States that nothing leaves.
        table: Next state for each state and event.
    """

    name: str
    initial: str
    states: tuple[str, ...]
    final: frozenset[str]
    table: collections.abc.Mapping[str, collections.abc.Mapping[str, Advanced]]


class _Node(typing.NamedTuple):
    """A state of the file, with the transitions that its parents give it."""

    name: str
    initial: str | None
    final: bool
    transitions: dict[str, str]


_STATE_KEYS = frozenset({"name", "initial", "type", "transitions", "states"})
_TRANSITION_KEYS = frozenset({"event", "target"})


@functools.cache
def load_chart(name: str) -> Chart:
    """Reads a chart of this package and flattens it.

    Args:
        name: Name of the chart, such as `attempt`.

    Returns:
        The chart; the same object for each call.

    Raises:
        ChartError: The file holds what the interpreter does not support.
    """
    path = importlib.resources.files(__package__) / "files" / f"{name}.yaml"
    return parse_chart(path.read_text(encoding="utf-8"))


def parse_chart(text: str) -> Chart:
    """Flattens a chart given as text in sismic's YAML format.

    The part that is supported: nested states with one initial state each, final
    states, and transitions by an event alone.
    """
    loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    root = yaml.load(text, Loader=loader)["statechart"]
    nodes: dict[str, _Node] = {}
    _collect(root["root state"], {}, nodes)
    leaves = [node for node in nodes.values() if node.initial is None]
    return Chart(
        name=root["name"],
        initial=_enter(root["root state"]["name"], nodes),
        states=tuple(leaf.name for leaf in leaves),
        final=frozenset(leaf.name for leaf in leaves if leaf.final),
        table={leaf.name: _build_row(leaf, nodes) for leaf in leaves},
    )


def advance(chart: Chart, state: str, event: str) -> Outcome:
    """Tells where an event leads from a state, by two look-ups in tables.

    Raises:
        KeyError: The chart has no such state.
    """
    found = chart.table[state].get(event)
    if found is None:
        return Ignored(chart.name, state, event)
    return found


def _collect(
    state: dict[str, typing.Any], inherited: dict[str, str], nodes: dict[str, _Node]
) -> None:
    unsupported = state.keys() - _STATE_KEYS
    if unsupported or state.get("type", "final") != "final":
        raise ChartError(f"state {state['name']}: unsupported {sorted(unsupported)}")
    transitions = dict(inherited)
    for transition in state.get("transitions", ()):
        if transition.keys() != _TRANSITION_KEYS:
            raise ChartError(f"state {state['name']}: a transition needs event, target")
        transitions[transition["event"]] = transition["target"]
    children = state.get("states", ())
    if bool(children) != ("initial" in state) or state["name"] in nodes:
        raise ChartError(f"state {state['name']}: no initial state, or name used twice")
    final = state.get("type") == "final"
    nodes[state["name"]] = _Node(
        state["name"], state.get("initial"), final, transitions
    )
    for child in children:
        _collect(child, transitions, nodes)


def _build_row(leaf: _Node, nodes: dict[str, _Node]) -> dict[str, Advanced]:
    return {
        event: Advanced(_enter(target, nodes))
        for event, target in leaf.transitions.items()
    }


def _enter(name: str, nodes: dict[str, _Node]) -> str:
    """Follows initial states down to the state that one is in after entering."""
    node = nodes.get(name)
    if node is None:
        raise ChartError(f"no state {name}")
    return node.name if node.initial is None else _enter(node.initial, nodes)
