"""Tests of lending limit shares between entries."""

from __future__ import annotations

import pytest

from chicoryweir_policy.admission import limits
from chicoryweir_policy.admission import shares


def ask(lender, borrower, amount, now, wanted=0.0):
    asks = shares.Asks(borrower, now, (shares.Ask("relay", amount),))
    return lender.lend(asks, lambda workspace: wanted, now)


def test_smaller_loan_does_not_release_the_earlier_one_before_it_expires() -> None:
    lender = shares.ShareTracker("e0", 2)
    ask(lender, "e1", 0.3, 0.0)
    ask(lender, "e1", 0.1, 1.0)
    assert lender.get_share("relay", 2.9) == pytest.approx(0.2)
    assert lender.get_share("relay", 3.1) == pytest.approx(0.4)
    assert lender.get_share("relay", 4.1) == pytest.approx(0.5)


def test_spare_share_is_divided_in_proportion_to_the_asks() -> None:
    lender = shares.ShareTracker("e0", 2)
    first = ask(lender, "e1", 0.6, 0.0, wanted=0.3)
    assert first.loans[0].amount == pytest.approx(0.2)
    assert ask(lender, "e2", 0.2, 0.0, wanted=0.3).loans == ()
    ask(lender, "e1", 0.6, 1.0, wanted=0.3)
    second = ask(lender, "e2", 0.2, 3.5, wanted=0.3)
    assert second.loans[0].amount == pytest.approx(0.05)


def test_answer_to_an_older_ask_does_not_replace_a_newer_answer() -> None:
    borrower = shares.ShareTracker("e1", 2)
    newer = shares.Loans("e0", 2.0, (shares.Ask("relay", 0.1),))
    older = shares.Loans("e0", 1.0, (shares.Ask("relay", 0.4),))
    for loans in (newer, older, newer):
        borrower.borrow(loans, 2.5)
    assert borrower.get_borrowed("relay", 2.5) == pytest.approx(0.1)
    assert borrower.get_borrowed("relay", 5.0) == 0.0


def test_entry_that_lent_while_idle_starts_with_a_reduced_burst() -> None:
    limiter = limits.create_limiter("e0", 2)
    limit = limits.Limits(100.0, 1000.0, None)
    asks = shares.Asks("e1", 0.0, (shares.Ask("relay", 0.45),))
    assert limiter.lend(asks, 0.0).loans
    decision = limiter.decide("r", "relay", limit, 400.0, 4.0)
    assert isinstance(decision, limits.OverLimit)
    fresh = limits.create_limiter("e0", 2)
    assert fresh.decide("r", "relay", limit, 400.0, 4.0) == limits.Allowed()
