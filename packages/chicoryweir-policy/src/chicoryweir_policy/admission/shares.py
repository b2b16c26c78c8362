"""Shares of a workspace's limits that entries hold and lend to one another.

Each entry owns 1/N of every limit, N being the number of entries that the platform
lists, and lends what it does not use on leases. The lender does without the lent share
until the lease has ended on its own clock; the borrower counts the lease from the time
at which it asked, on its clock. So a borrowed share always ends first, and messages
that are late, lost, doubled or reordered leave shares unused but never held twice.
"""

from __future__ import annotations

import collections.abc
import dataclasses

LEASE_S = 3.0
# An entry with no demand keeps this part of its own share, so that its first callers
# are not rejected until a lease ends.
MIN_KEPT_SHARE = 0.1
MIN_LOAN = 1e-4


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """An entry asks for more of a workspace's limits.

    Attributes:
        workspace: Workspace whose limits are meant.
        amount: Share it asks of each peer, 0 to 1.
    """

    workspace: str
    amount: float


@dataclasses.dataclass(frozen=True, slots=True)
class Asks:
    """What one entry asks of each of its peers.

    Attributes:
        borrower: The entry that asks.
        asked_at: Monotonic time of the borrower, returned to it with the loans.
        asks: One for each workspace.
    """

    borrower: str
    asked_at: float
    asks: tuple[Ask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Loans:
    """What one entry lends to another.

    Attributes:
        lender: The entry that lends.
        asked_at: Time of the borrower's asks that this answers.
        loans: Share lent, for each workspace asked for.
    """

    lender: str
    asked_at: float
    loans: tuple[Ask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    amount: float
    expires_at: float


class ShareTracker:
    """Shares that one entry holds, has lent and has borrowed."""

    def __init__(self, instance: str, entries: int) -> None:
        self._instance = instance
        self._own_share = 1.0 / entries
        self._lent: dict[str, dict[str, list[_Lease]]] = {}
        self._asked: dict[str, dict[str, _Lease]] = {}
        self._borrowed: dict[str, dict[str, _Lease]] = {}
        self._answered: dict[str, float] = {}

    @property
    def own_share(self) -> float:
        """Share of every limit that this entry owns."""
        return self._own_share

    def set_entries(self, entries: int) -> None:
        """Sets the number of entries that the platform lists.

        A peer that is silent still counts: it may be serving callers.
        """
        self._own_share = 1.0 / max(entries, 1)

    def get_share(self, workspace: str, now: float) -> float:
        """Returns the share of a workspace's limits that this entry may use."""
        lent = self._sum_lent(workspace, now)
        return max(0.0, self._own_share - lent) + self.get_borrowed(workspace, now)

    def get_borrowed(self, workspace: str, now: float) -> float:
        """Returns the share that is borrowed at `now`."""
        leases = self._borrowed.get(workspace, {})
        return sum(lease.amount for lease in leases.values() if now < lease.expires_at)

    def lend(
        self,
        asks: Asks,
        get_wanted_share: collections.abc.Callable[[str], float],
        now: float,
    ) -> Loans:
        """Lends what this entry does not want itself.

        Args:
            asks: Asks of one peer.
            get_wanted_share: Returns the share of a workspace's limits wanted here.
            now: Present time, monotonic seconds.
        """
        loans = []
        for ask in asks.asks:
            asked = self._asked.setdefault(ask.workspace, {})
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
        """Takes the loans of one peer, unless a later answer came before."""
        if loans.asked_at <= self._answered.get(loans.lender, float("-inf")):
            return
        self._answered[loans.lender] = loans.asked_at
        expires_at = loans.asked_at + LEASE_S
        for leases in self._borrowed.values():
            leases.pop(loans.lender, None)
        if now >= expires_at:
            return
        for loan in loans.loans:
            leases = self._borrowed.setdefault(loan.workspace, {})
            leases[loans.lender] = _Lease(loan.amount, expires_at)

    def remove_expired(self, now: float) -> None:
        """Forgets leases that have ended."""
        self._lent = {
            workspace: kept
            for workspace, peers in self._lent.items()
            if (kept := _remove_expired_loans(peers, now))
        }
        self._asked = _remove_expired_leases(self._asked, now)
        self._borrowed = _remove_expired_leases(self._borrowed, now)

    def _decide_loan(
        self,
        ask: Ask,
        borrower: str,
        get_wanted_share: collections.abc.Callable[[str], float],
        now: float,
    ) -> float:
        kept = max(get_wanted_share(ask.workspace), MIN_KEPT_SHARE * self._own_share)
        spare = self._own_share - kept
        others = self._sum_lent(ask.workspace, now, excluded_borrower=borrower)
        total = sum(
            lease.amount
            for lease in self._asked[ask.workspace].values()
            if now < lease.expires_at
        )
        fair = spare * ask.amount / total if total > spare else ask.amount
        return min(fair, spare - others)

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
