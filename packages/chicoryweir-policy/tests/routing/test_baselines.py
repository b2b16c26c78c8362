"""Tests of the baseline selectors."""

import pytest

from chicoryweir_policy.routing import baselines
from chicoryweir_policy.routing import selection

NONE = frozenset()


@pytest.mark.parametrize("kind", list(baselines.Baseline))
def test_baselines_use_every_available_endpoint(make_tracker, make_request, kind):
    selector = baselines.make_baseline(kind)
    tracker = make_tracker(4)
    tracker.record_link_state("agent-2", False, 0.0)
    selected_instances = set()
    for number in range(40):
        request = make_request(f"request-{number}")
        selected = selector.select_endpoint(request, tracker, NONE, "telavi", 0.0)
        tracker.record_sent(
            selected.instance, str(number), number, 10, request.priority
        )
        selected_instances.add(selected.instance)
    assert selected_instances == {"agent-0", "agent-1", "agent-3"}


@pytest.mark.parametrize("kind", list(baselines.Baseline))
def test_baselines_report_that_none_is_available(make_tracker, make_request, kind):
    selector = baselines.make_baseline(kind)
    selected = selector.select_endpoint(
        make_request("request"), make_tracker(0), NONE, "telavi", 0.0
    )
    assert isinstance(selected, selection.NoneAvailable)
