"""Changes the expert map of a group so that no step ever runs under two maps.

The change orders one rank to hold the group at a future step, arms all ranks for that
step, and releases the hold once every rank has reported that it is armed. If all orders
arrive in time, the hold ends before the group reaches the step, and no step is delayed.
Otherwise the group waits at the step; ranks never run different maps.

A rank may execute an unanswered order seconds later, and an answered one twice. Fencing
tokens and the number of executed orders, which each order names, keep such orders from
taking effect only where ranks compare them. Nothing here depends on that:

- A version is armed by one change only, for one step only, so a late order to arm or to
  disarm concerns no other change. Once another version is prepared at a rank, earlier
  ones can't be armed there any more.
- A rank is never held twice at the same step by one lease holder, and each holder
  begins with another rank, so a late order to go on releases no later hold.

A rollback first gets a rank to hold the group for itself. Under that hold, it disarms
all ranks and prepares the current map again under a new version, so that nothing that
was sent before can arm them later; then the hold ends. A change that all ranks are
armed for needs no rollback, even if its step has not yet begun: see `is_settled`.

Releasing and rolling back take as many retries as needed; if a rank takes no orders
meanwhile, the others are asked whether the group has a new epoch, in which nothing is
armed or held.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import typing

from chicoryweir_policy.charts import interpreter
from chicoryweir_policy.rankmaps import orders

CHART = interpreter.load_chart("rank_map_change")
# Time from choosing the held step to its start. It is enough for the hold order, the
# arm orders and a round of reports, which take some 10 ms each. If the event loop is
# slow, the group waits at the step.
HOLD_LEAD_S = 0.12
# Lead time if orders were lost recently: three rounds of orders, each with the time to
# detect a lost order.
LOSSY_HOLD_LEAD_S = 0.7
# Interval between reports requested from a rank until one shows the expected state.
POLL_INTERVAL_S = 0.06
# Maximum number of retries of an unanswered order before the change is rolled back. The
# change is also rolled back after this many hold orders for a step that had already
# begun.
MAX_RETRIES = 4
# Timeouts of the states, long enough for all retries and their call timeouts. From
# `arming` on, the group may be held during that time.
PREPARE_TIMEOUT_S = 4.0
ARM_TIMEOUT_S = 1.5
CHECK_TIMEOUT_S = 1.5
# Reports are requested after the estimated copy time, multiplied by a factor, plus the
# time of an order; they tell whether the weights have been copied.
COPY_TIME_FACTOR = 1.02
COPY_SLACK_S = 0.015
# Time after that until all ranks must have reported that they have copied the weights.
COPY_TIMEOUT_S = 1.5

# States in which orders are retried without limit, since ranks would otherwise stay
# armed or the group held.
_UNLIMITED_STATES = frozenset({"releasing", "fencing", "disarming", "withdrawing"})
# States in which only the holding rank gets orders.
_HOLDING_RANK_STATES = frozenset({"holding", "releasing", "fencing", "withdrawing"})
# States that check reports, which must have been requested in them.
_REPORTING_STATES = frozenset({"copying", "checking", "verifying"})


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A rank, and the step at which it is ordered to hold the group."""

    rank: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePlan:
    """A new map for a group, and the state of the group that the change starts from.

    Attributes:
        version: Version of the new map; higher than all earlier versions.
        experts: The new map.
        current: The current map; None if it is not known yet.
        ranks: Number of ranks in the group.
        epoch: Epoch of the group.
        copy_s: Time that the slowest rank needs to copy weights, in seconds.
        step_s: Current time of a step, in seconds.
        orders_lost: Whether recent orders went unanswered; if so, the held step is
            chosen further ahead.
        holding_rank: Rank that is ordered to hold the group first; another one for each
            lease.
        released: Holds that this holder has released before.
        latest_step: Step that a rollback must hold the group at or before, since ranks
            may be armed for it; None if not known.
    """

    version: int
    experts: orders.RankMap
    current: orders.RankMap | None
    ranks: int
    epoch: int
    copy_s: float
    step_s: float
    orders_lost: bool
    holding_rank: int = 0
    released: frozenset[Hold] = frozenset()
    latest_step: int | None = None


class TokenSource(typing.Protocol):
    """Source of fencing tokens."""

    def raise_token(self) -> int:
        """Returns a fencing token higher than all earlier ones."""


