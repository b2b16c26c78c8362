"""Tracks the holds that a map change orders, and the rank that holds the group."""

from __future__ import annotations

import dataclasses
import math

from chicoryweir_policy.rankmaps import orders

# Time from choosing the held step to its start. It is enough for the hold order, the
# arm orders and a round of reports, which take some 10 ms each. If the event loop is
# slow, the group waits at the step.
HOLD_LEAD_S = 0.12
# Lead time if orders were lost recently: three rounds of orders, each with the time to
# detect a lost order.
LOSSY_HOLD_LEAD_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A rank, and the step at which it is ordered to hold the group."""

    rank: int
    step: int


@dataclasses.dataclass(slots=True)
class HoldTracker:
    """Holds that one change has ordered and released.

    Attributes:
        ranks: Number of ranks in the group.
        holding_rank: Rank that holds the group, or is ordered to.
        released: Holds that this holder of the lease has ordered to be released.
        lead_s: Time from choosing the held step to its start, in seconds.
        latest_step: Step that a rollback must hold the group at or before, since ranks
            may be armed for it; None if not known.
        hold: Hold that is in force for this change; None if there is none.
        ordered: Holds that this change has ordered.
        conflicts: Orders to hold that came after the step had begun.
        moves: Number of times that another rank was chosen to hold the group.
    """

    ranks: int
    holding_rank: int
    released: set[Hold]
    lead_s: float
    latest_step: int | None
    hold: Hold | None = None
    ordered: set[Hold] = dataclasses.field(default_factory=set)
    conflicts: int = 0
    moves: int = 0

    @property
    def step(self) -> int:
        """Step at which the change holds the group; 0 while it doesn't."""
        return 0 if self.hold is None else self.hold.step

    def is_own(self, rank: int, step: int) -> bool:
        """Returns whether this change ordered a hold and has not released it."""
        hold = Hold(rank, step)
        return hold in self.ordered and hold not in self.released

    def record_order(self, rank: int, order: orders.Order) -> None:
        """Records which holds may exist, and which may be released, from now on."""
        match order.operation:
            case orders.Operation.HOLD:
                self.ordered.add(Hold(rank, order.step))
            case orders.Operation.GO:
                self.released.add(Hold(rank, order.step))
                if self.hold == Hold(rank, order.step):
                    self.hold = None

    def record_conflict(self) -> int:
        """Records an order to hold for a step that had begun; returns their number.

        The next step is chosen further ahead.
        """
        self.conflicts += 1
        self.lead_s *= 2.0
        return self.conflicts

    def begin_rollback(self) -> None:
        """Counts conflicts and moves from the start of a rollback on."""
        self.conflicts = self.moves = 0

    def give_up(self) -> None:
        """Gives up a hold that no report shows; it isn't ordered again."""
        if self.hold is not None:
            self.released.add(self.hold)
            self.hold = None

    def choose_step(
        self, rank: int, report: orders.Report, age_s: float, step_s: float
    ) -> int:
        """Returns the step at which a rank is to hold the group for a change.

        Args:
            rank: The rank.
            report: Report of the rank.
            age_s: Age of the report, in seconds.
            step_s: Time of a step, in seconds.
        """
        step = report.step + math.ceil((age_s + self.lead_s) / step_s)
        while Hold(rank, step) in self.released:
            step += 1
        return step

    def choose_rollback_step(
        self, rank: int, report: orders.Report, age_s: float, step_s: float
    ) -> int | None:
        """Returns the step at which a rank is to hold the group for a rollback.

        Args:
            rank: The rank.
            report: Report of the rank.
            age_s: Age of the report, in seconds.
            step_s: Time of a step, in seconds.

        Returns:
            The step; None if the rank was held at it before, so that another rank must
            hold the group.
        """
        step = report.step + int(age_s / step_s) + 1 + self.conflicts
        if self.latest_step is not None:
            step = max(report.step + 1, min(step, self.latest_step))
        return None if Hold(rank, step) in self.released else step

    def move(self, rank: int, held: int | None) -> bool:
        """Chooses the next rank to hold the group, or takes over a hold of the last.

        Args:
            rank: Rank that was to hold the group.
            held: Step that it holds for another change; None if it holds none.

        Returns:
            Whether another rank was chosen.
        """
        self.conflicts = 0
        self.moves += 1
        if held is not None and self.moves >= self.ranks:
            # All ranks are held, so that no hold is left to choose.
            self.hold = Hold(rank, held)
            return False
        self.hold = None
        self.holding_rank = (rank + 1) % self.ranks
        return True
