"""Orders to the ranks of a group, and what ranks say of themselves."""

from __future__ import annotations

import dataclasses
import enum

# The experts on each rank, by set of layers and rank.
RankMap = tuple[tuple[tuple[int, ...], ...], ...]


class Operation(enum.Enum):
    """What an order asks of a rank.

    Attributes:
        PREPARE: Copy the weights that a map needs.
        ARM: Switch to a prepared map as a step begins.
        DISARM: Take back an armed switch.
        HOLD: Keep the whole group from beginning a step.
        GO: Let the held step begin.
    """

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    GO = "go"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order.

    Attributes:
        operation: What it asks.
        token: Fencing token; ranks refuse one lower than they have seen.
        epoch: Epoch of the group; the order means nothing in another one.
        version: Version of the map, for PREPARE, ARM and DISARM.
        step: Step of the group, for ARM, HOLD and GO.
        experts: The map, for PREPARE.
    """

    operation: Operation
    token: int
    epoch: int
    version: int = 0
    step: int = 0
    experts: RankMap = ()


class Result(enum.Enum):
    """How an order ended.

    Attributes:
        ACCEPTED: It is or was carried out.
        CONFLICT: It does not fit the rank's state; nothing was done.
        FENCED: The rank has seen a higher token; another entry leads.
        REFUSED: Another instance answered, or it could not be sent; nothing was done.
        LOST: No answer; it may have been carried out, or may be yet.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a rank says of itself; some hundred ms old when it comes from afar.

    Attributes:
        epoch: Epoch of its group.
        is_open: Whether the group works.
        step: Last step that was begun.
        version: Version of the map in force.
        prepared: Version whose copy is complete; None for none.
        armed: Version that it will switch to; None for none.
        held: Step that it keeps from beginning; None for none.
        slowdown: Time of its work over the usual time.
        lag_s: Age of the report at its arrival, in seconds.
    """

    epoch: int
    is_open: bool
    step: int
    version: int
    prepared: int | None
    armed: int | None
    held: int | None
    slowdown: float
    lag_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """An order is to be sent to a rank."""

    rank: int
    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReport:
    """A rank is to be asked for a report."""

    rank: int


Command = SendOrder | RequestReport
