"""Tests of the endpoint states that an entry tracks."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy.cores.entry import endpoint_states

_SERVING = messages.LoadReport(
    1, 0, 0, 0, 0.0, 4, 1.0, (0.0, 0.0, 0.0), False, True, "p1", ()
)


def test_endpoint_serves_is_ejected_and_serves_again() -> None:
    states = endpoint_states.EndpointStates()
    states.open_link("a")
    seen = [states.get_state("a")]
    states.handle_report("a", _SERVING, 0.0)
    seen.append(states.get_state("a"))
    states.eject("a", 5.0)
    states.handle_report("a", _SERVING, 1.0)
    seen.append(states.get_state("a"))
    states.handle_report("a", _SERVING, 6.0)
    seen.append(states.get_state("a"))
    assert seen == ["joining", "serving", "ejected", "serving"]


def test_endpoint_stays_draining_until_its_link_closes() -> None:
    states = endpoint_states.EndpointStates()
    states.open_link("a")
    states.handle_report("a", dataclasses.replace(_SERVING, leaving=True), 0.0)
    states.handle_report("a", _SERVING, 1.0)
    assert states.get_state("a") == "draining"
    states.close_link("a")
    assert states.get_state("a") == "gone"
