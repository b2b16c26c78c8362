"""Limits of a workspace that hold over all entries together.

An entry decides alone, from a token bucket and a count of requests in progress, both
scaled by the share of the workspace's limits that it holds. Over any time T, all
entries together admit at most `burst + rate * T` tokens, and one request more for each
entry, times the sum of 1/N over the entries where they disagree on their number N.
"""

from __future__ import annotations

import dataclasses
import enum

from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import shares

EXCHANGE_PERIOD_S = 1.0
MAX_PERIOD_S = 60.0
REMEMBER_LOANS_S = 600.0
HEADROOM = 1.2
DEMAND_DECAY = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one workspace, fleet-wide; None for no limit.

    Attributes:
        rate_tokens_per_s: Tokens a second.
        burst_tokens: Tokens that may be used at once after a pause.
        max_inflight: Requests in progress at once.
    """

    rate_tokens_per_s: float | None
    burst_tokens: float
    max_inflight: int | None


class Reason(enum.Enum):
    """Which limit a request is over."""

    RATE = "rate"
    INFLIGHT = "inflight"


@dataclasses.dataclass(frozen=True, slots=True)
class Allowed:
    """The request is within the limits and counts as in progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverLimit:
    """The request is over a limit and was not run.

    Attributes:
        reason: Which limit.
        retry_after_ms: Time after which coming back helps.
    """

    reason: Reason
    retry_after_ms: int


Decision = Allowed | OverLimit


@dataclasses.dataclass(slots=True, eq=False)
class _Usage:
    """Use of one workspace's limits at this entry.

    Attributes:
        limits: Limits last in force.
        level_tokens: Tokens that may be used now; below 0 after a large request.
        share: Share of the limits when the level was last brought up to date.
        updated_at: Time of that.
        inflight: Requests in progress.
        peak_inflight: Most requests wanted in progress in this period.
        asked_tokens: Tokens asked for in this period, admitted or not.
        asked_share: Share asked of each peer.
        wanted: Share of the limits wanted here.
    """

    limits: Limits
    level_tokens: float
    share: float
    updated_at: float
    inflight: int = 0
    peak_inflight: int = 0
    asked_tokens: float = 0.0
    asked_share: float = 0.0
    wanted: float = 0.0


