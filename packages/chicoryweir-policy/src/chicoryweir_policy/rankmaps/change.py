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
armed for needs no rollback, even if its step has not yet begun: see
`settlement.is_settled`.

Releasing and rolling back take as many retries as needed; if a rank takes no orders
meanwhile, the others are asked whether the group has a new epoch, in which nothing is
armed or held.
"""

from __future__ import annotations

import math

from chicoryweir_policy.charts import interpreter
from chicoryweir_policy.rankmaps import changelimits
from chicoryweir_policy.rankmaps import changeplan
from chicoryweir_policy.rankmaps import changestate
from chicoryweir_policy.rankmaps import orders
from chicoryweir_policy.rankmaps import rankdecisions
from chicoryweir_policy.rankmaps import rankholds

CHART = interpreter.load_chart("rank_map_change")


class MapChange:
    """Changes a group's map, or rolls back another entry's unfinished change."""

    def __init__(
        self,
        plan: changeplan.ChangePlan,
        tokens: changestate.TokenSource,
        now: float,
        state: str = CHART.initial,
    ) -> None:
        self._state = changestate.create_change_state(plan, tokens, state, now)
        self._epoch_check_at = -math.inf
        self._epoch_checks = 0
        self.lost_order_count = 0
        self.fenced = False
        self.reason = ""

    @property
    def state(self) -> str:
        """State in the chart `rank_map_change`."""
        return self._state.name

    @property
    def step(self) -> int:
        """Step at which this change holds the group; 0 while it doesn't."""
        return self._state.holds.step

    @property
    def is_over(self) -> bool:
        """Whether the change has ended or this entry has been fenced off."""
        return self.fenced or self._state.name in CHART.final

    @property
    def released(self) -> frozenset[rankholds.Hold]:
        """Holds that this holder has ordered to be released so far."""
        return frozenset(self._state.holds.released)

    @property
    def needs_current_map(self) -> bool:
        """Whether a rollback waits for `set_current_map`."""
        is_known = self._state.current is not None or self._state.ranks_differ
        return self._state.name == "disarming" and not is_known

    def set_current_map(self, experts: orders.RankMap | None) -> None:
        """Sets the current map, read while the group is held.

        Args:
            experts: The map; None if the ranks run different ones, so that none can be
                prepared.
        """
        self._state.current = experts
        self._state.ranks_differ = experts is None

    def poll_commands(self, now: float) -> list[orders.Command]:
        """Returns the due orders and report requests and marks them as in flight."""
        found: list[orders.Command] = []
        state = ""
        while not self.is_over and self._state.name != state:
            state = self._state.name
            self._check_timeouts(now)
            if self._state.name == state:
                found += self._request_all(now)
                self._advance_if_done(now)
        return [*found, *self._check_epoch(now)]

    def handle_result(
        self, rank: int, order: orders.Order, result: orders.Result, now: float
    ) -> None:
        """Handles the result of an order."""
        progress = self._state.ranks[rank]
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
                progress.next_send_at = now + changelimits.POLL_INTERVAL_S
        self._advance_if_done(now)

    def handle_report(
        self, rank: int, report: orders.Report | None, now: float
    ) -> None:
        """Handles a rank's report; None if the rank did not answer."""
        progress = self._state.ranks[rank]
        progress.is_asked = False
        if self.is_over:
            return
        if report is None:
            progress.tries += 1
            progress.next_send_at = now + changelimits.POLL_INTERVAL_S
            return
        if report.epoch != self._state.plan.epoch or not report.is_open:
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
        state = self._state.name
        for rank in self._state.target_ranks:
            progress = self._state.ranks[rank]
            is_due = not progress.done and now >= progress.next_send_at
            if is_due and not progress.in_flight and self._state.name == state:
                found += self._request_next(rank, now)
        return found

    def _is_copying(self, now: float) -> bool:
        """Returns whether the ranks are expected to be still copying weights."""
        if self._state.name != "copying":
            return False
        copy_wait_s = changelimits.compute_copy_wait(self._state.plan.copy_s)
        return now - self._state.entered_at < copy_wait_s

    def _request_next(self, rank: int, now: float) -> list[orders.Command]:
        """Returns the next order to a rank, or the request for the report it needs."""
        progress = self._state.ranks[rank]
        if progress.report is None:
            if (
                self._state.name == "fencing"
                and progress.tries > changelimits.MAX_RETRIES
            ):
                rankdecisions.move_hold(self._state, rank, None)
                return []
            progress.is_asked = True
            return [orders.RequestReport(rank)]
        match rankdecisions.decide(self._state, rank, progress.report, now):
            case orders.Order() as order:
                progress.pending = order
                progress.tries += 1
                self._state.holds.record_order(rank, order)
                return [orders.SendOrder(rank, order)]
            case rankdecisions.Reached():
                progress.done = True
            case rankdecisions.Wait():
                progress.report = None
                progress.next_send_at = now + changelimits.POLL_INTERVAL_S
            case rankdecisions.Fail(reason):
                self._apply_event("fail", reason, now)
        return []

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
        if operations.get(self._state.name) is not order.operation:
            return
        if order.operation is orders.Operation.HOLD:
            if rank != self._state.holds.holding_rank:
                return
            self._state.holds.hold = rankholds.Hold(rank, order.step)
        self._state.ranks[rank].done = True

    def _handle_conflict(self, rank: int, order: orders.Order, now: float) -> None:
        """Handles an order that doesn't fit the rank's state, or its number."""
        progress = self._state.ranks[rank]
        progress.conflict = order
        if order.operation is not orders.Operation.HOLD:
            progress.next_send_at = now + changelimits.POLL_INTERVAL_S
            if order.version == self._state.cancel_version:
                progress.refusals += 1
            return
        conflicts = self._state.holds.record_conflict()
        if self._state.name == "holding" and conflicts >= changelimits.MAX_RETRIES:
            self._apply_event("fail", "all chosen hold steps had already begun", now)

    def _handle_fenced(self, order: orders.Order) -> None:
        if order.token == self._state.token:
            self.fenced = True
            self.reason = "another entry controls the group"

    def _check_epoch(self, now: float) -> list[orders.Command]:
        """Requests a report of one rank in turn if a rank keeps failing orders."""
        is_stuck = self._state.name in changelimits.UNLIMITED_STATES and any(
            not progress.done and progress.tries > changelimits.MAX_RETRIES
            for progress in self._state.ranks
        )
        if not is_stuck or now < self._epoch_check_at:
            return []
        self._epoch_check_at = now + changelimits.POLL_INTERVAL_S
        rank = self._epoch_checks % self._state.plan.ranks
        self._epoch_checks += 1
        return [] if self._state.ranks[rank].in_flight else [orders.RequestReport(rank)]

    def _check_timeouts(self, now: float) -> None:
        state, copy_s = self._state.name, self._state.plan.copy_s
        timeout_s = changelimits.compute_timeout(state, copy_s)
        if now - self._state.entered_at > timeout_s:
            self._apply_event("fail", f"timeout while {self._state.name}", now)
            return
        tries = max(progress.tries for progress in self._state.ranks)
        is_limited = self._state.name not in changelimits.UNLIMITED_STATES
        if (
            is_limited
            and tries > changelimits.MAX_RETRIES
            and not any(rank.in_flight for rank in self._state.ranks)
        ):
            self._apply_event("fail", f"no answer while {self._state.name}", now)

    def _advance_if_done(self, now: float) -> None:
        if self.is_over or not all(
            self._state.ranks[rank].done for rank in self._state.target_ranks
        ):
            return
        events = {
            "copying": "copied",
            "checking": "confirmed",
            "verifying": "confirmed",
        }
        self._apply_event(events.get(self._state.name, "accepted"), "", now)

    def _apply_event(self, event: str, reason: str, now: float) -> None:
        match interpreter.advance(CHART, self._state.name, event):
            case interpreter.Advanced(state):
                self._state.enter(state, now)
                self.reason = reason or self.reason
            case interpreter.Ignored():
                pass


def create_change(
    plan: changeplan.ChangePlan, tokens: changestate.TokenSource, now: float
) -> MapChange:
    """Returns a change to a new map."""
    return MapChange(plan, tokens, now)


def create_recovery(
    plan: changeplan.ChangePlan, tokens: changestate.TokenSource, now: float
) -> MapChange:
    """Returns the rollback of another entry's unfinished change.

    Args:
        plan: The group's state; the new map is not used.
        tokens: Source of fencing tokens.
        now: Present time, in seconds.
    """
    return MapChange(plan, tokens, now, "fencing")
