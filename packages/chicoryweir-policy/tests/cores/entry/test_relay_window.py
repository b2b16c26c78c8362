"""Tests of the window in which agents batch tokens."""

from __future__ import annotations

import pytest

from chicoryweir_policy.cores.entry import relay_window


@pytest.mark.parametrize(
    ("rate", "current", "window"),
    [
        (0.0, 0.0, 0.0),
        (1400.0, 0.0, 0.0),
        (1600.0, 0.0, 0.03),
        (1200.0, 0.03, 0.03),
        (900.0, 0.03, 0.0),
        (7000.0, 0.03, 0.035),
        (5000.0, 0.035, 0.035),
        (4000.0, 0.035, 0.03),
    ],
)
def test_window_follows_the_rate_with_hysteresis(rate, current, window) -> None:
    assert relay_window.choose_window(rate, current) == window
