"""Leases have one holder at a time although the store is restored from copies."""

import random

import hypothesis
from hypothesis import strategies

from chicoryweir_policy import store
from chicoryweir_policy.groups import leases

SETTINGS = leases.LeaseSettings(ttl_s=3.0, margin_s=0.6, period_s=1.0, jitter=0.2)
GROUP = "desk"
TICK_S = 0.1


class RestorableTable:
    """Rows whose store is restored from copies; `late` are writes still to perform."""

    def __init__(self) -> None:
        self.rows: dict[str, store.Row] = {}
        self.version = 0
        self.era = 1
        self.late: list[store.Transact] = []
        self.copies = [({}, 0)]

    def copy(self) -> None:
        self.copies.append((dict(self.rows), self.version))

    def restore(self, rng: random.Random) -> None:
        kept = rng.randrange(max(0, len(self.copies) - 40), len(self.copies))
        rows, self.version = self.copies[kept]
        self.rows, self.copies = dict(rows), self.copies[: kept + 1]
        self.era += 1

    def apply(self, operation: store.Operation) -> store.Result:
        if isinstance(operation, store.Read):
            found = [self.rows[key] for key in operation.keys if key in self.rows]
            return store.Rows(tuple(found), self.era)
        assert isinstance(operation, store.Transact)
        (check,), (write,) = operation.checks, operation.writes
        row = self.rows.get(check.key)
        if check.version != (row.version if row else 0):
            return store.Conflicted((row,) if row else (), self.era)
        self.version += 1
        self.rows[write.key] = store.Row(write.key, self.version, write.value)
        return store.Committed({write.key: self.version}, self.era)

    def reply(self, operation: store.Operation, outcome: float) -> store.Result:
        if outcome < 0.75:
            return self.apply(operation)
        if outcome < 0.85 or isinstance(operation, store.Read):
            return store.Refused("down")
        if outcome < 0.93:
            self.apply(operation)
        else:
            assert isinstance(operation, store.Transact)
            self.late.append(operation)
        return store.Unknown("lost")


class Contender:
    """A contender with at most one operation in progress."""

    def __init__(self, number: int) -> None:
        created = leases.create_lease(GROUP, f"entry-{number}", SETTINGS, number)
        self.era = 1
        self.lease = leases.enter_era(created, GROUP, 1, False, 0.0)
        self.paused_until = 0.0
        self.reply: tuple[float, store.Result] | None = None

    def observe(self, era: int, now: float) -> None:
        if era <= self.era:
            return
        is_acting = leases.holds(self.lease, now)
        self.era = era
        self.lease = leases.enter_era(self.lease, GROUP, era, is_acting, now)

    def receive(self, result: store.Result, now: float) -> None:
        era = getattr(result, "era", None)
        if era is not None and era != self.era:
            self.observe(era, now)
            result = store.Refused("of another era")
        if self.lease.pending is not None:
            self.lease = leases.apply_result(self.lease, result, now)

    def step(
        self, rng: random.Random, table: RestorableTable, fault_rate: float, now: float
    ) -> None:
        if rng.random() < 0.01 * fault_rate:
            self.paused_until = now + rng.uniform(0.5, 12.0)
        if rng.random() < 0.1:
            self.observe(table.era, now)
        if self.reply is not None:
            if self.reply[0] <= now:
                self.receive(self.reply[1], now)
                self.reply = None
            return
        self.lease, operation = leases.tick(self.lease, now)
        if operation is not None:
            outcome = rng.random() if rng.random() < fault_rate else 0.0
            delay_s = rng.uniform(0.0, 2.0) * fault_rate
            self.reply = now + delay_s, table.reply(operation, outcome)


# Guards against two holders, and against two that use one token, after a restore.
@hypothesis.settings(max_examples=150)
@hypothesis.given(
    strategies.integers(0, 2**32), strategies.sampled_from((0.0, 0.3, 1.0))
)
def test_one_holder_at_a_time_over_restores(seed: int, fault_rate: float) -> None:
    rng, table = random.Random(seed), RestorableTable()
    contenders = [Contender(number) for number in range(3)]
    used: dict[int, str] = {}
    highest = 0
    for tick in range(600):
        now = tick * TICK_S
        table.copy()
        if rng.random() < 0.01:
            table.restore(rng)
        if table.late and rng.random() < 0.05:
            table.apply(table.late.pop(rng.randrange(len(table.late))))
        for contender in contenders:
            if now >= contender.paused_until:
                contender.step(rng, table, fault_rate, now)
        holders = [c.lease for c in contenders if leases.holds(c.lease, now)]
        assert len(holders) <= 1
        for lease in holders:
            assert used.setdefault(lease.fence, lease.holder) == lease.holder
            assert lease.fence >= highest
            highest = lease.fence
    assert used


def test_absent_row_of_a_new_era_is_taken_after_the_duration_of_a_lease() -> None:
    contender, table = Contender(1), RestorableTable()
    acquired_at = None
    for tick in range(60):
        now = tick * TICK_S
        contender.lease, operation = leases.tick(contender.lease, now)
        if operation is not None:
            contender.receive(table.apply(operation), now)
        if acquired_at is None and leases.holds(contender.lease, now):
            acquired_at = now
    assert acquired_at is not None
    assert SETTINGS.ttl_s <= acquired_at <= SETTINGS.ttl_s + SETTINGS.period_s + TICK_S
