"""Leases on rows of the table, with fencing tokens that never decrease.

The holder counts the duration from just before it sends the write that acquires the
lease; a contender counts it from when it has read that write, which is later. The
holder therefore stops before another contender can acquire the lease, without any
message between them, unless their clock rates differ by more than the margin.

A store that was restored from a copy may have lost the latest writes of the row, and
assigns their versions again. Each era of the store therefore has a row of its own.
Until that row exists, a holder of the former era may still act. The holder itself goes
on and writes the new row; others wait for the duration of a lease. Fencing tokens of an
era are higher than those of all earlier ones.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import hashing
from chicoryweir_policy import store
from chicoryweir_policy.charts import interpreter

CHART = interpreter.load_chart("lease")
HOLDING_STATES = frozenset({"held", "renewing", "unsettled"})
# Difference between the lowest fencing tokens of two consecutive eras.
FENCES_PER_ERA = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Timing of a lease.

    Attributes:
        ttl_s: Time without a write after which a contender may acquire the lease.
        margin_s: Time before expiry at which the holder stops.
        period_s: Maximum interval between renewals, and between a contender's reads.
        jitter: Maximum fraction by which an interval is shortened.
    """

    ttl_s: float = 15.0
    margin_s: float = 3.0
    period_s: float = 4.0
    jitter: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """One contender's view of a lease.

    Attributes:
        key: Key of the row.
        holder: Name of this contender's process; never reused by another process.
        settings: Timing of the lease.
        seed: Seed of the jitter.
        state: State in the chart `lease`.
        fence: Fencing token that this contender holds or last held; 0 for none.
        highest_fence: Highest fencing token reported by others.
        version: Latest known version of the row; 0 while it doesn't exist.
        row_fence: Fencing token in the row.
        row_holder: Holder in the row, or an empty string after a release.
        seen_at: When this version was first read; None before the first read.
        vacant_until: Time until which another contender may hold the lease although the
            row doesn't exist.
        held_until: When this contender stops holding the lease.
        pending: Operation in progress, or None.
        sent_at: When the last write was sent.
        unconfirmed_at: When the earliest write with an unknown result to this version
            was sent; it may still take effect. None if there is no such write.
        next_at: When the next operation is due.
        jitter_counter: Number that varies the jitter; increases with each use.
        resigned: Whether this contender has stopped contending for the lease.
    """

    key: str
    holder: str
    settings: LeaseSettings
    seed: int
    state: str = CHART.initial
    fence: int = 0
    highest_fence: int = 0
    version: int = 0
    row_fence: int = 0
    row_holder: str = ""
    seen_at: float | None = None
    vacant_until: float = 0.0
    held_until: float = 0.0
    pending: store.Operation | None = None
    sent_at: float = 0.0
    unconfirmed_at: float | None = None
    next_at: float = 0.0
    jitter_counter: int = 0
    resigned: bool = False


LeaseUpdate = tuple[Lease, store.Operation | None]


def create_lease(group: str, holder: str, settings: LeaseSettings, seed: int) -> Lease:
    """Returns a contender's view of a group's lease before the first read."""
    return Lease(f"lease/{group}", holder, settings, seed)


def enter_era(lease: Lease, group: str, era: int, is_acting: bool, now: float) -> Lease:
    """Returns a contender's view of the lease in a new era of the store.

    A holder keeps the lease as long as in the former era, and its next renewal writes
    the row of this era.

    Args:
        lease: Its view in the former era.
        group: Group of the lease.
        era: The new era.
        is_acting: Whether it acts under the lease, so that no other contender can.
        now: Present time, in seconds.
    """
    lowest_fence = era * FENCES_PER_ERA
    entered = dataclasses.replace(
        create_lease(f"{group}/{era}", lease.holder, lease.settings, lease.seed),
        fence=lease.fence,
        highest_fence=max(lease.highest_fence, lease.row_fence, lowest_fence),
        vacant_until=now + lease.settings.ttl_s,
        jitter_counter=lease.jitter_counter,
        resigned=lease.resigned,
    )
    if not is_acting:
        return entered
    entered = dataclasses.replace(entered, seen_at=now, vacant_until=now)
    if not holds(lease, now):
        return entered
    return dataclasses.replace(entered, state="held", held_until=lease.held_until)


