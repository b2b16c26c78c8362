"""Shares of a workspace's limits that entries own and lend to one another.

Each entry owns 1/N of every limit, where N is the number of entries listed by the
platform, and lends its unused share on leases. The lender does not use a lent share
until the lease expires on its own clock; the borrower counts the lease from the time of
its ask, on its own clock. The borrowed share therefore always expires first: delayed,
lost, duplicated or reordered messages can leave a share unused but never used twice.
"""

from __future__ import annotations

import collections.abc
import dataclasses

LEASE_S = 3.0
# Fraction of its own share that an idle entry never lends, so that its first requests
# are not all rejected until a lease expires.
MIN_KEPT_SHARE = 0.1
MIN_LOAN = 1e-4


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Share of one workspace's limits, either asked for or lent.

    Attributes:
        workspace: Workspace of the limits.
        amount: Share asked of each peer, or share lent; 0 to 1.
    """

    workspace: str
    amount: float


@dataclasses.dataclass(frozen=True, slots=True)
class Asks:
    """Asks that one entry sends to each of its peers.

    Attributes:
        borrower: Entry that sends the asks.
        asked_at: Monotonic time of the borrower, echoed in the loans.
        asks: One ask per workspace.
    """

    borrower: str
    asked_at: float
    asks: tuple[Ask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Loans:
    """Loans of one entry to another, in answer to its asks.

    Attributes:
        lender: Entry that lends.
        asked_at: `asked_at` of the asks that this answers.
        loans: Share lent for each workspace; workspaces with no loan are left out.
    """

    lender: str
    asked_at: float
    loans: tuple[Ask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    amount: float
    expires_at: float


class ShareTracker:
    """Tracks the shares that one entry owns, has lent and has borrowed."""

    def __init__(self, instance: str, entries: int) -> None:
        self._instance = instance
        self._own_share = 1.0 / entries
        self._lent: dict[str, dict[str, list[_Lease]]] = {}
        self._asked_shares: dict[str, dict[str, _Lease]] = {}
        self._borrowed: dict[str, dict[str, _Lease]] = {}
        self._answered_asks_at: dict[str, float] = {}

    @property
    def own_share(self) -> float:
        """Share of every limit that this entry owns."""
        return self._own_share

    def set_entries(self, entries: int) -> None:
        """Sets the number of entries listed by the platform.

        Unreachable peers are counted too, since they may still be serving callers.
        """
        self._own_share = 1.0 / max(entries, 1)

    def get_share(self, workspace: str, now: float) -> float:
        """Returns the share of a workspace's limits usable by this entry."""
        lent = self._sum_lent(workspace, now)
        return max(0.0, self._own_share - lent) + self.get_borrowed(workspace, now)

    def get_borrowed(self, workspace: str, now: float) -> float:
        """Returns the sum of the unexpired borrowed shares of a workspace."""
        leases = self._borrowed.get(workspace, {})
        return sum(lease.amount for lease in leases.values() if now < lease.expires_at)

    def lend(
        self,
        asks: Asks,
        get_wanted_share: collections.abc.Callable[[str], float],
        now: float,
    ) -> Loans:
        """Lends the share that this entry does not need itself.

        Args:
            asks: Asks of one peer.
            get_wanted_share: Returns the share of a workspace's limits wanted here.
            now: Present time, monotonic seconds.
        """
        loans = []
        for ask in asks.asks:
            asked = self._asked_shares.setdefault(ask.workspace, {})
            asked[asks.borrower] = _Lease(ask.amount, now + LEASE_S)
            amount = self._decide_loan(ask, asks.borrower, get_wanted_share, now)
            if amount >= MIN_LOAN:
                leases = self._lent.setdefault(ask.workspace, {})
                leases.setdefault(asks.borrower, []).append(
                    _Lease(amount, now + LEASE_S)
                )
                loans.append(Ask(ask.workspace, amount))
        return Loans(self._instance, asks.asked_at, tuple(loans))

    def borrow(self, loans: Loans, now: float) -> None:
        """Replaces the loans of one peer, unless a newer answer was received."""
        if loans.asked_at <= self._answered_asks_at.get(loans.lender, float("-inf")):
            return
        self._answered_asks_at[loans.lender] = loans.asked_at
        expires_at = loans.asked_at + LEASE_S
        for leases in self._borrowed.values():
            leases.pop(loans.lender, None)
        if now >= expires_at:
            return
        for loan in loans.loans:
            leases = self._borrowed.setdefault(loan.workspace, {})
            leases[loans.lender] = _Lease(loan.amount, expires_at)

    def remove_expired(self, now: float) -> None:
        """Removes expired leases."""
        self._lent = {
            workspace: kept
            for workspace, peers in self._lent.items()
            if (kept := _remove_expired_loans(peers, now))
        }
        self._asked_shares = _remove_expired_leases(self._asked_shares, now)
        self._borrowed = _remove_expired_leases(self._borrowed, now)

    def _decide_loan(
        self,
        ask: Ask,
        borrower: str,
        get_wanted_share: collections.abc.Callable[[str], float],
        now: float,
    ) -> float:
        reserved = max(
            get_wanted_share(ask.workspace), MIN_KEPT_SHARE * self._own_share
        )
        spare = self._own_share - reserved
        lent_to_others = self._sum_lent(ask.workspace, now, excluded_borrower=borrower)
        total_asked = sum(
            lease.amount
            for lease in self._asked_shares[ask.workspace].values()
            if now < lease.expires_at
        )
        fair_amount = (
            spare * ask.amount / total_asked if total_asked > spare else ask.amount
        )
        return min(fair_amount, spare - lent_to_others)

    def _sum_lent(
        self, workspace: str, now: float, excluded_borrower: str = ""
    ) -> float:
        return sum(
            max(
                (lease.amount for lease in leases if now < lease.expires_at),
                default=0.0,
            )
            for borrower, leases in self._lent.get(workspace, {}).items()
            if borrower != excluded_borrower
        )


def _remove_expired_loans(
    peers: dict[str, list[_Lease]], now: float
) -> dict[str, list[_Lease]]:
    kept = {
        peer: [lease for lease in leases if now < lease.expires_at]
        for peer, leases in peers.items()
    }
    return {peer: leases for peer, leases in kept.items() if leases}


def _remove_expired_leases(
    leases_by_workspace: dict[str, dict[str, _Lease]], now: float
) -> dict[str, dict[str, _Lease]]:
    kept = {
        workspace: {p: lease for p, lease in peers.items() if now < lease.expires_at}
        for workspace, peers in leases_by_workspace.items()
    }
    return {workspace: peers for workspace, peers in kept.items() if peers}
