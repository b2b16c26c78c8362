"""Decides what each rank still needs in the current state of a map change."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy.rankmaps import changelimits
from chicoryweir_policy.rankmaps import changestate
from chicoryweir_policy.rankmaps import orders
from chicoryweir_policy.rankmaps import rankholds


@dataclasses.dataclass(frozen=True, slots=True)
class Reached:
    """The rank has reached what the state requires."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The rank's report must be read again after `changelimits.POLL_INTERVAL_S`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """The state can't be completed, for `reason`."""

    reason: str


Decision = orders.Order | Reached | Wait | Fail


def decide(
    change: changestate.ChangeState, rank: int, report: orders.Report, now: float
) -> Decision:
    """Decides what a rank still needs in the current state, by its report."""
    match change.name:
        case "preparing":
            return _decide_preparation(change, rank, report)
        case "copying":
            is_prepared = report.prepared == change.plan.version
            return Reached() if is_prepared else Wait()
        case "holding":
            return _decide_hold(change, rank, report, now)
        case "arming":
            return _decide_arming(change, rank, report)
        case "checking" | "verifying":
            return _decide_check(change, rank, report)
        case "fencing":
            return _decide_fencing(change, rank, report, now)
        case "disarming":
            return _decide_disarming(change, rank, report)
        case _:
            return _decide_release(change, report)


def move_hold(change: changestate.ChangeState, rank: int, held: int | None) -> Decision:
    """Chooses the next rank to hold the group, or takes over a hold of the last."""
    if change.holds.move(rank, held):
        change.ranks[rank].tries = 0
    return Wait()


def _decide_preparation(
    change: changestate.ChangeState, rank: int, report: orders.Report
) -> Decision:
    if report.armed is not None or report.held is not None:
        return Fail("another change is unfinished")
    if report.prepared == change.plan.version:
        return Reached()
    conflict = change.ranks[rank].conflict
    if conflict is not None and conflict.sequence == report.sequence:
        return Fail("a rank reported a conflict while preparing")
    return _create_order(change, orders.Operation.PREPARE, report)


def _decide_hold(
    change: changestate.ChangeState, rank: int, report: orders.Report, now: float
) -> Decision:
    if report.held is not None:
        return _adopt_hold(change, rank, report.held)
    age_s = change.compute_report_age(rank, now)
    step = change.holds.choose_step(rank, report, age_s, change.plan.step_s)
    return _create_order(change, orders.Operation.HOLD, report, step)


def _adopt_hold(change: changestate.ChangeState, rank: int, step: int) -> Decision:
    """Decides whether a hold that a report shows is one of this change."""
    if not change.holds.is_own(rank, step):
        return Fail("another change holds the group")
    change.holds.hold = rankholds.Hold(rank, step)
    return Reached()


def _decide_arming(
    change: changestate.ChangeState, rank: int, report: orders.Report
) -> Decision:
    assert change.holds.hold is not None
    if report.armed == change.plan.version:
        return Reached()
    if report.armed is not None:
        return Fail("a rank is armed for another map")
    is_held = rank != change.holds.holding_rank or report.held == change.holds.step
    if report.prepared != change.plan.version or not is_held:
        return Wait()
    change.holds.latest_step = change.holds.step
    return _create_order(change, orders.Operation.ARM, report, change.holds.step)


def _decide_check(
    change: changestate.ChangeState, rank: int, report: orders.Report
) -> Decision:
    """Decides whether a rank's report confirms what it was ordered.

    It may be older than the orders, so that it is read again if it doesn't.
    """
    is_held_as_ordered = report.held == (
        change.holds.step if rank == change.holds.holding_rank else None
    )
    if change.name == "checking":
        is_armed = report.armed == change.plan.version
        is_confirmed = is_armed and report.armed_step in (None, change.holds.step)
        if rank == change.holds.holding_rank:
            is_confirmed = is_confirmed and is_held_as_ordered
    else:
        is_confirmed = report.armed is None and is_held_as_ordered
    return Reached() if is_confirmed else Wait()


def _decide_release(change: changestate.ChangeState, report: orders.Report) -> Decision:
    """Decides whether the group can go on; the holding rank must be as checked."""
    if report.held is None:
        return Reached()
    expected = change.plan.version if change.name == "releasing" else None
    if report.armed != expected:
        return Fail(f"the holding rank is armed for {report.armed}")
    return _create_order(change, orders.Operation.GO, report, report.held)


def _decide_fencing(
    change: changestate.ChangeState, rank: int, report: orders.Report, now: float
) -> Decision:
    """Decides how the group is held so that only this change releases it."""
    if change.ranks[rank].tries > changelimits.MAX_RETRIES:
        return move_hold(change, rank, None)
    if change.holds.hold is not None:
        if report.held == change.holds.step:
            return Reached()
        if now - change.entered_at < changelimits.CHECK_TIMEOUT_S:
            return Wait()
        change.holds.give_up()
    if report.held is not None:
        if change.holds.is_own(rank, report.held):
            return _adopt_hold(change, rank, report.held)
        return move_hold(change, rank, report.held)
    age_s = change.compute_report_age(rank, now)
    step = change.holds.choose_rollback_step(rank, report, age_s, change.plan.step_s)
    if step is None:
        return move_hold(change, rank, None)
    return _create_order(change, orders.Operation.HOLD, report, step)


def _decide_disarming(
    change: changestate.ChangeState, rank: int, report: orders.Report
) -> Decision:
    if report.armed is not None:
        return _create_order(change, orders.Operation.DISARM, report)
    if not change.cancel_version:
        change.cancel_version = change.tokens.raise_token()
    is_refusing = change.ranks[rank].refusals > changelimits.MAX_RETRIES
    if report.prepared != change.cancel_version and not (
        change.ranks_differ or is_refusing
    ):
        return _create_order(change, orders.Operation.PREPARE, report)
    if report.held is not None and rank != change.holds.holding_rank:
        return _create_order(change, orders.Operation.GO, report, report.held)
    return Reached()


def _create_order(
    change: changestate.ChangeState,
    operation: orders.Operation,
    report: orders.Report,
    step: int = 0,
) -> orders.Order:
    version = change.plan.version
    experts: orders.RankMap = ()
    if operation is orders.Operation.DISARM:
        version = report.armed or 0
    elif operation is orders.Operation.PREPARE:
        experts = change.plan.experts
        if change.name == "disarming":
            version, experts = change.cancel_version, change.current or ()
    return orders.Order(
        operation,
        change.token,
        change.plan.epoch,
        version,
        step,
        experts,
        report.sequence,
    )
