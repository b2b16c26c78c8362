"""The ways to decide in a shortage that settings can name."""

from __future__ import annotations

import collections.abc
import enum
import typing

from chicoryweir_policy.forwarding import configuration
from chicoryweir_policy.forwarding import leastcost
from chicoryweir_policy.forwarding import objectivefirst
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import shedding


class Way(enum.Enum):
    """How it is decided who starts, waits and is rejected; the value is its name.

    Attributes:
        BY_PRIORITY: `LEAST_COST` for a service whose routes of streams all have one
            priority, which then says nothing about who should yield;
            `OBJECTIVE_FIRST` for others.
        OBJECTIVE_FIRST: On-time requests first, then late ones, within floors.
        LEAST_COST: The requests whose delay or rejection costs callers least yield.
    """

    BY_PRIORITY = "by_priority"
    OBJECTIVE_FIRST = "objective_first"
    LEAST_COST = "least_cost"


def choose_way(
    way: Way, service: str, routes: collections.abc.Iterable[configuration.Route]
) -> Way:
    """Returns the way for a service, which is not `BY_PRIORITY`.

    Args:
        way: The way that the settings name.
        service: Name of the service.
        routes: Routes of the configuration in force.
    """
    if way is not Way.BY_PRIORITY:
        return way
    priorities = [
        route.priority
        for route in routes
        if route.kind is configuration.RouteKind.STREAM
        and any(share.service == service for share in route.shares)
    ]
    is_alike = len(priorities) > 1 and len(set(priorities)) == 1
    return Way.LEAST_COST if is_alike else Way.OBJECTIVE_FIRST


def create_shedding(way: Way, entry: str) -> shedding.Shedding:
    """Creates what decides for one service.

    Args:
        way: How to decide, as returned by `choose_way`.
        entry: Name of the entry.
    """
    match way:
        case Way.LEAST_COST:
            return leastcost.LeastCost()
        case Way.OBJECTIVE_FIRST | Way.BY_PRIORITY:
            return objectivefirst.ObjectiveFirst(queueing.create_request_queue(), entry)
        case _:
            typing.assert_never(way)
