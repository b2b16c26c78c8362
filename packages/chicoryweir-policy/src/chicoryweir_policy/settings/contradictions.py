"""Finds values of a valid document that contradict each other where both apply."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools

from chicoryweir_policy import requests
from chicoryweir_policy.retries import hedging
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import evacuation
from chicoryweir_policy.settings import faults
from chicoryweir_policy.settings import nodes
from chicoryweir_policy.settings import resolution
from chicoryweir_policy.settings import tree as trees

_URGENT = requests.PriorityClass.URGENT

Values = collections.abc.Mapping[str, resolution.Origin]


@dataclasses.dataclass(frozen=True, slots=True)
class _Rule:
    """A rule on two settings that apply to the same requests.

    Attributes:
        first: Name of the first setting.
        second: Name of the second setting.
        is_broken: Returns whether two values, none of them None, contradict each other.
        problem: What is wrong.
        allowed: What is right.
        classes: Classes that it is about.
        ignores_default: Whether the default of the first setting is never meant.
    """

    first: str
    second: str
    is_broken: collections.abc.Callable[[float, float], bool]
    problem: str
    allowed: str
    classes: tuple[requests.PriorityClass, ...] = tuple(requests.PriorityClass)
    ignores_default: bool = False


_RULES = (
    _Rule(
        "hedge_after_ms",
        "deadline_ms",
        lambda hedge, deadline: hedge > (1 - hedging.MIN_REMAINING_SHARE) * deadline,
        "no request is hedged: too little is left of the deadline then",
        f"at most {1 - hedging.MIN_REMAINING_SHARE:g} of deadline_ms",
        (_URGENT,),
    ),
    _Rule(
        "spill_wait_ms",
        "deadline_ms",
        lambda spill, deadline: spill >= deadline,
        "nothing spills over before its deadline",
        "less than deadline_ms",
    ),
    _Rule(
        "max_request_bytes",
        "max_header_bytes",
        lambda body, header: body < header,
        "the longest body is shorter than the longest header",
        "at least max_header_bytes",
    ),
    _Rule(
        "retry_ratio",
        "max_attempts",
        lambda ratio, attempts: ratio > 0 and attempts == 1,
        "no request is retried with one attempt",
        "0, or max_attempts above 1",
        ignores_default=True,
    ),
    _Rule(
        "drain_timeout_ms",
        "deadline_ms",
        lambda drain, deadline: drain < deadline,
        "a drain ends urgent requests before their deadline",
        "at least deadline_ms",
        (_URGENT,),
    ),
)
_RULED = frozenset(itertools.chain(*((rule.first, rule.second) for rule in _RULES)))


def find_warnings(
    tree: trees.Tree, places: collections.abc.Collection[str] | None = None
) -> collections.abc.Iterator[faults.Fault]:
    """Yields a warning for each contradiction; one for each pair of values.

    Args:
        tree: The settings.
        places: Places with endpoints; None if they are not known.
    """
    reported: set[tuple[str, str]] = set()
    for placed in nodes.iterate_nodes(tree):
        if _RULED.isdisjoint(placed.node.values) and not _sets_burst(placed):
            continue
        for scope in _iterate_scopes(placed, tree):
            origins = resolution.explain(tree, *scope)
            values = {origin.name: origin for origin in origins}
            for warning in _check_scope(values, scope[-1]):
                key = (warning.path, warning.problem)
                if key not in reported:
                    reported.add(key)
                    yield warning
    yield from _check_groups(tree)
    yield from _check_evacuations(tree, places)


def _sets_burst(placed: nodes.PlacedNode) -> bool:
    return "burst_tokens" in placed.node.values


def _iterate_scopes(
    placed: nodes.PlacedNode, tree: trees.Tree
) -> collections.abc.Iterator[tuple[str, str, str, requests.PriorityClass]]:
    """Yields scopes in which a node applies; an empty name matches only `*`."""
    place = placed.get_name("places")
    service = placed.get_name("services")
    class_name = placed.get_name("classes")
    places = [place] if place else [*evacuation.list_named(tree), ""]
    services = [service] if service else [*tree.services, ""]
    classes = [
        item
        for item in requests.PriorityClass
        if class_name in (None, item.name.lower())
    ]
    workspace = placed.get_name("workspaces") or ""
    yield from itertools.product(places, services, [workspace], classes)


def _check_scope(
    values: Values, priority: requests.PriorityClass
) -> collections.abc.Iterator[faults.Fault]:
    for rule in _RULES:
        first, second = values[rule.first], values[rule.second]
        if priority not in rule.classes or first.value is None or second.value is None:
            continue
        is_default = first.node == resolution.DEFAULTS_ORIGIN
        if is_default and rule.ignores_default:
            continue
        if rule.is_broken(float(first.value), float(second.value)):
            yield from _make_warning(first, second, rule.problem, rule.allowed)
    burst, rate = values["burst_tokens"], values["rate_tokens_per_s"]
    if rate.value is None and burst.node != resolution.DEFAULTS_ORIGIN:
        problem = "burst has no effect without a rate limit"
        yield from _make_warning(burst, rate, problem, "rate_tokens_per_s beside it")


def _make_warning(
    first: resolution.Origin, second: resolution.Origin, problem: str, allowed: str
) -> collections.abc.Iterator[faults.Fault]:
    """Yields a warning at the first value, or at the second if that is a default."""
    origin = first if first.node != resolution.DEFAULTS_ORIGIN else second
    if origin.node == resolution.DEFAULTS_ORIGIN:
        return
    found = ", ".join(
        f"{item.name} {faults.format_value(item.value)} from {item.node}"
        for item in (first, second)
    )
    yield faults.Fault(
        f"{origin.node}/settings/{origin.name}",
        problem,
        found,
        f"{first.name}: {allowed}",
    )


def _check_groups(tree: trees.Tree) -> collections.abc.Iterator[faults.Fault]:
    models = {
        service.name
        for service in tree.services.values()
        if service.kind is trees.ServiceKind.MODEL
    }
    for group in tree.groups.values():
        path = difference.join_pointer("/groups", group.name)
        if group.service not in models:
            yield faults.Fault(
                f"{path}/service",
                "group of a service that is no declared model service",
                faults.format_value(group.service),
                "one of " + ", ".join(sorted(models)),
            )
        slots = group.ranks * group.slots_per_rank
        if slots < group.experts:
            yield faults.Fault(
                f"{path}/slots_per_rank",
                f"{group.experts} experts do not fit on {group.ranks} ranks",
                faults.format_value(group.slots_per_rank),
                f"at least {-(-group.experts // group.ranks)}",
            )


def _check_evacuations(
    tree: trees.Tree, places: collections.abc.Collection[str] | None
) -> collections.abc.Iterator[faults.Fault]:
    problem = "all places with endpoints are evacuated, so no request runs"
    if places is None:
        places = evacuation.list_named(tree) or (trees.ANY_NAME,)
        problem = "all places that the settings name are evacuated"
        if evacuation.is_evacuated(tree, trees.ANY_NAME):
            problem = "all places are evacuated, so no request runs"
    if places and all(evacuation.is_evacuated(tree, place) for place in places):
        allowed = "at least one place that is not evacuated"
        found = ", ".join(sorted(places))
        yield faults.Fault("/fleet/places", problem, found, allowed)
