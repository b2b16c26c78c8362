"""Tests of the chart interpreter, with sismic's interpreter as the reference."""

import importlib.resources

import hypothesis
from hypothesis import strategies
import pytest
import sismic.interpreter
import sismic.io

from chicoryweir_policy.charts import interpreter

NAMES = ("attempt", "endpoint", "lease", "map_change", "rank_map_change")
FILES = importlib.resources.files("chicoryweir_policy.charts") / "files"


def collect_events(chart: interpreter.Chart) -> list[str]:
    return sorted({event for row in chart.table.values() for event in row})


def find_reachable(chart: interpreter.Chart, start: str) -> set[str]:
    found, queue = {start}, [start]
    while queue:
        for transition in chart.table[queue.pop()].values():
            if transition.state not in found:
                found.add(transition.state)
                queue.append(transition.state)
    return found


def test_every_chart_file_is_tested() -> None:
    assert sorted(path.name for path in FILES.iterdir()) == [f"{n}.yaml" for n in NAMES]


@pytest.mark.parametrize("name", NAMES)
def test_every_state_is_reachable(name: str) -> None:
    chart = interpreter.load_chart(name)
    assert find_reachable(chart, chart.initial) == set(chart.states)


@pytest.mark.parametrize("name", NAMES)
def test_every_state_leads_to_a_final_or_the_initial_state(name: str) -> None:
    chart = interpreter.load_chart(name)
    ends = chart.final or {chart.initial}
    for state in chart.states:
        assert find_reachable(chart, state) & ends
        assert bool(chart.table[state]) != (state in chart.final)


@pytest.mark.parametrize("name", NAMES)
@hypothesis.given(data=strategies.data())
def test_random_events_reach_same_states_as_in_sismic(
    name: str, data: strategies.DataObject
) -> None:
    chart = interpreter.load_chart(name)
    text = (FILES / f"{name}.yaml").read_text(encoding="utf-8")
    reference = sismic.interpreter.Interpreter(sismic.io.import_from_yaml(text))
    reference.execute()
    state = chart.initial
    for event in data.draw(
        strategies.lists(strategies.sampled_from(collect_events(chart)), max_size=12)
    ):
        reference.queue(event).execute()
        match interpreter.advance(chart, state, event):
            case interpreter.Advanced(reached):
                state = reached
            case interpreter.Ignored() as ignored:
                assert (ignored.state, ignored.event) == (state, event)
        assert reference.final == (state in chart.final)
        assert reference.final or state in reference.configuration


@pytest.mark.parametrize(
    "extra", ["on entry: x = 1", "parallel states: []", "type: history"]
)
def test_unsupported_key_is_an_error(extra: str) -> None:
    text = f"statechart:\n  name: c\n  root state:\n    name: r\n    {extra}\n"
    with pytest.raises(interpreter.ChartError):
        interpreter.parse_chart(text)


def test_unknown_target_is_an_error() -> None:
    text = """
statechart:
  name: c
  root state: {name: r, initial: a, states: [
    {name: a, transitions: [{event: go, target: nowhere}]}]}
"""
    with pytest.raises(interpreter.ChartError, match="nowhere"):
        interpreter.parse_chart(text)
