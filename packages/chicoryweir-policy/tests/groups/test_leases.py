"""Leases have one holder at a time despite pauses, outages and lost replies."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy import store
from chicoryweir_policy.groups import leases

SETTINGS = leases.LeaseSettings(ttl_s=5.0, margin_s=1.0, period_s=1.5)
TICK_S = 0.1


class Table:
    """One row; `late` holds writes that take effect after their reply was lost."""

    def __init__(self) -> None:
        self.row: store.Row | None = None
        self.version = 0
        self.late: list[store.Transact] = []
        self.fences: list[int] = []

    def apply(self, operation: store.Operation) -> store.Result:
        found = (self.row,) if self.row else ()
        if isinstance(operation, store.Read):
            return store.Rows(found)
        assert isinstance(operation, store.Transact)
        if operation.checks[0].version != (self.row.version if self.row else 0):
            return store.Conflicted(found)
        self.version += 1
        write = operation.writes[0]
        self.row = store.Row(write.key, self.version, write.value)
        self.fences.append(write.value["fence"])  # type: ignore[index,call-overload]
        return store.Committed({write.key: self.version})

    def reply(self, operation: store.Operation, outcome: float) -> store.Result:
        if outcome < 0.75:
            return self.apply(operation)
        if outcome < 0.85 or isinstance(operation, store.Read):
            return store.Refused("down")
        if outcome < 0.93:
            self.apply(operation)
        else:
            self.late.append(operation)  # type: ignore[arg-type]
        return store.Unknown("lost")


def create_contender(name: str, seed: int = 1) -> leases.Lease:
    return leases.create_lease("desk", name, SETTINGS, seed)


def acquire(table: Table, lease: leases.Lease, now: float) -> leases.Lease:
    for _ in range(2):
        lease, operation = leases.tick(dataclasses.replace(lease, next_at=now), now)
        assert operation is not None
        lease = leases.apply_result(lease, table.apply(operation), now)
    return lease


@hypothesis.settings(max_examples=150)
@hypothesis.given(
    strategies.integers(0, 2**32), strategies.sampled_from((0.0, 0.3, 1.0))
)
def test_one_holder_at_a_time_and_fencing_tokens_never_decrease(
    seed: int, fault_rate: float
) -> None:
    rng, table = random.Random(seed), Table()
    contenders = [create_contender(f"entry-{n}", n) for n in range(3)]
    replies: list[tuple[float, int, store.Result]] = []
    paused = [0.0] * 3
    seen: set[tuple[int, str]] = set()
    for tick in range(400):
        now = tick * TICK_S
        if table.late and rng.random() < 0.05:
            table.apply(table.late.pop(rng.randrange(len(table.late))))
        for index, lease in enumerate(contenders):
            if now < paused[index]:
                continue
            if rng.random() < 0.01 * fault_rate:
                paused[index] = now + rng.uniform(0.5, 12.0)
            lease, operation = leases.tick(lease, now)
            contenders[index] = lease
            if operation is not None:
                outcome = rng.random() if rng.random() < fault_rate else 0.0
                delay = rng.uniform(0.0, 2.0) * fault_rate
                replies.append((now + delay, index, table.reply(operation, outcome)))
        for reply in [r for r in replies if r[0] <= now and paused[r[1]] <= now]:
            replies.remove(reply)
            contenders[reply[1]] = leases.apply_result(
                contenders[reply[1]], reply[2], now
            )
        holders = [lease for lease in contenders if leases.holds(lease, now)]
        assert len(holders) <= 1
        seen.update((lease.fence, lease.holder) for lease in holders)
    assert table.fences == sorted(table.fences)
    assert len({fence for fence, _ in seen}) == len(seen)
    assert fault_rate > 0.0 or len(seen) == 1


def test_paused_holder_stops_at_first_tick_after_resuming() -> None:
    lease = acquire(Table(), create_contender("entry-1"), 0.0)
    assert leases.holds(lease, 3.9)
    assert not leases.holds(lease, 4.0)
    lease, _ = leases.tick(lease, 60.0)
    assert lease.state == "acquiring"
    assert not leases.holds(lease, 60.0)


def test_lease_duration_counts_from_before_the_write_was_sent() -> None:
    table, lease = Table(), create_contender("entry-1")
    lease, read = leases.tick(lease, 0.0)
    assert read is not None
    lease = leases.apply_result(lease, table.apply(read), 0.0)
    lease, write = leases.tick(dataclasses.replace(lease, next_at=0.0), 1.0)
    assert write is not None
    lease = leases.apply_result(lease, table.apply(write), 3.0)
    assert lease.held_until == 1.0 + SETTINGS.ttl_s - SETTINGS.margin_s


def test_lost_reply_is_resolved_by_reading_the_row() -> None:
    table, lease = Table(), create_contender("entry-1")
    lease = dataclasses.replace(lease, seen_at=0.0)
    lease, write = leases.tick(lease, 0.0)
    assert write is not None
    table.apply(write)
    lease = leases.apply_result(lease, store.Unknown("lost"), 0.5)
    assert not leases.holds(lease, 0.5)
    lease, read = leases.tick(lease, 0.5)
    assert isinstance(read, store.Read)
    lease = leases.apply_result(lease, table.apply(read), 0.6)
    assert leases.holds(lease, 0.6)
    assert lease.held_until == SETTINGS.ttl_s - SETTINGS.margin_s


def test_contender_acquires_expired_lease_with_higher_fencing_token() -> None:
    table = Table()
    first = acquire(table, create_contender("entry-1"), 0.0)
    second = acquire(table, create_contender("entry-2"), 1.0)
    assert not leases.holds(second, 1.0)
    second, operation = leases.tick(dataclasses.replace(second, next_at=0.0), 6.1)
    assert isinstance(operation, store.Transact)
    second = leases.apply_result(second, table.apply(operation), 6.1)
    assert leases.holds(second, 6.1)
    assert (first.fence, second.fence) == (1, 2)


def test_released_lease_can_be_acquired_at_once() -> None:
    table = Table()
    lease, operation = leases.resign(
        acquire(table, create_contender("entry-1"), 0.0), 1.0
    )
    assert operation is not None
    table.apply(operation)
    assert not leases.holds(lease, 1.0)
    second = acquire(table, create_contender("entry-2"), 1.1)
    assert (leases.holds(second, 1.1), second.fence) == (True, 2)


def test_higher_fencing_token_reported_by_others_ends_the_lease() -> None:
    lease = acquire(Table(), create_contender("entry-1"), 0.0)
    lease = leases.record_fence(lease, 8)
    assert not leases.holds(lease, 0.1)
    lease, operation = leases.tick(dataclasses.replace(lease, next_at=0.0), 0.1)
    assert isinstance(operation, store.Transact)
    assert operation.writes[0].value == {"holder": "entry-1", "fence": 9}


@pytest.mark.parametrize("seed", range(5))
def test_intervals_are_jittered_and_never_exceed_the_period(seed: int) -> None:
    lease = acquire(Table(), create_contender("entry-1", seed), 0.0)
    shortest = SETTINGS.period_s * (1.0 - SETTINGS.jitter)
    assert shortest <= lease.next_at <= SETTINGS.period_s