class WorkspaceLimiter:
    """Decides at one entry whether requests are within their workspace's limits."""

    def __init__(self, instance: str, entries: int) -> None:
        self._instance = instance
        self._ledger = shares.ShareLedger(instance, entries)
        self._usages: dict[str, _Usage] = {}
        self._lent_idle_at: dict[str, float] = {}
        self._exchanged_at = float("-inf")

    def set_entries(self, entries: int, now: float) -> None:
        """Sets the number of entries that the platform lists."""
        self._refill_all(now)
        self._ledger.set_entries(entries)

    def get_share(self, workspace: str, now: float) -> float:
        """Returns the share of a workspace's limits that this entry may use."""
        return self._ledger.get_share(workspace, now)

    def decide(
        self,
        request_id: str,
        workspace: str,
        limits: Limits,
        cost_tokens: float,
        now: float,
    ) -> Decision:
        """Decides on a request; an allowed one is to be ended by `note_ended`."""
        if limits.rate_tokens_per_s is None and limits.max_inflight is None:
            return Allowed()
        usage = self._refresh(workspace, limits, now)
        usage.asked_tokens += cost_tokens
        usage.peak_inflight = max(usage.peak_inflight, usage.inflight + 1)
        if not _is_inflight_free(usage):
            usage.peak_inflight += 1
            return self._reject(request_id, Reason.INFLIGHT, EXCHANGE_PERIOD_S)
        wait_s = _compute_wait(usage, cost_tokens)
        if wait_s > 0.0:
            return self._reject(request_id, Reason.RATE, wait_s)
        if limits.rate_tokens_per_s is not None:
            usage.level_tokens -= cost_tokens
        usage.inflight += 1
        return Allowed()

    def note_ended(self, workspace: str, correction_tokens: float, now: float) -> None:
        """Records the end of an allowed request.

        Args:
            workspace: Its workspace.
            correction_tokens: Tokens used beyond the estimate; negative where fewer.
            now: Present time, monotonic seconds.
        """
        usage = self._usages.get(workspace)
        if usage is None:
            return
        self._refill(workspace, usage, now)
        usage.inflight = max(0, usage.inflight - 1)
        if usage.limits.rate_tokens_per_s is not None:
            capacity = usage.limits.burst_tokens * usage.share
            raised = usage.level_tokens - correction_tokens
            usage.level_tokens = min(raised, max(capacity, usage.level_tokens))

    def tick(self, now: float) -> shares.Asks | None:
        """Returns what to ask of every peer entry, when it is time to ask."""
        if now - self._exchanged_at < EXCHANGE_PERIOD_S:
            return None
        period_s = min(now - self._exchanged_at, MAX_PERIOD_S)
        self._exchanged_at = now
        self._refill_all(now)
        self._ledger.forget_ended(now)
        self._lent_idle_at = {
            workspace: lent_at
            for workspace, lent_at in self._lent_idle_at.items()
            if now - lent_at < REMEMBER_LOANS_S
        }
        asks = []
        for workspace, usage in list(self._usages.items()):
            amount = self._update_demand(workspace, usage, period_s, now)
            if amount >= shares.MIN_LOAN:
                asks.append(shares.Ask(workspace, amount))
            elif self._is_idle(usage):
                del self._usages[workspace]
        return shares.Asks(self._instance, now, tuple(asks))

    def lend(self, asks: shares.Asks, now: float) -> shares.Loans:
        """Answers the asks of a peer entry."""
        self._refill_all(now)
        loans = self._ledger.lend(asks, self._get_wanted, now)
        for loan in loans.loans:
            if loan.workspace not in self._usages:
                self._lent_idle_at[loan.workspace] = now
        return loans

    def borrow(self, loans: shares.Loans, now: float) -> None:
        """Takes what a peer entry lends."""
        self._refill_all(now)
        self._ledger.borrow(loans, now)

    def _get_wanted(self, workspace: str) -> float:
        usage = self._usages.get(workspace)
        return usage.wanted if usage is not None else 0.0

    def _refresh(self, workspace: str, limits: Limits, now: float) -> _Usage:
        usage = self._usages.get(workspace)
        if usage is None:
            share = self._ledger.get_share(workspace, now)
            level_tokens = self._compute_first_level(workspace, limits, now)
            usage = _Usage(limits, level_tokens, share, now)
            self._usages[workspace] = usage
            return usage
        self._refill(workspace, usage, now)
        usage.limits = limits
        return usage

    def _compute_first_level(self, workspace: str, limits: Limits, now: float) -> float:
        """Returns the level of a workspace not seen lately.

        It is full, unless this entry lent its share meanwhile: the borrower may have
        used the burst that belongs to it.
        """
        full = limits.burst_tokens * self._ledger.own
        lent_at = self._lent_idle_at.pop(workspace, None)
        if lent_at is None:
            return full
        rate = (limits.rate_tokens_per_s or 0.0) * self._ledger.own * shares.KEPT_SHARE
        return min(full, full * shares.KEPT_SHARE + rate * (now - lent_at))

    def _refill_all(self, now: float) -> None:
        for workspace, usage in self._usages.items():
            self._refill(workspace, usage, now)

    def _refill(self, workspace: str, usage: _Usage, now: float) -> None:
        share = self._ledger.get_share(workspace, now)
        rate = (usage.limits.rate_tokens_per_s or 0.0) * min(share, usage.share)
        capacity = usage.limits.burst_tokens * share
        filled = usage.level_tokens + rate * (now - usage.updated_at)
        usage.level_tokens = min(filled, capacity)
        usage.share = share
        usage.updated_at = now

    def _update_demand(
        self, workspace: str, usage: _Usage, period_s: float, now: float
    ) -> float:
        wanted = 0.0
        if usage.limits.rate_tokens_per_s:
            rate = usage.asked_tokens / period_s
            wanted = HEADROOM * rate / usage.limits.rate_tokens_per_s
        if usage.limits.max_inflight:
            wanted = max(wanted, usage.peak_inflight / usage.limits.max_inflight)
        usage.wanted = min(1.0, max(wanted, DEMAND_DECAY * usage.wanted))
        usage.asked_tokens = 0.0
        usage.peak_inflight = usage.inflight
        missing = usage.wanted - self._ledger.own
        if missing <= 0.0:
            usage.asked_share = 0.0
            return 0.0
        borrowed = self._ledger.get_borrowed(workspace, now)
        if borrowed > 0.0 and usage.asked_share > 0.0:
            usage.asked_share = min(1.0, usage.asked_share * missing / borrowed)
        else:
            usage.asked_share = missing
        return usage.asked_share

    def _is_idle(self, usage: _Usage) -> bool:
        full = usage.level_tokens >= usage.limits.burst_tokens * usage.share
        return full and usage.inflight == 0 and usage.wanted < shares.MIN_LOAN

    def _reject(self, request_id: str, reason: Reason, wait_s: float) -> OverLimit:
        return OverLimit(reason, delay.compute_retry_after_ms(request_id, wait_s))


def create_limiter(instance: str, entries: int) -> WorkspaceLimiter:
    """Creates the limiter of an entry.

    Args:
        instance: Instance of the entry.
        entries: Number of entries that the platform lists, this one included.
    """
    return WorkspaceLimiter(instance, max(entries, 1))


def _is_inflight_free(usage: _Usage) -> bool:
    if usage.limits.max_inflight is None:
        return True
    return usage.inflight + 1 <= usage.limits.max_inflight * usage.share + 1e-9


def _compute_wait(usage: _Usage, cost_tokens: float) -> float:
    if usage.limits.rate_tokens_per_s is None:
        return 0.0
    needed = min(cost_tokens, usage.limits.burst_tokens * usage.share)
    if usage.share > 0.0 and usage.level_tokens >= needed:
        return 0.0
    rate = usage.limits.rate_tokens_per_s * usage.share
    if rate <= 0.0:
        return shares.LEASE_S
    return max((needed - usage.level_tokens) / rate, 1e-3)
