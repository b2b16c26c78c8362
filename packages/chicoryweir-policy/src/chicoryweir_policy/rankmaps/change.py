"""Changes the expert map of a group so that no step ever runs under two maps.

One rank is told to hold the group before a step that is well ahead, all ranks are armed
for that step, and the hold ends once every rank has reported that it is armed. So the
group never waits when all goes well, and waits rather than diverges when it doesn't.

An order without an answer may be carried out seconds later. It is given again under a
higher token, after which ranks refuse the lost one. When a change is taken back, the
holding rank gets a higher token before any rank is disarmed, so that no earlier word to
go on can pass.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from chicoryweir_policy.charts import interpreter
from chicoryweir_policy.rankmaps import orders

CHART = interpreter.load_chart("rank_map_change")
# Rank that holds the group; any would do.
HOLDING_RANK = 0
# The held step is this far ahead, in seconds: an order to the holding rank, one to all
# ranks and a round of fresh reports fit, each within some 10 ms. Where the event loop
# is slow, the group waits for what is missing.
LEAD_S = 0.12
# The same where orders get lost: three rounds, each with the time to notice a loss.
LOSSY_LEAD_S = 0.7
# A report that did not yet show what was wanted is asked for again after this time.
ASK_AGAIN_S = 0.06
# An order is given so often, and once more, before the change is taken back.
MAX_TRIES = 4
# Longest times in a state before the change is taken back, in seconds: the tries above
# with their time-outs fit; from `arming` on the group may be held meanwhile.
PREPARE_LIMIT_S = 4.0
ARM_LIMIT_S = 1.5
CHECK_LIMIT_S = 1.5
# Ranks are armed this much later than their copies should have ended: a factor for what
# slows the link, and the time of an order, in seconds.
COPY_MARGIN = 1.1
COPY_SLACK_S = 0.05

_PATIENT_STATES = frozenset({"releasing", "fencing", "disarming", "withdrawing"})


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePlan:
    """A map that a group shall change to.

    Attributes:
        version: Version of the map; higher than all before.
        experts: The map.
        ranks: Ranks in the group.
        epoch: Epoch of the group.
        copy_s: Time that the slowest rank needs to copy weights, in seconds.
        step_s: Time of a step at present, in seconds.
        step: A step that had begun at `step_observed_at`.
        step_observed_at: Monotonic time.
        orders_lost: Whether orders of late had no answer, so that rounds take longer.
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
    """Gives fencing tokens."""

    def raise_token(self) -> int:
        """Returns a token higher than all before."""


@dataclasses.dataclass(slots=True)
class _Rank:
    """What is known of one rank in the present state of the change.

    Attributes:
        settled: Whether it has done what the state asks.
        waiting: Whether an order or question to it has no end yet.
        tries: Orders given to it in this state.
        ask_at: Time before which it is not asked again.
    """

    settled: bool = False
    waiting: bool = False
    tries: int = 0
    ask_at: float = 0.0


