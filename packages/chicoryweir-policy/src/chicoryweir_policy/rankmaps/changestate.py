"""State of a map change in progress, as a whole and of each rank."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy.rankmaps import changeplan
from chicoryweir_policy.rankmaps import orders
from chicoryweir_policy.rankmaps import rankholds

# States in which only the holding rank gets orders.
_HOLDING_RANK_STATES = frozenset({"holding", "releasing", "fencing", "withdrawing"})
# States that check reports, which must have been requested in them.
_REPORTING_STATES = frozenset({"copying", "checking", "verifying"})


class TokenSource(typing.Protocol):
    """Source of fencing tokens."""

    def raise_token(self) -> int:
        """Returns a fencing token higher than all earlier ones."""


@dataclasses.dataclass(slots=True)
class RankProgress:
    """Progress of one rank in the current state of the change.

    Attributes:
        done: Whether the rank has reached what the state requires.
        pending: Unanswered order.
        is_asked: Whether a report request is unanswered.
        tries: Orders sent and reports missed in this state.
        next_send_at: Earliest time of the next order or report request.
        report: State of the rank; None if it must be read before the next order.
        observed_at: Time at which the rank had this state, in seconds.
        conflict: Order that the rank refused last in this state.
        refusals: Orders to prepare the current map that the rank refused. After some,
            the group is released all the same, since it would be held for good.
    """

    done: bool = False
    pending: orders.Order | None = None
    is_asked: bool = False
    tries: int = 0
    next_send_at: float = 0.0
    report: orders.Report | None = None
    observed_at: float = 0.0
    conflict: orders.Order | None = None
    refusals: int = 0

    @property
    def in_flight(self) -> bool:
        """Whether an order or report request to the rank is unanswered."""
        return self.is_asked or self.pending is not None


@dataclasses.dataclass(slots=True)
class ChangeState:
    """State of a change.

    Attributes:
        plan: Plan of the change.
        tokens: Source of fencing tokens.
        token: Fencing token of the next orders.
        holds: Holds that the change has ordered.
        ranks: Progress of each rank.
        name: State in the chart `rank_map_change`.
        entered_at: Time at which the state was entered, in seconds.
        current: The current map; None if it is not known.
        ranks_differ: Whether the ranks run different maps, so that none is current.
        cancel_version: Version under which the current map is prepared again; 0 before.
    """

    plan: changeplan.ChangePlan
    tokens: TokenSource
    token: int
    holds: rankholds.HoldTracker
    ranks: list[RankProgress]
    name: str
    entered_at: float
    current: orders.RankMap | None
    ranks_differ: bool = False
    cancel_version: int = 0

    @property
    def target_ranks(self) -> range:
        """Ranks that get orders in this state."""
        if self.name in _HOLDING_RANK_STATES:
            return range(self.holds.holding_rank, self.holds.holding_rank + 1)
        return range(self.plan.ranks)

    def compute_report_age(self, rank: int, now: float) -> float:
        """Returns the age of a rank's report, in seconds."""
        return now - self.ranks[rank].observed_at

    def enter(self, name: str, now: float) -> None:
        """Enters a state, in which the ranks have not reached anything yet."""
        self.name = name
        self.entered_at = now
        # Ranks that have seen the new token refuse earlier orders.
        if name in ("fencing", "withdrawing"):
            self.token = self.tokens.raise_token()
        if name == "fencing":
            self.holds.begin_rollback()
        for progress in self.ranks:
            progress.done, progress.tries, progress.next_send_at = False, 0, 0.0
            progress.conflict = None
            if name in _REPORTING_STATES or name == "fencing":
                progress.report = None


def create_change_state(
    plan: changeplan.ChangePlan, tokens: TokenSource, name: str, now: float
) -> ChangeState:
    """Returns the state of a change that begins in the named state."""
    hold_tracker = rankholds.HoldTracker(
        plan.ranks,
        plan.holding_rank % plan.ranks,
        set(plan.released),
        rankholds.HOLD_LEAD_S if not plan.orders_lost else rankholds.LOSSY_HOLD_LEAD_S,
        plan.latest_step,
    )
    return ChangeState(
        plan,
        tokens,
        tokens.raise_token(),
        hold_tracker,
        [RankProgress() for _ in range(plan.ranks)],
        name,
        now,
        plan.current,
    )
