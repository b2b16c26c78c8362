"""Tests of fitting slopes."""

import pytest

from chicoryweir_standins.capacity import slopes


def test_each_role_gets_a_line_of_its_own() -> None:
    samples = [
        slopes.Sample(role, "memory", "agents", size, base + 2.0 * size)
        for role, base in (("entry", 30.0), ("agent", 20.0))
        for size in (2, 6, 12)
    ]
    entry, agent = slopes.fit_slopes(samples)
    assert (entry.role, agent.role) == ("entry", "agent")
    assert entry.base == pytest.approx(30.0)
    assert agent.each == pytest.approx(2.0)