def clear_vacancy(lease: Lease) -> Lease:
    """Ends the wait for a holder of the former era, if the row doesn't exist."""
    if lease.version or not lease.vacant_until:
        return lease
    return dataclasses.replace(lease, vacant_until=0.0, next_at=0.0)


def holds(lease: Lease, now: float) -> bool:
    """Returns whether this contender may act under its fencing token at `now`."""
    return lease.state in HOLDING_STATES and now < lease.held_until


def tick(lease: Lease, now: float) -> LeaseUpdate:
    """Ends the lease if it expired, and returns the next operation if one is due."""
    lease = expire(lease, now)
    if lease.pending is not None or now < lease.next_at:
        return lease, None
    if lease.state in ("unknown", "unsettled") or lease.seen_at is None:
        return _read(lease, now)
    if lease.state == "held" and lease.fence >= lease.highest_fence:
        return _request_lease(lease, lease.fence, now)
    if lease.state == "held":
        return _request_lease(lease, lease.highest_fence + 1, now)
    if lease.resigned or not _may_acquire(lease, now):
        return _read(lease, now)
    if lease.row_holder == lease.holder and lease.row_fence >= lease.highest_fence:
        return _request_lease(lease, lease.row_fence, now)
    return _request_lease(lease, max(lease.row_fence, lease.highest_fence) + 1, now)


def expire(lease: Lease, now: float) -> Lease:
    """Ends a lease that has expired by the holder's own clock."""
    if lease.state in HOLDING_STATES and now >= lease.held_until:
        return _apply_event(lease, "lapse")
    return lease


def apply_result(lease: Lease, result: store.Result, now: float) -> Lease:
    """Applies the result of the pending operation."""
    operation = lease.pending
    lease = dataclasses.replace(expire(lease, now), pending=None)
    lease = _schedule(lease, now)
    match result:
        case store.Committed(versions):
            if isinstance(operation, store.Transact) and lease.key in versions:
                return _apply_write(lease, operation, versions[lease.key], now)
            return lease
        case store.Conflicted(rows) | store.Rows(rows):
            return _record_row(lease, store.Rows(rows).find(lease.key), now)
        case store.Unknown():
            return _record_unknown(lease, now)
        case store.Refused():
            return _apply_event(
                lease, "fail" if lease.state in HOLDING_STATES else "refuse"
            )
        case store.ObjectFetched() | store.ObjectStored():
            return lease
        case _ as never:
            typing.assert_never(never)


def resign(lease: Lease, now: float) -> LeaseUpdate:
    """Stops contending; clears the row if the lease is held and no operation runs."""
    holding = holds(lease, now)
    lease = dataclasses.replace(lease, resigned=True)
    if not holding:
        return lease, None
    lease = _apply_event(lease, "lapse")
    if lease.pending is not None:
        return lease, None
    return _write(lease, "", lease.fence, now)


def clear_dead_holder(lease: Lease, holder: str) -> Lease:
    """Clears a holder that will not act again, so that the lease can be acquired."""
    if lease.row_holder != holder:
        return lease
    return dataclasses.replace(lease, row_holder="", next_at=0.0)


def record_fence(lease: Lease, fence: int) -> Lease:
    """Records a fencing token reported by others; a higher one ends the lease."""
    if lease.state in HOLDING_STATES and fence > lease.fence:
        lease = _apply_event(lease, "lapse")
    return dataclasses.replace(lease, highest_fence=max(lease.highest_fence, fence))