def is_settled(reports: collections.abc.Sequence[orders.Report]) -> bool:
    """Returns whether no change is left unfinished, by the reports of all ranks.

    That is so if the group isn't held, and either no rank is armed, or all ranks have
    switched or will switch to the same map. They do so at the same step, since one
    change arms for one step only; to cancel that without a hold could leave some ranks
    switched and others not.
    """
    if any(report.held is not None for report in reports):
        return False
    armed = {
        (report.armed, report.armed_step)
        for report in reports
        if report.armed is not None
    }
    if not armed:
        return True
    versions = {version for version, _ in armed}
    return len(armed) == 1 and all(
        report.armed in versions or report.version in versions for report in reports
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Reached:
    """The rank has reached what the state requires."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """The rank's report must be read again after `POLL_INTERVAL_S`."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Fail:
    """The state can't be completed, for `reason`."""

    reason: str


_Decision = orders.Order | _Reached | _Wait | _Fail


@dataclasses.dataclass(slots=True)
class _RankProgress:
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


class MapChange:
    """Changes a group's map, or rolls back another entry's unfinished change."""

    def __init__(
        self,
        plan: ChangePlan,
        tokens: TokenSource,
        now: float,
        state: str = CHART.initial,
    ) -> None:
        self._plan = plan
        self._tokens = tokens
        self._token = tokens.raise_token()
        self._state = state
        self._entered_at = now
        self._holding_rank = plan.holding_rank % plan.ranks
        self._hold: Hold | None = None
        self._ordered_holds: set[Hold] = set()
        self._released = set(plan.released)
        self._hold_conflicts = 0
        self._hold_moves = 0
        self._latest_step = plan.latest_step
        self._current = plan.current
        self._ranks_differ = False
        self._cancel_version = 0
        self._lead_s = HOLD_LEAD_S if not plan.orders_lost else LOSSY_HOLD_LEAD_S
        self._epoch_check_at = -math.inf
        self._epoch_checks = 0
        self._ranks = [_RankProgress() for _ in range(plan.ranks)]
        self.lost_order_count = 0
        self.fenced = False
        self.reason = ""

    @property
    def state(self) -> str:
        """State in the chart `rank_map_change`."""
        return self._state

    @property
    def step(self) -> int:
        """Step at which this change holds the group; 0 while it doesn't."""
        return 0 if self._hold is None else self._hold.step

    @property
    def is_over(self) -> bool:
        """Whether the change has ended or this entry has been fenced off."""
        return self.fenced or self._state in CHART.final

    @property
    def released(self) -> frozenset[Hold]:
        """Holds that this holder has ordered to be released so far."""
        return frozenset(self._released)

    @property
    def needs_current_map(self) -> bool:
        """Whether a rollback waits for `set_current_map`."""
        is_known = self._current is not None or self._ranks_differ
        return self._state == "disarming" and not is_known

    def set_current_map(self, experts: orders.RankMap | None) -> None:
        """Sets the current map, read while the group is held.

        Args:
            experts: The map; None if the ranks run different ones, so that none can be
                prepared.
        """
        self._current = experts
        self._ranks_differ = experts is None

    def poll_commands(self, now: float) -> list[orders.Command]:
        """Returns the due orders and report requests and marks them as in flight."""
        found: list[orders.Command] = []
        state = ""
        while not self.is_over and self._state != state:
            state = self._state
            self._check_timeouts(now)
            if self._state == state:
                found += self._request_all(now)
                self._advance_if_done(now)
        return [*found, *self._check_epoch(now)]

    def handle_result(
        self, rank: int, order: orders.Order, result: orders.Result, now: float
    ) -> None:
        """Handles the result of an order."""
        progress = self._ranks[rank]
        if progress.pending is not order:
            return
        progress.pending = None
        if self.is_over:
            return
        # Whether the rank counts the order, and so its next number, is not known.
        progress.report = None
        match result:
            case orders.Result.ACCEPTED | orders.Result.UNCHANGED:
                self._handle_success(rank, order)
            case orders.Result.CONFLICT:
                self._handle_conflict(rank, order, now)
            case orders.Result.FENCED:
                self._handle_fenced(order)
            case orders.Result.LOST:
                self.lost_order_count += 1
            case orders.Result.REFUSED:
                progress.next_send_at = now + POLL_INTERVAL_S
        self._advance_if_done(now)

    def handle_report(
        self, rank: int, report: orders.Report | None, now: float
    ) -> None:
        """Handles a rank's report; None if the rank did not answer."""
        progress = self._ranks[rank]
        progress.is_asked = False
        if self.is_over:
            return
        if report is None:
            progress.tries += 1
            progress.next_send_at = now + POLL_INTERVAL_S
            return
        if report.epoch != self._plan.epoch or not report.is_open:
            self._apply_event(
                "void", "the group's epoch changed or the group closed", now
            )
            return
        if progress.pending is None:
            progress.report = report
            progress.observed_at = now - report.lag_s

    def _request_all(self, now: float) -> list[orders.Command]:
        """Returns what is due at the ranks that the state concerns."""
        if self._is_copying(now) or self.needs_current_map:
            return []
        found: list[orders.Command] = []
        state = self._state
        for rank in self._list_target_ranks():
            progress = self._ranks[rank]
            is_due = not progress.done and now >= progress.next_send_at
            if is_due and not progress.in_flight and self._state == state:
                found += self._request_next(rank, now)
        return found

    def _is_copying(self, now: float) -> bool:
        """Returns whether the ranks are expected to be still copying weights."""
        copy_wait_s = self._plan.copy_s * COPY_TIME_FACTOR + COPY_SLACK_S
        return self._state == "copying" and now - self._entered_at < copy_wait_s

    def _request_next(self, rank: int, now: float) -> list[orders.Command]:
        """Returns the next order to a rank, or the request for the report it needs."""
        progress = self._ranks[rank]
        if progress.report is None:
            if self._state == "fencing" and progress.tries > MAX_RETRIES:
                self._move_hold(rank, None)
                return []
            progress.is_asked = True
            return [orders.RequestReport(rank)]
        match self._decide(rank, progress.report, now):
            case orders.Order() as order:
                progress.pending = order
                progress.tries += 1
                self._note_order(rank, order)
                return [orders.SendOrder(rank, order)]
            case _Reached():
                progress.done = True
            case _Wait():
                progress.report = None
                progress.next_send_at = now + POLL_INTERVAL_S
            case _Fail(reason):
                self._apply_event("fail", reason, now)
        return []

    def _note_order(self, rank: int, order: orders.Order) -> None:
        """Records which holds may exist, and which may be released, from now on."""
        match order.operation:
            case orders.Operation.HOLD:
                self._ordered_holds.add(Hold(rank, order.step))
            case orders.Operation.GO:
                self._released.add(Hold(rank, order.step))
                if self._hold == Hold(rank, order.step):
                    self._hold = None

    def _decide(self, rank: int, report: orders.Report, now: float) -> _Decision:
        """Decides what a rank still needs in the current state, by its report."""
        match self._state:
            case "preparing":
                return self._decide_preparation(rank, report)
            case "copying":
                is_prepared = report.prepared == self._plan.version
                return _Reached() if is_prepared else _Wait()
            case "holding":
                return self._decide_hold(rank, report, now)
            case "arming":
                return self._decide_arming(rank, report)
            case "checking" | "verifying":
                return self._decide_check(rank, report)
            case "fencing":
                return self._decide_fencing(rank, report, now)
            case "disarming":
                return self._decide_disarming(rank, report)
            case _:
                return self._decide_release(report)

    def _decide_preparation(self, rank: int, report: orders.Report) -> _Decision:
        if report.armed is not None or report.held is not None:
            return _Fail("another change is unfinished")
        if report.prepared == self._plan.version:
            return _Reached()
        conflict = self._ranks[rank].conflict
        if conflict is not None and conflict.sequence == report.sequence:
            return _Fail("a rank reported a conflict while preparing")
        return self._create_order(orders.Operation.PREPARE, report)

    def _decide_hold(self, rank: int, report: orders.Report, now: float) -> _Decision:
        if report.held is not None:
            return self._adopt_hold(rank, report.held)
        ahead_s = now - self._ranks[rank].observed_at + self._lead_s
        step = report.step + math.ceil(ahead_s / self._plan.step_s)
        while Hold(rank, step) in self._released:
            step += 1
        return self._create_order(orders.Operation.HOLD, report, step)

    def _adopt_hold(self, rank: int, step: int) -> _Decision:
        """Decides whether a hold that a report shows is one of this change."""
        if not self._is_own_hold(rank, step):
            return _Fail("another change holds the group")
        self._hold = Hold(rank, step)
        return _Reached()

    def _is_own_hold(self, rank: int, step: int) -> bool:
        """Returns whether this change ordered a hold and has not released it."""
        hold = Hold(rank, step)
        return hold in self._ordered_holds and hold not in self._released

    def _decide_arming(self, rank: int, report: orders.Report) -> _Decision:
        assert self._hold is not None
        if report.armed == self._plan.version:
            return _Reached()
        if report.armed is not None:
            return _Fail("a rank is armed for another map")
        is_held = rank != self._holding_rank or report.held == self.step
        if report.prepared != self._plan.version or not is_held:
            return _Wait()
        self._latest_step = self.step
        return self._create_order(orders.Operation.ARM, report, self.step)

    def _decide_check(self, rank: int, report: orders.Report) -> _Decision:
        """Decides whether a rank's report confirms what it was ordered.

        It may be older than the orders, so that it is read again if it doesn't.
        """
        is_held_as_ordered = report.held == (
            self.step if rank == self._holding_rank else None
        )
        if self._state == "checking":
            is_armed = report.armed == self._plan.version
            is_confirmed = is_armed and report.armed_step in (None, self.step)
            if rank == self._holding_rank:
                is_confirmed = is_confirmed and is_held_as_ordered
        else:
            is_confirmed = report.armed is None and is_held_as_ordered
        return _Reached() if is_confirmed else _Wait()

    def _decide_release(self, report: orders.Report) -> _Decision:
        """Decides whether the group can go on; the holding rank must be as checked."""
        if report.held is None:
            return _Reached()
        expected = self._plan.version if self._state == "releasing" else None
        if report.armed != expected:
            return _Fail(f"the holding rank is armed for {report.armed}")
        return self._create_order(orders.Operation.GO, report, report.held)

    def _decide_fencing(
        self, rank: int, report: orders.Report, now: float
    ) -> _Decision:
        """Decides how the group is held so that only this change releases it."""
        if self._ranks[rank].tries > MAX_RETRIES:
            return self._move_hold(rank, None)
        if self._hold is not None:
            if report.held == self.step:
                return _Reached()
            if now - self._entered_at < CHECK_TIMEOUT_S:
                return _Wait()
            self._released.add(self._hold)
            self._hold = None
        if report.held is not None:
            if self._is_own_hold(rank, report.held):
                return self._adopt_hold(rank, report.held)
            return self._move_hold(rank, report.held)
        begun = int((now - self._ranks[rank].observed_at) / self._plan.step_s)
        step = report.step + begun + 1 + self._hold_conflicts
        if self._latest_step is not None:
            step = max(report.step + 1, min(step, self._latest_step))
        if Hold(rank, step) in self._released:
            return self._move_hold(rank, report.held)
        return self._create_order(orders.Operation.HOLD, report, step)

    def _move_hold(self, rank: int, held: int | None) -> _Decision:
        """Chooses the next rank to hold the group, or takes over a hold of the last."""
        self._hold_conflicts = 0
        self._hold_moves += 1
        if held is not None and self._hold_moves >= self._plan.ranks:
            # All ranks are held, so that no hold is left to choose.
            self._hold = Hold(rank, held)
        else:
            self._hold = None
            self._holding_rank = (rank + 1) % self._plan.ranks
            self._ranks[rank].tries = 0
        return _Wait()

    def _decide_disarming(self, rank: int, report: orders.Report) -> _Decision:
        if report.armed is not None:
            return self._create_order(orders.Operation.DISARM, report)
        if not self._cancel_version:
            self._cancel_version = self._tokens.raise_token()
        is_refusing = self._ranks[rank].refusals > MAX_RETRIES
        if report.prepared != self._cancel_version and not (
            self._ranks_differ or is_refusing
        ):
            return self._create_order(orders.Operation.PREPARE, report)
        if report.held is not None and rank != self._holding_rank:
            return self._create_order(orders.Operation.GO, report, report.held)
        return _Reached()

    def _create_order(
        self, operation: orders.Operation, report: orders.Report, step: int = 0
    ) -> orders.Order:
        version = self._plan.version
        experts: orders.RankMap = ()
        if operation is orders.Operation.DISARM:
            version = report.armed or 0
        elif operation is orders.Operation.PREPARE:
            experts = self._plan.experts
            if self._state == "disarming":
                version, experts = self._cancel_version, self._current or ()
        return orders.Order(
            operation,
            self._token,
            self._plan.epoch,
            version,
            step,
            experts,
            report.sequence,
        )

    def _handle_success(self, rank: int, order: orders.Order) -> None:
        """Handles an order that was executed, or whose effect was there already."""
        operations = {
            "preparing": orders.Operation.PREPARE,
            "holding": orders.Operation.HOLD,
            "arming": orders.Operation.ARM,
            "fencing": orders.Operation.HOLD,
            "releasing": orders.Operation.GO,
            "withdrawing": orders.Operation.GO,
        }
        if operations.get(self._state) is not order.operation:
            return
        if order.operation is orders.Operation.HOLD:
            if rank != self._holding_rank:
                return
            self._hold = Hold(rank, order.step)
        self._ranks[rank].done = True

    def _handle_conflict(self, rank: int, order: orders.Order, now: float) -> None:
        """Handles an order that doesn't fit the rank's state, or its number."""
        progress = self._ranks[rank]
        progress.conflict = order
        if order.operation is not orders.Operation.HOLD:
            progress.next_send_at = now + POLL_INTERVAL_S
            if order.version == self._cancel_version:
                progress.refusals += 1
            return
        self._hold_conflicts += 1
        self._lead_s *= 2.0
        if self._state == "holding" and self._hold_conflicts >= MAX_RETRIES:
            self._apply_event("fail", "all chosen hold steps had already begun", now)

    def _handle_fenced(self, order: orders.Order) -> None:
        if order.token == self._token:
            self.fenced = True
            self.reason = "another entry controls the group"

    def _check_epoch(self, now: float) -> list[orders.Command]:
        """Requests a report of one rank in turn if a rank keeps failing orders."""
        is_stuck = self._state in _UNLIMITED_STATES and any(
            not progress.done and progress.tries > MAX_RETRIES
            for progress in self._ranks
        )
        if not is_stuck or now < self._epoch_check_at:
            return []
        self._epoch_check_at = now + POLL_INTERVAL_S
        rank = self._epoch_checks % self._plan.ranks
        self._epoch_checks += 1
        return [] if self._ranks[rank].in_flight else [orders.RequestReport(rank)]

    def _list_target_ranks(self) -> range:
        if self._state in _HOLDING_RANK_STATES:
            return range(self._holding_rank, self._holding_rank + 1)
        return range(self._plan.ranks)

    def _check_timeouts(self, now: float) -> None:
        timeouts_s = {
            "preparing": PREPARE_TIMEOUT_S,
            "copying": self._plan.copy_s * COPY_TIME_FACTOR + COPY_TIMEOUT_S,
            "arming": ARM_TIMEOUT_S,
            "checking": CHECK_TIMEOUT_S,
            "verifying": CHECK_TIMEOUT_S,
        }
        timeout_s = timeouts_s.get(self._state, math.inf)
        if now - self._entered_at > timeout_s:
            self._apply_event("fail", f"timeout while {self._state}", now)
            return
        tries = max(progress.tries for progress in self._ranks)
        is_limited = self._state not in _UNLIMITED_STATES
        if (
            is_limited
            and tries > MAX_RETRIES
            and not any(rank.in_flight for rank in self._ranks)
        ):
            self._apply_event("fail", f"no answer while {self._state}", now)

    def _advance_if_done(self, now: float) -> None:
        if self.is_over or not all(
            self._ranks[rank].done for rank in self._list_target_ranks()
        ):
            return
        events = {
            "copying": "copied",
            "checking": "confirmed",
            "verifying": "confirmed",
        }
        self._apply_event(events.get(self._state, "accepted"), "", now)

    def _apply_event(self, event: str, reason: str, now: float) -> None:
        match interpreter.advance(CHART, self._state, event):
            case interpreter.Advanced(state):
                self._enter(state, reason, now)
            case interpreter.Ignored():
                pass

    def _enter(self, state: str, reason: str, now: float) -> None:
        self._state = state
        self._entered_at = now
        self.reason = reason or self.reason
        # Ranks that have seen the new token refuse earlier orders.
        if state in ("fencing", "withdrawing"):
            self._token = self._tokens.raise_token()
        if state == "fencing":
            self._hold_conflicts = self._hold_moves = 0
        for progress in self._ranks:
            progress.done, progress.tries, progress.next_send_at = False, 0, 0.0
            progress.conflict = None
            if state in _REPORTING_STATES or state == "fencing":
                progress.report = None


def create_change(plan: ChangePlan, tokens: TokenSource, now: float) -> MapChange:
    """Returns a change to a new map."""
    return MapChange(plan, tokens, now)


def create_recovery(plan: ChangePlan, tokens: TokenSource, now: float) -> MapChange:
    """Returns the rollback of another entry's unfinished change.

    Args:
        plan: The group's state; the new map is not used.
        tokens: Source of fencing tokens.
        now: Present time, in seconds.
    """
    return MapChange(plan, tokens, now, "fencing")
