"""Tests of the plain selectors."""

import pytest

from chicoryweir_policy.routing import baselines
from chicoryweir_policy.routing import selection

NONE = frozenset()


@pytest.mark.parametrize("kind", list(baselines.Baseline))
def test_baselines_use_every_available_endpoint(make_book, make_request, kind):
    selector = baselines.make_baseline(kind)
    book = make_book(4)
    book.record_link_state("agent-2", False, 0.0)
    reached = set()
    for number in range(40):
        request = make_request(f"request-{number}")
        selected = selector.select_endpoint(request, book, NONE, "telavi", 0.0)
        book.record_sent(selected.instance, str(number), number, 10, request.priority)
        reached.add(selected.instance)
    assert reached == {"agent-0", "agent-1", "agent-3"}


@pytest.mark.parametrize("kind", list(baselines.Baseline))
def test_baselines_tell_when_none_is_available(make_book, make_request, kind):
    selector = baselines.make_baseline(kind)
    selected = selector.select_endpoint(
        make_request("request"), make_book(0), NONE, "telavi", 0.0
    )
    assert isinstance(selected, selection.NoneAvailable)
