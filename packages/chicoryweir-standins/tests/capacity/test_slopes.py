"""Tests of fitting slopes."""

import pytest

from chicoryweir_standins.capacity import slopes


def test_fits_one_line_per_role() -> None:
    samples = [
        slopes.Sample(role, "memory", "agents", size, base + 2.0 * size)
        for role, base in (("entry", 30.0), ("agent", 20.0))
        for size in (2, 6, 12)
    ]
    entry, agent = slopes.fit_slopes(samples)
    assert (entry.role, agent.role) == ("entry", "agent")
    assert entry.intercept == pytest.approx(30.0)
    assert agent.per_unit == pytest.approx(2.0)


def test_driver_with_one_size_gets_no_line() -> None:
    samples = [slopes.Sample("entry", "memory", "agents", 4, 30.0)]
    assert slopes.fit_slopes(samples) == []


def test_line_fits_the_medians_and_records_the_extremes() -> None:
    samples = [
        slopes.Sample("entry", "memory", "agents", size, size + offset)
        for size in (2, 6)
        for offset in (-1.0, 0.0, 4.0)
    ]
    (line,) = slopes.fit_slopes(samples)
    assert line.per_unit == pytest.approx(1.0)
    assert line.points[0] == slopes.Point(2, 1.0, 2.0, 6.0)
