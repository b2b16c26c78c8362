"""Changes the expert map of a group so that no step ever runs under two maps.

The change orders one rank to hold the group at a future step, arms all ranks for that
step, and releases the hold once every rank has reported that it is armed. If all orders
arrive in time, the hold ends before the group reaches the step, and no step is delayed.
Otherwise the group waits at the step; ranks never run different maps.

A rank may execute an unanswered order seconds later. The order is therefore retried
under a higher fencing token, after which ranks refuse the unanswered order. A rollback
first sends the holding rank a higher token, so that it refuses a late GO order, and
then disarms the ranks. Releasing and rolling back take as many retries as needed; if a
rank takes no orders meanwhile, the others are asked whether the group has a new epoch,
in which nothing is armed or held.
"""

from __future__ import annotations

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
        step: Step that had begun by `step_observed_at`.
        step_observed_at: Monotonic time, in seconds.
        orders_lost: Whether recent orders went unanswered; if so, the held step is
            chosen further ahead.
    """

    version: int
    experts: orders.RankMap
    ranks: int
    epoch: int
    copy_s: float
    step_s: float
    step: int
    step_observed_at: float
    orders_lost: bool


class TokenSource(typing.Protocol):
    """Source of fencing tokens."""

    def raise_token(self) -> int:
        """Returns a fencing token higher than all earlier ones."""


@dataclasses.dataclass(slots=True)
class _RankProgress:
    """Progress of one rank in the current state of the change.

    Attributes:
        done: Whether the rank has reached what the state requires.
        in_flight: Whether an order or report request to the rank is unanswered.
        tries: Orders sent to the rank in this state.
        next_send_at: Earliest time of the next order or report request.
    """

    done: bool = False
    in_flight: bool = False
    tries: int = 0
    next_send_at: float = 0.0


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
        self._step = plan.step
        self._lead_s = HOLD_LEAD_S if not plan.orders_lost else LOSSY_HOLD_LEAD_S
        self._hold_conflicts = 0
        self._step_known = False
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
        """Step at which the map changes."""
        return self._step

    @property
    def is_over(self) -> bool:
        """Whether the change has ended or this entry has been fenced off."""
        return self.fenced or self._state in CHART.final

    def poll_commands(self, now: float) -> list[orders.Command]:
        """Returns the due orders and report requests and marks them as in flight."""
        if self.is_over:
            return []
        self._check_timeouts(now)
        if self.is_over:
            return []
        if self._state == "copying":
            return []
        if self._state in ("checking", "verifying"):
            return self._request_reports(now)
        if self._state == "holding" and not self._step_known:
            return self._request_step(now)
        return [*self._send_orders(now), *self._check_epoch(now)]

    def handle_result(
        self, rank: int, order: orders.Order, result: orders.Result, now: float
    ) -> None:
        """Handles the result of an order."""
        progress = self._ranks[rank]
        progress.in_flight = False
        if self.is_over:
            return
        if result is orders.Result.FENCED:
            self._handle_fenced(order)
            return
        if order.token != self._token or not self._is_current_operation(
            order.operation
        ):
            return
        match result:
            case orders.Result.ACCEPTED:
                progress.done = True
            case orders.Result.CONFLICT:
                self._handle_conflict(progress, now)
            case orders.Result.LOST:
                self.lost_order_count += 1
                self._token = self._tokens.raise_token()
                progress.next_send_at = now
            case orders.Result.REFUSED:
                progress.next_send_at = now + POLL_INTERVAL_S
        self._advance_if_done(now)

    def handle_report(
        self, rank: int, report: orders.Report | None, now: float
    ) -> None:
        """Handles a rank's report; None if the rank did not answer."""
        progress = self._ranks[rank]
        progress.in_flight = False
        progress.next_send_at = now + POLL_INTERVAL_S
        if self.is_over or report is None:
            return
        if report.epoch != self._plan.epoch or not report.is_open:
            self._apply_event(
                "void", "the group's epoch changed or the group closed", now
            )
            return
        if self._state == "holding":
            self._step_known = True
            self._plan = dataclasses.replace(
                self._plan, step=report.step, step_observed_at=now - report.lag_s
            )
            progress.next_send_at = now
            return
        if self._state in ("checking", "verifying"):
            progress.done = self._is_confirmed_by(report)
        self._advance_if_done(now)

    def _request_step(self, now: float) -> list[orders.Command]:
        """Requests the group's current step, from which the held step is chosen."""
        progress = self._ranks[HOLDING_RANK]
        if progress.in_flight or now < progress.next_send_at:
            return []
        progress.in_flight = True
        return [orders.RequestReport(HOLDING_RANK)]

    def _is_confirmed_by(self, report: orders.Report) -> bool:
        match self._state:
            case "checking":
                return report.armed == self._plan.version
            case "verifying":
                return report.armed is None
            case _:
                return False

    def _request_reports(self, now: float) -> list[orders.Command]:
        due = [
            rank
            for rank, progress in enumerate(self._ranks)
            if not progress.done
            and not progress.in_flight
            and now >= progress.next_send_at
        ]
        for rank in due:
            self._ranks[rank].in_flight = True
        return [orders.RequestReport(rank) for rank in due]

    def _send_orders(self, now: float) -> list[orders.Command]:
        sent: list[orders.Command] = []
        for rank in self._list_target_ranks():
            progress = self._ranks[rank]
            if progress.done or progress.in_flight or now < progress.next_send_at:
                continue
            progress.in_flight = True
            progress.tries += 1
            sent.append(orders.SendOrder(rank, self._build_order(now)))
        return sent

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
        return [orders.RequestReport(rank)]

    def _list_target_ranks(self) -> range:
        if self._state in ("holding", "releasing", "fencing", "withdrawing"):
            return range(HOLDING_RANK, HOLDING_RANK + 1)
        return range(self._plan.ranks)

    def _build_order(self, now: float) -> orders.Order:
        plan = self._plan
        match self._state:
            case "preparing":
                return self._create_order(orders.Operation.PREPARE, plan.version, 0)
            case "holding":
                if self._ranks[HOLDING_RANK].tries == 1:
                    self._step = self._choose_hold_step(now)
                return self._create_order(orders.Operation.HOLD, 0, self._step)
            case "arming":
                return self._create_order(
                    orders.Operation.ARM, plan.version, self._step
                )
            case "fencing" | "disarming":
                return self._create_order(orders.Operation.DISARM, plan.version, 0)
            case _:
                return self._create_order(orders.Operation.GO, 0, self._step)

    def _create_order(
        self, operation: orders.Operation, version: int, step: int
    ) -> orders.Order:
        experts = self._plan.experts if operation is orders.Operation.PREPARE else ()
        return orders.Order(
            operation, self._token, self._plan.epoch, version, step, experts
        )

    def _choose_hold_step(self, now: float) -> int:
        ahead_s = now - self._plan.step_observed_at + self._lead_s
        return self._plan.step + math.ceil(ahead_s / self._plan.step_s)

    def _is_current_operation(self, operation: orders.Operation) -> bool:
        operations = {
            "preparing": orders.Operation.PREPARE,
            "holding": orders.Operation.HOLD,
            "arming": orders.Operation.ARM,
            "fencing": orders.Operation.DISARM,
            "disarming": orders.Operation.DISARM,
            "releasing": orders.Operation.GO,
            "withdrawing": orders.Operation.GO,
        }
        return operations.get(self._state) is operation

    def _handle_conflict(self, progress: _RankProgress, now: float) -> None:
        if self._state == "holding":
            self._hold_conflicts += 1
            if self._hold_conflicts >= MAX_RETRIES:
                self._apply_event(
                    "fail", "all chosen hold steps had already begun", now
                )
                return
            self._lead_s *= 2.0
            self._step_known = False
            progress.tries = 0
        elif self._state == "arming":
            # The rank is still copying weights. The other cause of a conflict, an arm
            # order for a step that has begun, is ruled out by the hold.
            progress.next_send_at = now + POLL_INTERVAL_S
        elif self._state in _UNLIMITED_STATES:
            # The rank is not armed or doesn't hold, as required.
            progress.done = True
        else:
            self._apply_event(
                "fail", f"a rank reported a conflict while {self._state}", now
            )

    def _handle_fenced(self, order: orders.Order) -> None:
        if order.token == self._token:
            self.fenced = True
            self.reason = "another entry controls the group"

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
        for progress in self._ranks:
            progress.done, progress.tries, progress.next_send_at = False, 0, 0.0


def create_change(plan: ChangePlan, tokens: TokenSource, now: float) -> MapChange:
    """Returns a change to a new map."""
    return MapChange(plan, tokens, now)


def create_recovery(plan: ChangePlan, tokens: TokenSource, now: float) -> MapChange:
    """Returns the rollback of another entry's unfinished change.

    Args:
        plan: The group's state; `step` is the held step.
        tokens: Source of fencing tokens.
        now: Present time, in seconds.
    """
    return MapChange(plan, tokens, now, "fencing")
