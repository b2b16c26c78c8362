"""Leases on rows of the table, with fencing numbers that never go back.

A holder counts its time from before it sent the write that gave it the lease, and a
contender counts from after it read that write. So a holder whose clock runs true has
stopped before anyone else can hold the lease, and needs no one to tell it.
"""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_policy import draws
from chicoryweir_policy import store
from chicoryweir_policy.charts import interpreter

CHART = interpreter.load_chart("lease")
HOLDING = frozenset({"held", "renewing", "unsettled"})


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times of a lease, in seconds.

    Attributes:
        ttl_s: Time without a write after which a contender takes the lease.
        margin_s: Time before that at which the holder stops.
        period_s: Time between renewals, and between reads of a contender.
        jitter: Largest part of a period by which one is cut.
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
        holder: Name of this contender's process; no other process ever has it.
        settings: Times.
        seed: Seed of the jitter.
        state: State in the chart.
        fence: Fencing number that this contender holds, or held last; 0 for none.
        floor: Highest fencing number known from elsewhere.
        version: Version of the row last seen; 0 while absent.
        row_fence: Fencing number in it.
        row_holder: Holder in it, or an empty string when it was given up.
        seen_at: When this version was first seen; None while never read.
        held_until: When this contender stops to hold.
        pending: Operation that is under way, or None.
        sent_at: When the last write was sent.
        doubtful_at: When the first write on this version was sent whose end is
            unknown; it may take effect yet. None when there is none.
        next_at: When the next operation is due.
        count: Operations so far; varies the jitter.
        resigned: Whether this contender no longer wants the lease.
    """

    key: str
    holder: str
    settings: LeaseSettings
    seed: int
    state: str = CHART.initial
    fence: int = 0
    floor: int = 0
    version: int = 0
    row_fence: int = 0
    row_holder: str = ""
    seen_at: float | None = None
    held_until: float = 0.0
    pending: store.Operation | None = None
    sent_at: float = 0.0
    doubtful_at: float | None = None
    next_at: float = 0.0
    count: int = 0
    resigned: bool = False


Step = tuple[Lease, store.Operation | None]


def create_lease(group: str, holder: str, settings: LeaseSettings, seed: int) -> Lease:
    """Returns a contender's view of a group's lease before it knows anything."""
    return Lease(f"lease/{group}", holder, settings, seed)


def holds(lease: Lease, now: float) -> bool:
    """Tells whether this contender may act under its fencing number at `now`."""
    return lease.state in HOLDING and now < lease.held_until


def tick(lease: Lease, now: float) -> Step:
    """Stops a lease that may lapse, and emits the next operation when it is due."""
    lease = expire(lease, now)
    if lease.pending is not None or now < lease.next_at:
        return lease, None
    if lease.state in ("unknown", "unsettled") or lease.seen_at is None:
        return _read(lease, now)
    if lease.state == "held":
        return _request(lease, lease.fence, now)
    if lease.resigned or not _may_take(lease, now):
        return _read(lease, now)
    if lease.row_holder == lease.holder and lease.row_fence >= lease.floor:
        return _request(lease, lease.row_fence, now)
    return _request(lease, max(lease.row_fence, lease.floor) + 1, now)


def expire(lease: Lease, now: float) -> Lease:
    """Stops a lease whose time is over by the holder's own clock."""
    if lease.state in HOLDING and now >= lease.held_until:
        return _move(lease, "lapse")
    return lease


def apply_result(lease: Lease, result: store.Result, now: float) -> Lease:
    """Takes the result of the operation that was under way."""
    operation = lease.pending
    lease = dataclasses.replace(expire(lease, now), pending=None)
    lease = _schedule(lease, now)
    match result:
        case store.Committed(versions):
            if isinstance(operation, store.Transact) and lease.key in versions:
                return _win(lease, operation, versions[lease.key], now)
            return lease
        case store.Conflicted(rows) | store.Rows(rows):
            return _see(lease, store.Rows(rows).find(lease.key), now)
        case store.Unknown():
            return _doubt(lease, now)
        case store.Refused():
            return _move(lease, "fail" if lease.state in HOLDING else "refuse")
        case store.ObjectFetched() | store.ObjectStored():
            return lease
        case _ as never:
            typing.assert_never(never)


