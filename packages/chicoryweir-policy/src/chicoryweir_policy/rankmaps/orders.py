"""Orders to the ranks of a group, and reports from them."""

from __future__ import annotations

import dataclasses
import enum

# Experts held, indexed by layer set and rank.
RankMap = tuple[tuple[tuple[int, ...], ...], ...]


class Operation(enum.Enum):
    """Operation that an order requests of a rank.

    Attributes:
        PREPARE: Copy the weights that a map needs.
        ARM: Switch to a prepared map at the start of a step.
        DISARM: Cancel an armed switch.
        HOLD: Keep the whole group from starting a step.
        GO: Release the held step.
    """

    PREPARE = "prepare"
    ARM = "arm"
    DISARM = "disarm"
    HOLD = "hold"
    GO = "go"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order to one rank.

    Attributes:
        operation: Requested operation.
        token: Fencing token; ranks refuse a token lower than the highest seen.
        epoch: Epoch of the group; ranks refuse orders for another epoch.
        version: Version of the map, for PREPARE, ARM and DISARM.
        step: Step of the group, for ARM, HOLD and GO.
        experts: Map, for PREPARE.
        sequence: Number of orders that the rank has executed, by its last report; it
            refuses the order if it counts them and has executed more.
    """

    operation: Operation
    token: int
    epoch: int
    version: int = 0
    step: int = 0
    experts: RankMap = ()
    sequence: int = 0


class Result(enum.Enum):
    """Result of an order.

    Attributes:
        ACCEPTED: The order is being executed, and counts as executed.
        UNCHANGED: The rank's state is already what the order asks for, or the order was
            executed.
        CONFLICT: The rank's state or the number of orders that it has executed does not
            allow the order; not executed.
        FENCED: The rank has seen a higher token; another entry controls the group.
        REFUSED: Another instance answered, or sending failed; not executed.
        LOST: No answer; the order may have been executed, or may still be.
    """

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """State reported by a rank; up to a few hundred ms old from another machine.

    Attributes:
        epoch: Epoch of the group.
        is_open: Whether the group is running.
        step: Last step that has begun.
        version: Version of the current map.
        prepared: Version whose weights are copied, or None.
        armed: Version that the rank will switch to, or None.
        held: Step that the rank holds, or None.
        slowdown: Time that the rank takes for its work divided by the usual time.
        lag_s: Age of the report on arrival, in seconds.
        running: Requests in the rank's batch.
        waiting: Requests in the rank's own queue.
        sequence: Number of orders that the rank has executed since its start; some
            ranks don't count those of map changes.
        armed_step: Step at which it switches, or None if it isn't armed or doesn't say.
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
    running: int = 0
    waiting: int = 0
    sequence: int = 0
    armed_step: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """Command to send an order to a rank."""

    rank: int
    order: Order


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReport:
    """Command to request a report from a rank."""

    rank: int


Command = SendOrder | RequestReport
