"""Tests of counting runs."""

from chicoryweir_standins import reporting
from chicoryweir_standins import switchboard


def test_duplicate_report_counts_once() -> None:
    counts = switchboard.RunCounts()
    run = reporting.Run("engine-1", "k", "b")
    counts.add(run)
    counts.add(run)
    counts.add(reporting.Run("engine-2", "", "b"))
    assert counts.by_key == {"k": 1}
    assert counts.by_body == {"b": {"engine-1": 1, "engine-2": 1}}
