"""Tests of measured values and their targets."""

from chicoryweir_standins.bench import floods
from chicoryweir_standins.bench import measures
from chicoryweir_standins.bench import relay
from chicoryweir_standins.bench import report


def create_measures(target: measures.Target, *values: float) -> list[measures.Measure]:
    return [measures.Measure("d", "e", n, target, v) for n, v in enumerate(values)]


def test_worst_value_is_the_furthest_from_the_target() -> None:
    share = measures.summarise(create_measures(floods.URGENT_ON_TIME, 99.5, 97.0, 100))
    added = measures.summarise(create_measures(relay.ADDED_FIRST_TOKEN, 1.0, 9.0, 2.0))
    assert (share[0].median, share[0].worst) == (99.5, 97.0)
    assert (added[0].median, added[0].worst) == (2.0, 9.0)


def test_report_says_whether_each_target_is_met() -> None:
    measured = create_measures(floods.URGENT_ON_TIME, 99.5, 97.0)
    page = report.render_page(measures.summarise(measured))
    assert "| 98.25 | 97 | ≥ 99 | no | no |" in page
    assert [row[-3:] for row in report.render_table(measured).splitlines()[1:]] == [
        "yes",
        ",no",
    ]