def resign(lease: Lease, now: float) -> Step:
    """Gives the lease up for good; the row is cleared where that can be done."""
    holding = holds(lease, now)
    lease = dataclasses.replace(lease, resigned=True)
    if not holding:
        return lease, None
    lease = _move(lease, "lapse")
    if lease.pending is not None:
        return lease, None
    return _write(lease, "", lease.fence, now)


def clear_dead_holder(lease: Lease, holder: str) -> Lease:
    """Takes note that a holder's process has ended; its lease needs no waiting."""
    if lease.row_holder != holder:
        return lease
    return dataclasses.replace(lease, row_holder="", next_at=0.0)


def record_fence(lease: Lease, fence: int) -> Lease:
    """Takes note of a fencing number seen elsewhere; a higher one ends the lease."""
    if lease.state in HOLDING and fence > lease.fence:
        lease = _move(lease, "lapse")
    return dataclasses.replace(lease, floor=max(lease.floor, fence))


def _may_take(lease: Lease, now: float) -> bool:
    """Tells whether no one else can hold the lease any more."""
    if lease.row_holder in ("", lease.holder):
        return True
    assert lease.seen_at is not None
    return now >= lease.seen_at + lease.settings.ttl_s


def _move(lease: Lease, event: str) -> Lease:
    match interpreter.advance(CHART, lease.state, event):
        case interpreter.Advanced(state):
            return dataclasses.replace(lease, state=state)
        case interpreter.Ignored():
            return lease
        case _ as never:
            typing.assert_never(never)


def _request(lease: Lease, fence: int, now: float) -> Step:
    return _write(_move(lease, "request"), lease.holder, fence, now)


def _write(lease: Lease, holder: str, fence: int, now: float) -> Step:
    operation = store.Transact(
        checks=(store.Check(lease.key, lease.version),),
        writes=(store.Write(lease.key, {"holder": holder, "fence": fence}),),
    )
    sent = dataclasses.replace(
        lease, pending=operation, sent_at=now, count=lease.count + 1
    )
    return sent, operation


def _read(lease: Lease, now: float) -> Step:
    operation = store.Read((lease.key,))
    return dataclasses.replace(lease, pending=operation), operation


def _schedule(lease: Lease, now: float) -> Lease:
    """Sets the time of the next operation, spread by the seed."""
    spread = draws.draw(f"{lease.seed}/{lease.count}")
    period = lease.settings.period_s * (1.0 - lease.settings.jitter * spread)
    return dataclasses.replace(lease, next_at=now + period, count=lease.count + 1)


def _win(lease: Lease, operation: store.Transact, version: int, now: float) -> Lease:
    value = typing.cast(dict[str, typing.Any], operation.writes[0].value)
    row = store.Row(lease.key, version, value)
    return _see(dataclasses.replace(lease, doubtful_at=None), row, now)


def _doubt(lease: Lease, now: float) -> Lease:
    since = lease.sent_at if lease.doubtful_at is None else lease.doubtful_at
    lease = dataclasses.replace(lease, doubtful_at=since, next_at=now)
    return _move(lease, "lose_reply")


def _see(lease: Lease, row: store.Row | None, now: float) -> Lease:
    """Takes note of the row as it is; settles a write whose end was unknown."""
    version = 0 if row is None else row.version
    written = version != lease.version
    since = lease.sent_at if lease.doubtful_at is None else lease.doubtful_at
    if row is not None:
        value = typing.cast(dict[str, typing.Any], row.value)
        lease = dataclasses.replace(
            lease, row_fence=value["fence"], row_holder=value["holder"]
        )
    if written or lease.seen_at is None:
        lease = dataclasses.replace(
            lease, version=version, seen_at=now, doubtful_at=None
        )
    if row is None or lease.row_holder != lease.holder:
        return _move(lease, "refuse")
    if not written:
        return _move(lease, "fail" if lease.state in HOLDING else "refuse")
    return _hold(lease, since, now)


def _hold(lease: Lease, since: float, now: float) -> Lease:
    """Holds the lease from when the write was sent, if there is time left."""
    until = since + lease.settings.ttl_s - lease.settings.margin_s
    if lease.resigned or now >= until:
        return _move(lease, "lapse")
    won = dataclasses.replace(lease, fence=lease.row_fence, held_until=until)
    return _move(won, "win")
