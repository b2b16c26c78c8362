"""Simulated lock-step group that follows the platform's documentation of orders."""

import dataclasses

from chicoryweir_policy.rankmaps import orders

STEP_S = 0.05
TICK_S = 0.01


class Holder:
    """Holder of one lease: its fencing tokens, and the holds that it released."""

    holds = True

    def __init__(self, fence):
        self.fence = fence
        self.released = frozenset()
        self._token = fence * 1000

    def raise_token(self):
        self._token += 1
        return self._token

    def stop_acting(self):
        self.holds = False


@dataclasses.dataclass
class Rank:
    """State of one rank."""

    version: int = 0
    versions: set = dataclasses.field(default_factory=lambda: {0})
    prepared: int | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    token: int = 0
    sequence: int = 0


class Group:
    """Ranks that begin each step together.

    Args:
        ranks: Number of ranks.
        idle: Whether the group runs no steps.
        checks_fences: Whether ranks refuse lower tokens.
        counts_orders: Whether ranks count the orders of map changes.
        compares_first: Whether an order whose state already holds is answered so even
            if it names another number of executed orders.
    """

    def __init__(
        self,
        ranks,
        idle=False,
        checks_fences=True,
        counts_orders=True,
        compares_first=False,
    ):
        self.ranks = [Rank() for _ in range(ranks)]
        self.epoch = 1
        self.step = 0
        self.next_at = 0.0
        self.idle = idle
        self.checks_fences = checks_fences
        self.counts_orders = counts_orders
        self.compares_first = compares_first
        self.diverged = False
        self.tells_steps = True
        self.received = []

    def run(self, now):
        """Runs the steps that are due."""
        while not self.idle and self.next_at <= now:
            next_step = self.step + 1
            if any(
                rank.held is not None and rank.held <= next_step for rank in self.ranks
            ):
                self.next_at = now + STEP_S / 5
                return
            self.step = next_step
            for rank in self.ranks:
                if rank.armed is not None and rank.armed[1] <= next_step:
                    rank.version, rank.armed = rank.armed[0], None
            self.diverged |= len({rank.version for rank in self.ranks}) > 1
            self.next_at += STEP_S

    def receive(self, number, order):
        """Executes an order at a rank, or refuses it; returns its result."""
        rank = self.ranks[number]
        self.received.append((number, order))
        if self.checks_fences and order.token < rank.token:
            return orders.Result.FENCED
        rank.token = max(rank.token, order.token)
        if order.epoch != self.epoch:
            return orders.Result.CONFLICT
        if self.compares_first and self._holds_already(rank, order):
            return orders.Result.UNCHANGED
        if order.sequence != rank.sequence:
            return orders.Result.CONFLICT
        if self._holds_already(rank, order):
            return orders.Result.UNCHANGED
        result = self._execute(rank, order)
        if result is orders.Result.ACCEPTED:
            rank.sequence += self.counts_orders
        return result

    def _holds_already(self, rank, order):
        match order.operation:
            case orders.Operation.PREPARE:
                return rank.prepared == order.version
            case orders.Operation.ARM:
                return rank.armed == (order.version, order.step)
            case orders.Operation.DISARM:
                return rank.armed is None and rank.version != order.version
            case orders.Operation.HOLD:
                return rank.held == order.step
            case orders.Operation.GO:
                return rank.held is None

    def _execute(self, rank, order):
        if not self._allows(rank, order):
            return orders.Result.CONFLICT
        match order.operation:
            case orders.Operation.PREPARE:
                rank.versions.add(order.version)
                rank.prepared = order.version
            case orders.Operation.ARM:
                rank.armed = (order.version, order.step)
            case orders.Operation.DISARM:
                rank.armed = None
            case orders.Operation.HOLD:
                rank.held = order.step
            case orders.Operation.GO:
                rank.held = None
        return orders.Result.ACCEPTED

    def _allows(self, rank, order):
        match order.operation:
            case orders.Operation.PREPARE:
                return not rank.armed and order.version > max(rank.versions)
            case orders.Operation.ARM:
                return rank.prepared == order.version and order.step > self.step
            case orders.Operation.DISARM:
                return rank.armed is not None and rank.armed[0] == order.version
            case orders.Operation.HOLD:
                return order.step > self.step and rank.held is None
            case orders.Operation.GO:
                return rank.held == order.step

    def report(self, number, lag_s=0.0):
        """Returns the report of a rank."""
        rank = self.ranks[number]
        return orders.Report(
            epoch=self.epoch,
            is_open=True,
            step=self.step,
            version=rank.version,
            prepared=rank.prepared,
            armed=rank.armed[0] if rank.armed else None,
            armed_step=rank.armed[1] if rank.armed and self.tells_steps else None,
            held=rank.held,
            slowdown=1.0,
            lag_s=lag_s,
            sequence=rank.sequence,
        )

    @property
    def held_at(self):
        """Step at which the group is held by some rank, or None."""
        return next((r.held for r in self.ranks if r.held is not None), None)


