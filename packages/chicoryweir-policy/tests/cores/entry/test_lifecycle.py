"""Tests of the endpoints' lives as an entry follows them."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy.cores.entry import lifecycle

_SERVING = messages.LoadReport(
    1, 0, 0, 0, 0.0, 4, 1.0, (0.0, 0.0, 0.0), False, True, "p1", ()
)


def test_endpoint_serves_is_ejected_and_comes_back() -> None:
    lives = lifecycle.EndpointLives()
    lives.open_link("a")
    seen = [lives.describe("a")]
    lives.consume_report("a", _SERVING, 0.0)
    seen.append(lives.describe("a"))
    lives.eject("a", 5.0)
    lives.consume_report("a", _SERVING, 1.0)
    seen.append(lives.describe("a"))
    lives.consume_report("a", _SERVING, 6.0)
    seen.append(lives.describe("a"))
    assert seen == ["joining", "serving", "ejected", "serving"]


def test_draining_endpoint_stays_so_until_it_is_gone() -> None:
    lives = lifecycle.EndpointLives()
    lives.open_link("a")
    lives.consume_report("a", dataclasses.replace(_SERVING, leaving=True), 0.0)
    lives.consume_report("a", _SERVING, 1.0)
    assert lives.describe("a") == "draining"
    lives.close_link("a")
    assert lives.describe("a") == "gone"
