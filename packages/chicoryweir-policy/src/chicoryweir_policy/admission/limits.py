"""Rate and concurrency limits of a workspace, enforced across all entries.

Each entry decides locally with a token bucket and a count of requests in progress, both
scaled by the share of the workspace's limits that it holds. Over any period T, all
entries together admit at most `burst + rate * T` tokens plus one request per entry. If
entries disagree on their number N, the bound is multiplied by the sum of 1/N over them.
"""

from __future__ import annotations

import dataclasses
import enum

from chicoryweir_policy.admission import delay
from chicoryweir_policy.admission import shares
from chicoryweir_policy.admission import usage

# Used when the entry's share does not allow a single request, which happens when a
# workspace's limit is smaller than the number of entries.
URGENT_EXCHANGE_PERIOD_S = 0.1
MAX_DEMAND_PERIOD_S = 60.0
LOAN_MEMORY_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Fleet-wide limits of one workspace; None means unlimited.

    Attributes:
        rate_tokens_per_s: Sustained rate, in tokens per second.
        burst_tokens: Capacity of the token bucket.
        max_inflight: Maximum number of requests in progress.
    """

    rate_tokens_per_s: float | None
    burst_tokens: float
    max_inflight: int | None


class Reason(enum.Enum):
    """Limit that a request exceeds."""

    RATE = "rate"
    INFLIGHT = "inflight"


@dataclasses.dataclass(frozen=True, slots=True)
class Allowed:
    """The request is within the limits and is counted as in progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverLimit:
    """The request exceeds a limit and was not run.

    Attributes:
        reason: The limit exceeded.
        retry_after_ms: Delay after which a retry may be admitted.
    """

    reason: Reason
    retry_after_ms: int


Decision = Allowed | OverLimit