class Simulation:
    """Simulates a group and the delivery of orders to it.

    Args:
        delays_s: Delay of each order in turn, in seconds; 0 for further orders. A
            delayed order is reported as lost and executed late. One with a negative
            delay is executed at once as well, so that it arrives twice.
        group: The group.
        silent: Rank, operation and delay of orders that are always delayed.
        lag_s: Age of the reports, in seconds.
    """

    def __init__(self, delays_s, group, silent=None, lag_s=0.0):
        self.group = group
        self.gone = set()
        self._silent = silent
        self._lag_s = lag_s
        self._reports = []
        self.now = 0.0
        self._delays_s = iter(delays_s)
        self._delayed_orders = []

    def run_until(self, when):
        """Runs the group, and executes late orders."""
        while self.now < when:
            self.now += TICK_S
            self.group.run(self.now)
            due = [
                delayed for delayed in self._delayed_orders if delayed[0] <= self.now
            ]
            self._delayed_orders = [
                delayed for delayed in self._delayed_orders if delayed[0] > self.now
            ]
            for _, rank, order in due:
                self.group.receive(rank, order)
            self._keep_reports()

    def _keep_reports(self):
        ranks = range(len(self.group.ranks))
        kept = [self.group.report(rank, self._lag_s) for rank in ranks]
        self._reports.append((self.now, kept))
        while len(self._reports) > 1 and self._reports[1][0] <= self.now - self._lag_s:
            self._reports.pop(0)

    def report(self, rank):
        """Returns the report of a rank that another machine gets now."""
        if not self._lag_s or not self._reports:
            return self.group.report(rank)
        return self._reports[0][1][rank]

    def send(self, rank, order):
        """Delivers an order now, late, or twice; returns its result."""
        delay_s = next(self._delays_s, 0.0)
        if self._silent and self._silent[:2] == (rank, order.operation):
            delay_s = self._silent[2]
        if not delay_s:
            return self.group.receive(rank, order)
        if delay_s < 0.0:
            self.group.receive(rank, order)
        self._delayed_orders.append((self.now + abs(delay_s), rank, order))
        return orders.Result.LOST

    def drive(self, map_change, limit_s, stop_after=None):
        """Runs a change until it is over, the time limit passes or the holder stops.

        Args:
            map_change: The change.
            limit_s: Maximum time, in seconds.
            stop_after: Number of commands after which the holder pauses or dies.

        Returns:
            Whether the change is over.
        """
        ends_at = self.now + limit_s
        done = 0
        while not map_change.is_over and self.now < ends_at:
            if map_change.needs_current_map:
                map_change.set_current_map(((),))
            for command in map_change.poll_commands(self.now):
                if stop_after is not None and done >= stop_after:
                    return False
                done += 1
                self._execute(map_change, command)
            self.run_until(self.now + TICK_S)
        return map_change.is_over

    def _execute(self, map_change, command):
        match command:
            case orders.RequestReport(rank) if rank in self.gone:
                map_change.handle_report(rank, None, self.now)
            case orders.SendOrder(rank, order) if rank in self.gone:
                map_change.handle_result(rank, order, orders.Result.REFUSED, self.now)
            case orders.RequestReport(rank):
                map_change.handle_report(rank, self.report(rank), self.now)
            case orders.SendOrder(rank, order):
                result = self.send(rank, order)
                map_change.handle_result(rank, order, result, self.now)