class MapChange:
    """One change of a group's map, or the taking back of one that was left."""

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
        self._lead_s = LEAD_S if not plan.orders_lost else LOSSY_LEAD_S
        self._hold_tries = 0
        self._located = False
        self._ranks = [_Rank() for _ in range(plan.ranks)]
        self.lost_orders = 0
        self.fenced = False
        self.reason = ""

    @property
    def state(self) -> str:
        """State in the chart."""
        return self._state

    @property
    def step(self) -> int:
        """Step at which the map changes."""
        return self._step

    @property
    def is_over(self) -> bool:
        """Whether nothing more is to be done."""
        return self.fenced or self._state in CHART.final

    def poll_commands(self, now: float) -> list[orders.Command]:
        """Returns the orders and questions that are due."""
        if self.is_over:
            return []
        self._check_limits(now)
        if self.is_over:
            return []
        if self._state == "copying":
            return []
        if self._state in ("checking", "verifying"):
            return self._ask(now)
        if self._state == "holding" and not self._located:
            return self._locate(now)
        return self._send(now)

    def handle_result(
        self, rank: int, order: orders.Order, result: orders.Result, now: float
    ) -> None:
        """Takes the end of an order."""
        known = self._ranks[rank]
        known.waiting = False
        if self.is_over:
            return
        if result is orders.Result.FENCED:
            self._note_fenced(order)
            return
        if order.token != self._token or not self._is_asked(order.operation):
            return
        match result:
            case orders.Result.ACCEPTED:
                known.settled = True
            case orders.Result.CONFLICT:
                self._take_conflict(known, now)
            case orders.Result.LOST:
                self.lost_orders += 1
                self._token = self._tokens.raise_token()
                known.ask_at = now
            case orders.Result.REFUSED:
                known.ask_at = now + ASK_AGAIN_S
        self._advance(now)

    def handle_report(
        self, rank: int, report: orders.Report | None, now: float
    ) -> None:
        """Takes a rank's report, or None when it gave none."""
        known = self._ranks[rank]
        known.waiting = False
        known.ask_at = now + ASK_AGAIN_S
        if self.is_over or report is None:
            return
        if report.epoch != self._plan.epoch or not report.is_open:
            self._move("void", "the group has broken", now)
            return
        if self._state == "holding":
            self._located = True
            self._plan = dataclasses.replace(
                self._plan, step=report.step, step_observed_at=now - report.lag_s
            )
            known.ask_at = now
            return
        known.settled = self._shows_wanted(report)
        self._advance(now)

    def _locate(self, now: float) -> list[orders.Command]:
        """Asks where the group is, so that the held step is well ahead."""
        known = self._ranks[HOLDING_RANK]
        if known.waiting or now < known.ask_at:
            return []
        known.waiting = True
        return [orders.RequestReport(HOLDING_RANK)]

    def _shows_wanted(self, report: orders.Report) -> bool:
        match self._state:
            case "checking":
                return report.armed == self._plan.version
            case "verifying":
                return report.armed is None
            case _:
                return False

    def _ask(self, now: float) -> list[orders.Command]:
        due = [
            rank
            for rank, known in enumerate(self._ranks)
            if not known.settled and not known.waiting and now >= known.ask_at
        ]
        for rank in due:
            self._ranks[rank].waiting = True
        return [orders.RequestReport(rank) for rank in due]

    def _send(self, now: float) -> list[orders.Command]:
        sent: list[orders.Command] = []
        for rank in self._list_addressed():
            known = self._ranks[rank]
            if known.settled or known.waiting or now < known.ask_at:
                continue
            known.waiting = True
            known.tries += 1
            sent.append(orders.SendOrder(rank, self._build_order(now)))
        return sent

    def _list_addressed(self) -> range:
        if self._state in ("holding", "releasing", "fencing", "withdrawing"):
            return range(HOLDING_RANK, HOLDING_RANK + 1)
        return range(self._plan.ranks)

    def _build_order(self, now: float) -> orders.Order:
        plan = self._plan
        match self._state:
            case "preparing":
                return self._order(orders.Operation.PREPARE, plan.version, 0)
            case "holding":
                if self._ranks[HOLDING_RANK].tries == 1:
                    self._step = self._choose_step(now)
                return self._order(orders.Operation.HOLD, 0, self._step)
            case "arming":
                return self._order(orders.Operation.ARM, plan.version, self._step)
            case "fencing" | "disarming":
                return self._order(orders.Operation.DISARM, plan.version, 0)
            case _:
                return self._order(orders.Operation.GO, 0, self._step)

    def _order(
        self, operation: orders.Operation, version: int, step: int
    ) -> orders.Order:
        experts = self._plan.experts if operation is orders.Operation.PREPARE else ()
        return orders.Order(
            operation, self._token, self._plan.epoch, version, step, experts
        )

    def _choose_step(self, now: float) -> int:
        ahead_s = now - self._plan.step_observed_at + self._lead_s
        return self._plan.step + math.ceil(ahead_s / self._plan.step_s)

    def _is_asked(self, operation: orders.Operation) -> bool:
        wanted = {
            "preparing": orders.Operation.PREPARE,
            "holding": orders.Operation.HOLD,
            "arming": orders.Operation.ARM,
            "fencing": orders.Operation.DISARM,
            "disarming": orders.Operation.DISARM,
            "releasing": orders.Operation.GO,
            "withdrawing": orders.Operation.GO,
        }
        return wanted.get(self._state) is operation

    def _take_conflict(self, known: _Rank, now: float) -> None:
        if self._state == "holding":
            self._hold_tries += 1
            if self._hold_tries >= MAX_TRIES:
                self._move("fail", "every step chosen had begun", now)
                return
            self._lead_s *= 2.0
            self._located = False
            known.tries = 0
        elif self._state == "arming":
            # The copy is not complete; the step is held, so it can't have begun.
            known.ask_at = now + ASK_AGAIN_S
        elif self._state in _PATIENT_STATES:
            # Nothing is armed or held there any more, which was the aim.
            known.settled = True
        else:
            self._move("fail", f"a rank refused while {self._state}", now)

    def _note_fenced(self, order: orders.Order) -> None:
        if order.token == self._token:
            self.fenced = True
            self.reason = "another entry leads the group"

    def _check_limits(self, now: float) -> None:
        copied_s = self._plan.copy_s * COPY_MARGIN + COPY_SLACK_S
        if self._state == "copying" and now - self._entered_at >= copied_s:
            self._move("copied", "", now)
            return
        limits = {
            "preparing": PREPARE_LIMIT_S,
            "arming": ARM_LIMIT_S,
            "checking": CHECK_LIMIT_S,
            "verifying": CHECK_LIMIT_S,
        }
        limit_s = limits.get(self._state, math.inf)
        if now - self._entered_at > limit_s:
            self._move("fail", f"{self._state} took too long", now)
            return
        tries = max(known.tries for known in self._ranks)
        impatient = self._state not in _PATIENT_STATES
        if impatient and tries > MAX_TRIES and not any(r.waiting for r in self._ranks):
            self._move("fail", f"no answer while {self._state}", now)

    def _advance(self, now: float) -> None:
        if self.is_over:
            return
        if self._state == "copying" or not all(
            self._ranks[rank].settled for rank in self._list_addressed()
        ):
            return
        events = {
            "checking": "confirmed",
            "verifying": "confirmed",
        }
        self._move(events.get(self._state, "accepted"), "", now)

    def _move(self, event: str, reason: str, now: float) -> None:
        match interpreter.advance(CHART, self._state, event):
            case interpreter.Advanced(state):
                self._enter(state, reason, now)
            case interpreter.Ignored():
                pass

    def _enter(self, state: str, reason: str, now: float) -> None:
        self._state = state
        self._entered_at = now
        self.reason = reason or self.reason
        # A raised token makes ranks refuse what was given before.
        if state in ("fencing", "withdrawing"):
            self._token = self._tokens.raise_token()
        for known in self._ranks:
            known.settled, known.tries, known.ask_at = False, 0, 0.0


def create_change(plan: ChangePlan, tokens: TokenSource, now: float) -> MapChange:
    """Creates a change to a new map."""
    return MapChange(plan, tokens, now)


def create_recovery(plan: ChangePlan, tokens: TokenSource, now: float) -> MapChange:
    """Creates what takes back a change that another entry left; `plan.step` is held."""
    return MapChange(plan, tokens, now, "fencing")