class WorkspaceLimiter:
    """Enforces workspace limits at one entry."""

    def __init__(self, instance: str, entries: int) -> None:
        self._instance = instance
        self._shares = shares.ShareTracker(instance, entries)
        self._usages: dict[str, usage.Usage] = {}
        self._lent_while_idle_at: dict[str, float] = {}
        self._exchanged_at = float("-inf")
        self._period_started_at = float("-inf")
        self._needs_share = False

    def set_entries(self, entries: int, now: float) -> None:
        """Sets the number of entries listed by the platform."""
        self._refill_all(now)
        self._shares.set_entries(entries)

    def get_share(self, workspace: str, now: float) -> float:
        """Returns the share of a workspace's limits usable by this entry."""
        return self._shares.get_share(workspace, now)

    def decide(
        self,
        request_id: str,
        workspace: str,
        limits: Limits,
        cost_tokens: float,
        now: float,
    ) -> Decision:
        """Checks a request against the limits; report its end by `record_ended`."""
        if limits.rate_tokens_per_s is None and limits.max_inflight is None:
            return Allowed()
        own_usage = self._refresh(workspace, limits, now)
        own_usage.record_request(cost_tokens)
        if not own_usage.has_free_slot():
            own_usage.peak_inflight += 1
            self._needs_share = self._needs_share or own_usage.inflight == 0
            wait_s = (
                usage.EXCHANGE_PERIOD_S
                if own_usage.inflight
                else 2 * URGENT_EXCHANGE_PERIOD_S
            )
            return _reject(request_id, Reason.INFLIGHT, wait_s)
        rate_wait_s = own_usage.compute_wait(cost_tokens)
        if rate_wait_s is None:
            return _reject(request_id, Reason.RATE, shares.LEASE_S)
        if rate_wait_s > 0.0:
            return _reject(request_id, Reason.RATE, rate_wait_s)
        own_usage.admit(cost_tokens)
        return Allowed()

    def record_ended(
        self, workspace: str, correction_tokens: float, now: float
    ) -> None:
        """Records the end of an allowed request.

        Args:
            workspace: Workspace of the request.
            correction_tokens: Tokens used minus tokens estimated.
            now: Present time, monotonic seconds.
        """
        own_usage = self._usages.get(workspace)
        if own_usage is not None:
            own_usage.refill(self._shares.get_share(workspace, now), now)
            own_usage.release(correction_tokens)

    def tick(self, now: float) -> shares.Asks | None:
        """Returns the asks to send to every peer entry; None when none are due."""
        wait_s = (
            URGENT_EXCHANGE_PERIOD_S if self._needs_share else usage.EXCHANGE_PERIOD_S
        )
        if now - self._exchanged_at < wait_s:
            return None
        self._exchanged_at = now
        self._needs_share = False
        self._refill_all(now)
        self._shares.remove_expired(now)
        if now - self._period_started_at >= usage.EXCHANGE_PERIOD_S:
            self._close_period(now)
        asks = []
        for workspace, own_usage in self._usages.items():
            amount = self._update_ask(workspace, own_usage, now)
            if amount >= shares.MIN_LOAN:
                asks.append(shares.Ask(workspace, amount))
        return shares.Asks(self._instance, now, tuple(asks))

    def lend(self, asks: shares.Asks, now: float) -> shares.Loans:
        """Lends shares in answer to the asks of a peer entry."""
        self._refill_all(now)
        period_s = self._get_period_s(now)

        def get_wanted_share(workspace: str) -> float:
            own_usage = self._usages.get(workspace)
            return (
                own_usage.estimate_wanted_share(period_s)
                if own_usage is not None
                else 0.0
            )

        loans = self._shares.lend(asks, get_wanted_share, now)
        for loan in loans.loans:
            if loan.workspace not in self._usages:
                self._lent_while_idle_at[loan.workspace] = now
        return loans

    def borrow(self, loans: shares.Loans, now: float) -> None:
        """Records the shares lent by a peer entry."""
        self._refill_all(now)
        self._shares.borrow(loans, now)

    def _refresh(self, workspace: str, limits: Limits, now: float) -> usage.Usage:
        share = self._shares.get_share(workspace, now)
        own_usage = self._usages.get(workspace)
        if own_usage is None:
            own_usage = usage.Usage(
                limits.rate_tokens_per_s,
                limits.burst_tokens,
                limits.max_inflight,
                self._compute_initial_level(workspace, limits, now),
                share,
                now,
            )
            self._usages[workspace] = own_usage
            return own_usage
        own_usage.refill(share, now)
        own_usage.rate_tokens_per_s = limits.rate_tokens_per_s
        own_usage.burst_tokens = limits.burst_tokens
        own_usage.max_inflight = limits.max_inflight
        return own_usage

    def _compute_initial_level(
        self, workspace: str, limits: Limits, now: float
    ) -> float:
        """Returns the initial bucket level of a workspace with no recorded usage.

        The bucket is full unless this entry lent its share recently, since the borrower
        may have used the corresponding part of the burst.
        """
        full = limits.burst_tokens * self._shares.own_share
        lent_at = self._lent_while_idle_at.pop(workspace, None)
        if lent_at is None:
            return full
        rate = (
            (limits.rate_tokens_per_s or 0.0)
            * self._shares.own_share
            * shares.MIN_KEPT_SHARE
        )
        return min(full, full * shares.MIN_KEPT_SHARE + rate * (now - lent_at))

    def _refill_all(self, now: float) -> None:
        for workspace, own_usage in self._usages.items():
            own_usage.refill(self._shares.get_share(workspace, now), now)

    def _get_period_s(self, now: float) -> float:
        return min(now - self._period_started_at, MAX_DEMAND_PERIOD_S)

    def _close_period(self, now: float) -> None:
        period_s = self._get_period_s(now)
        self._period_started_at = now
        for own_usage in self._usages.values():
            own_usage.close_period(period_s)
        self._usages = {
            workspace: own_usage
            for workspace, own_usage in self._usages.items()
            if not own_usage.is_idle
        }
        self._lent_while_idle_at = {
            workspace: lent_at
            for workspace, lent_at in self._lent_while_idle_at.items()
            if now - lent_at < LOAN_MEMORY_S
        }

    def _update_ask(self, workspace: str, own_usage: usage.Usage, now: float) -> float:
        wanted = own_usage.estimate_wanted_share(self._get_period_s(now))
        missing = wanted - self._shares.own_share
        if missing <= 0.0:
            own_usage.asked_share = 0.0
            return 0.0
        borrowed = self._shares.get_borrowed(workspace, now)
        if borrowed > 0.0 and own_usage.asked_share > 0.0:
            own_usage.asked_share = min(1.0, own_usage.asked_share * missing / borrowed)
        else:
            own_usage.asked_share = missing
        return own_usage.asked_share


def create_limiter(instance: str, entries: int) -> WorkspaceLimiter:
    """Creates the limiter of an entry.

    Args:
        instance: Instance of the entry.
        entries: Number of entries listed by the platform, including this one.
    """
    return WorkspaceLimiter(instance, max(entries, 1))


def _reject(request_id: str, reason: Reason, wait_s: float) -> OverLimit:
    return OverLimit(reason, delay.compute_retry_after_ms(request_id, wait_s))
