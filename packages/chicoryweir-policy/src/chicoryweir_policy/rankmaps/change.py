"""Changes the expert map of a group so that no step ever runs under two maps.

The change orders one rank to hold the group at a future step, arms all ranks for that
step, and releases the hold once every rank has reported that it is armed. If all orders
arrive in time, the hold ends before the group reaches the step, and no step is delayed.
Otherwise the group waits at the step; ranks never run different maps.

A rank may execute an unanswered order seconds later, and an answered one twice. Each
order therefore names the number of orders that the rank has executed, from its latest
report, and the rank refuses it if it has executed another one since. So at most one of
the orders that name the same number takes effect: once a rank has executed an order
with it, all others that name it or a lower one have no effect any more. Fencing tokens
are sent as well, but the ranks of some groups don't check them.

A rollback keeps the group held: it gets one rank to hold it first, then brings each
other rank to execute an order of its own, so that nothing that an earlier lease holder
sent can take effect there later, and cancels armed switches. The hold ends once every
rank has reported that it is not armed. A change that all ranks are armed for needs no
rollback, even if the step has not yet begun: see `is_settled`.

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
# Rank that is ordered to hold the group; the choice of the rank makes no difference.
HOLDING_RANK = 0
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
# The change waits for the estimated copy time, multiplied by a factor for a slow link,
# plus the time of an order.
COPY_TIME_FACTOR = 1.1
COPY_SLACK_S = 0.05

# States in which orders are retried without limit, since ranks would otherwise stay
# armed or the group held.
_UNLIMITED_STATES = frozenset({"releasing", "fencing", "disarming", "withdrawing"})
# States of a rollback.
_ROLLBACK_STATES = frozenset({"fencing", "disarming", "verifying", "withdrawing"})
# States in which only the holding rank gets orders.
_HOLDING_RANK_STATES = frozenset({"holding", "releasing", "fencing", "withdrawing"})
# States that check reports, which must have been requested in them.
_REPORTING_STATES = frozenset({"checking", "verifying"})


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePlan:
    """A new map for a group, and the state of the group that the change starts from.

    Attributes:
        version: Version of the new map; higher than all earlier versions.
        experts: The new map.
        ranks: Number of ranks in the group.
        epoch: Epoch of the group.
        copy_s: Time that the slowest rank needs to copy weights, in seconds.
        step_s: Current time of a step, in seconds.
        orders_lost: Whether recent orders went unanswered; if so, the held step is
            chosen further ahead.
    """

    version: int
    experts: orders.RankMap
    ranks: int
    epoch: int
    copy_s: float
    step_s: float
    orders_lost: bool


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
    armed = {report.armed for report in reports if report.armed is not None}
    if not armed:
        return True
    return len(armed) == 1 and all(
        report.armed in armed or report.version in armed for report in reports
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
    """Progress of one rank.

    Attributes:
        done: Whether the rank has reached what the state requires.
        pending: Unanswered order.
        is_asked: Whether a report request is unanswered.
        tries: Orders sent and reports missed in this state.
        next_send_at: Earliest time of the next order or report request.
        report: State of the rank; None if it must be read before the next order.
        observed_at: Time at which the rank had this state, in seconds.
        conflict: Order that the rank refused last in this state.
        known_sequence: Number of orders that the rank is known to have executed.
        sent_sequence: Highest number of executed orders that an order named.
        floor: Orders that name a number up to this one were sent before the rollback;
            None outside a rollback, and until the rollback has read a report.
    """

    done: bool = False
    pending: orders.Order | None = None
    is_asked: bool = False
    tries: int = 0
    next_send_at: float = 0.0
    report: orders.Report | None = None
    observed_at: float = 0.0
    conflict: orders.Order | None = None
    known_sequence: int = -1
    sent_sequence: int = -1
    floor: int | None = None

    @property
    def in_flight(self) -> bool:
        """Whether an order or report request to the rank is unanswered."""
        return self.is_asked or self.pending is not None

    @property
    def is_cleared(self) -> bool:
        """Whether no order from before the rollback can take effect any more."""
        return self.floor is not None and self.known_sequence > self.floor


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
        self._step = 0
        self._lead_s = HOLD_LEAD_S if not plan.orders_lost else LOSSY_HOLD_LEAD_S
        self._hold_steps: set[int] = set()
        self._hold_conflicts = 0
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
        """Step at which the group is held; 0 before it is."""
        return self._step

    @property
    def is_over(self) -> bool:
        """Whether the change has ended or this entry has been fenced off."""
        return self.fenced or self._state in CHART.final

    def poll_commands(self, now: float) -> list[orders.Command]:
        """Returns the due orders and report requests and marks them as in flight."""
        found: list[orders.Command] = []
        state = ""
        while not self.is_over and self._state != state:
            state = self._state
            self._check_timeouts(now)
            if self._state == state and state != "copying":
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
        before: orders.Report | None
        before, progress.report = progress.report, None
        match result:
            case orders.Result.ACCEPTED:
                progress.known_sequence = max(
                    progress.known_sequence, order.sequence + 1
                )
                if before is not None:
                    progress.report = _apply_order(before, order)
                progress.done = self._is_reached_by(order)
            case orders.Result.UNCHANGED:
                progress.done = self._is_reached_by(order)
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
        if progress.pending is not None or report.sequence < progress.known_sequence:
            # It may be older than an order that the rank has executed.
            progress.next_send_at = now + POLL_INTERVAL_S
            return
        progress.report = report
        progress.observed_at = now - report.lag_s
        progress.known_sequence = report.sequence
        if progress.floor is None and self._is_rolling_back:
            progress.floor = max(progress.sent_sequence, report.sequence)

    @property
    def _is_rolling_back(self) -> bool:
        return self._state in _ROLLBACK_STATES

    def _request_all(self, now: float) -> list[orders.Command]:
        """Returns what is due at the ranks that the state concerns."""
        found: list[orders.Command] = []
        state = self._state
        for rank in self._list_target_ranks():
            progress = self._ranks[rank]
            is_due = not progress.done and now >= progress.next_send_at
            if is_due and not progress.in_flight and self._state == state:
                found += self._request_next(rank, now)
        return found

    def _request_next(self, rank: int, now: float) -> list[orders.Command]:
        """Returns the next order to a rank, or the request for the report it needs."""
        progress = self._ranks[rank]
        if progress.report is None:
            progress.is_asked = True
            return [orders.RequestReport(rank)]
        match self._decide(rank, progress.report, now):
            case orders.Order() as order:
                progress.pending = order
                progress.sent_sequence = max(progress.sent_sequence, order.sequence)
                progress.tries += 1
                return [orders.SendOrder(rank, order)]
            case _Reached():
                progress.done = True
            case _Wait():
                progress.report = None
                progress.next_send_at = now + POLL_INTERVAL_S
            case _Fail(reason):
                self._apply_event("fail", reason, now)
        return []

    def _decide(self, rank: int, report: orders.Report, now: float) -> _Decision:
        """Decides what a rank still needs in the current state, by its report."""
        match self._state:
            case "preparing":
                return self._decide_preparation(rank, report)
            case "holding":
                return self._decide_hold(report, now)
            case "arming":
                return self._decide_arming(rank, report)
            case "checking" | "verifying":
                return self._decide_check(rank, report)
            case "fencing":
                return self._decide_fencing(report, now)
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

    def _decide_hold(self, report: orders.Report, now: float) -> _Decision:
        if report.held in self._hold_steps:
            self._step = report.held
            return _Reached()
        if report.held is not None:
            return _Fail("another change holds the group")
        observed_at = self._ranks[HOLDING_RANK].observed_at
        ahead_s = now - observed_at + self._lead_s
        self._step = report.step + math.ceil(ahead_s / self._plan.step_s)
        self._hold_steps.add(self._step)
        return self._create_order(orders.Operation.HOLD, report, self._step)

    def _decide_arming(self, rank: int, report: orders.Report) -> _Decision:
        if rank == HOLDING_RANK and report.held != self._step:
            return _Fail("the group is no longer held")
        if report.armed == self._plan.version:
            return _Reached()
        if report.armed is not None:
            return _Fail("a rank is armed for another map")
        if self._ranks[rank].tries and report.prepared != self._plan.version:
            # The rank is still copying weights. The first order is sent without a
            # report, since the copies usually take as long as estimated.
            return _Wait()
        return self._create_order(orders.Operation.ARM, report, self._step)

    def _decide_check(self, rank: int, report: orders.Report) -> _Decision:
        """Decides whether a rank's report confirms what it was ordered."""
        is_held = report.held is not None
        if self._state == "verifying":
            if report.armed is None and is_held == (rank == HOLDING_RANK):
                return _Reached()
            return _Fail("a rank is armed, or the wrong ones are held")
        if rank == HOLDING_RANK and report.held != self._step:
            return _Fail("the group is no longer held")
        return _Reached() if report.armed == self._plan.version else _Wait()

    def _decide_release(self, report: orders.Report) -> _Decision:
        """Decides whether the group can go on; the holding rank must be as checked."""
        if report.held is None:
            return _Reached()
        expected = self._plan.version if self._state == "releasing" else None
        if report.armed != expected:
            return _Fail(f"the holding rank is armed for {report.armed}")
        return self._create_order(orders.Operation.GO, report, report.held)

    def _decide_fencing(self, report: orders.Report, now: float) -> _Decision:
        """Decides how the group is held without a rank that may switch or release."""
        if report.held is None:
            observed_at = self._ranks[HOLDING_RANK].observed_at
            begun = int((now - observed_at) / self._plan.step_s)
            step = report.step + begun + 1 + self._hold_conflicts
            return self._create_order(orders.Operation.HOLD, report, step)
        if report.armed is not None:
            return self._create_order(orders.Operation.DISARM, report)
        self._step = report.held
        return _Reached()

    def _decide_disarming(self, rank: int, report: orders.Report) -> _Decision:
        if report.armed is not None:
            return self._create_order(orders.Operation.DISARM, report)
        if report.held is not None:
            return self._create_order(orders.Operation.GO, report, report.held)
        if self._ranks[rank].is_cleared:
            return _Reached()
        step = max(self._step, report.step + 1)
        return self._create_order(orders.Operation.HOLD, report, step)

    def _create_order(
        self, operation: orders.Operation, report: orders.Report, step: int = 0
    ) -> orders.Order:
        is_preparing = operation is orders.Operation.PREPARE
        version = self._plan.version
        if operation is orders.Operation.DISARM:
            version = report.armed or 0
        return orders.Order(
            operation,
            self._token,
            self._plan.epoch,
            version,
            step,
            self._plan.experts if is_preparing else (),
            report.sequence,
        )

    def _is_reached_by(self, order: orders.Order) -> bool:
        """Returns whether a rank has reached the state's goal with an order's effect.

        In a rollback, only reports tell.
        """
        operations = {
            "preparing": orders.Operation.PREPARE,
            "holding": orders.Operation.HOLD,
            "arming": orders.Operation.ARM,
            "releasing": orders.Operation.GO,
            "withdrawing": orders.Operation.GO,
        }
        return operations.get(self._state) is order.operation

    def _handle_conflict(self, rank: int, order: orders.Order, now: float) -> None:
        """Handles an order that doesn't fit the rank's state, or its sequence."""
        progress = self._ranks[rank]
        progress.conflict = order
        if order.operation is not orders.Operation.HOLD:
            progress.next_send_at = now + POLL_INTERVAL_S
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
            return range(HOLDING_RANK, HOLDING_RANK + 1)
        if self._state == "disarming":
            return range(HOLDING_RANK + 1, self._plan.ranks)
        return range(self._plan.ranks)

    def _check_timeouts(self, now: float) -> None:
        copy_wait_s = self._plan.copy_s * COPY_TIME_FACTOR + COPY_SLACK_S
        if self._state == "copying" and now - self._entered_at >= copy_wait_s:
            self._apply_event("copied", "", now)
            return
        timeouts_s = {
            "preparing": PREPARE_TIMEOUT_S,
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
        if self.is_over:
            return
        if self._state == "copying" or not all(
            self._ranks[rank].done for rank in self._list_target_ranks()
        ):
            return
        events = {
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
            self._hold_conflicts = 0
        for rank, progress in enumerate(self._ranks):
            progress.done, progress.tries, progress.next_send_at = False, 0, 0.0
            progress.conflict = None
            is_first_rollback = state == "fencing" and progress.floor is None
            is_step_needed = state == "holding" and rank == HOLDING_RANK
            if is_first_rollback or is_step_needed or state in _REPORTING_STATES:
                progress.report = None


def _apply_order(report: orders.Report, order: orders.Order) -> orders.Report:
    """Returns the report of a rank after it has accepted an order."""
    changed = dataclasses.replace(report, sequence=order.sequence + 1)
    match order.operation:
        case orders.Operation.PREPARE:
            # The report shows the version once its weights have been copied.
            return changed
        case orders.Operation.ARM:
            return dataclasses.replace(changed, armed=order.version)
        case orders.Operation.DISARM:
            return dataclasses.replace(changed, armed=None)
        case orders.Operation.HOLD:
            return dataclasses.replace(changed, held=order.step)
        case orders.Operation.GO:
            return dataclasses.replace(changed, held=None)


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