def _may_acquire(lease: Lease, now: float) -> bool:
    """Returns whether no other contender can still hold the lease."""
    if not lease.version and now < lease.vacant_until:
        return False
    if lease.row_holder in ("", lease.holder):
        return True
    assert lease.seen_at is not None
    return now >= lease.seen_at + lease.settings.ttl_s


def _apply_event(lease: Lease, event: str) -> Lease:
    match interpreter.advance(CHART, lease.state, event):
        case interpreter.Advanced(state):
            return dataclasses.replace(lease, state=state)
        case interpreter.Ignored():
            return lease
        case _ as never:
            typing.assert_never(never)


def _request_lease(lease: Lease, fence: int, now: float) -> LeaseUpdate:
    return _write(_apply_event(lease, "request"), lease.holder, fence, now)


def _write(lease: Lease, holder: str, fence: int, now: float) -> LeaseUpdate:
    operation = store.Transact(
        checks=(store.Check(lease.key, lease.version),),
        writes=(store.Write(lease.key, {"holder": holder, "fence": fence}),),
    )
    sent = dataclasses.replace(
        lease, pending=operation, sent_at=now, jitter_counter=lease.jitter_counter + 1
    )
    return sent, operation


def _read(lease: Lease, now: float) -> LeaseUpdate:
    operation = store.Read((lease.key,))
    return dataclasses.replace(lease, pending=operation), operation


def _schedule(lease: Lease, now: float) -> Lease:
    """Sets the time of the next operation, with jitter."""
    fraction = hashing.hash_to_unit(f"{lease.seed}/{lease.jitter_counter}")
    interval_s = lease.settings.period_s * (1.0 - lease.settings.jitter * fraction)
    return dataclasses.replace(
        lease, next_at=now + interval_s, jitter_counter=lease.jitter_counter + 1
    )


def _apply_write(
    lease: Lease, operation: store.Transact, version: int, now: float
) -> Lease:
    value = typing.cast(dict[str, typing.Any], operation.writes[0].value)
    row = store.Row(lease.key, version, value)
    return _record_row(dataclasses.replace(lease, unconfirmed_at=None), row, now)


def _record_unknown(lease: Lease, now: float) -> Lease:
    sent_at = lease.sent_at if lease.unconfirmed_at is None else lease.unconfirmed_at
    lease = dataclasses.replace(lease, unconfirmed_at=sent_at, next_at=now)
    return _apply_event(lease, "lose_reply")


def _record_row(lease: Lease, row: store.Row | None, now: float) -> Lease:
    """Records the current row, which resolves a write with an unknown result."""
    version = 0 if row is None else row.version
    is_changed = version != lease.version
    sent_at = lease.sent_at if lease.unconfirmed_at is None else lease.unconfirmed_at
    if row is not None:
        value = typing.cast(dict[str, typing.Any], row.value)
        lease = dataclasses.replace(
            lease, row_fence=value["fence"], row_holder=value["holder"]
        )
    if is_changed or lease.seen_at is None:
        lease = dataclasses.replace(
            lease, version=version, seen_at=now, unconfirmed_at=None
        )
    if row is None or lease.row_holder != lease.holder:
        return _apply_event(lease, "refuse")
    if not is_changed:
        return _apply_event(
            lease, "fail" if lease.state in HOLDING_STATES else "refuse"
        )
    return _start_holding(lease, sent_at, now)


def _start_holding(lease: Lease, sent_at: float, now: float) -> Lease:
    """Starts holding the lease, which counts from `sent_at`.

    Doesn't if it has expired, or if its fencing token was released meanwhile.
    """
    held_until = sent_at + lease.settings.ttl_s - lease.settings.margin_s
    is_released = lease.row_fence < lease.highest_fence
    if lease.resigned or is_released or now >= held_until:
        return _apply_event(lease, "lapse")
    held_lease = dataclasses.replace(
        lease, fence=lease.row_fence, held_until=held_until
    )
    return _apply_event(held_lease, "win")
