"""The ways to decide in a shortage that settings can name."""

from __future__ import annotations

import enum
import typing

from chicoryweir_policy.forwarding import leastcost
from chicoryweir_policy.forwarding import objectivefirst
from chicoryweir_policy.forwarding import queueing
from chicoryweir_policy.forwarding import shedding


class Way(enum.Enum):
    """How it is decided who starts, waits and is rejected; the value is its name.

    Attributes:
        OBJECTIVE_FIRST: On-time requests first, then late ones, within floors.
        LEAST_COST: The requests whose delay or rejection costs callers least yield.
    """

    OBJECTIVE_FIRST = "objective_first"
    LEAST_COST = "least_cost"


def create_shedding(way: Way, entry: str) -> shedding.Shedding:
    """Creates what decides for one service.

    Args:
        way: How to decide.
        entry: Name of the entry.
    """
    match way:
        case Way.OBJECTIVE_FIRST:
            return objectivefirst.ObjectiveFirst(queueing.create_request_queue(), entry)
        case Way.LEAST_COST:
            return leastcost.LeastCost()
        case _:
            typing.assert_never(way)
