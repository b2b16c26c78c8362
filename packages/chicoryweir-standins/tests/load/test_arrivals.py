"""Tests of open-loop arrivals."""

from chicoryweir_standins.load import arrivals

STREAMS = (
    arrivals.Stream("relay", "urgent", 20.0, 1000, end_s=50.0),
    arrivals.Stream("clerks", "bulk", 5.0, 1000, start_s=10.0, end_s=50.0),
)


def test_arrivals_follow_the_rate_and_the_seed() -> None:
    drawn = arrivals.draw_arrivals(STREAMS, seed=3)
    assert drawn == arrivals.draw_arrivals(STREAMS, seed=3)
    urgent = [a for a in drawn if a.stream.priority == "urgent"]
    assert 800 < len(urgent) < 1200


def test_arrivals_are_sorted_and_within_their_window() -> None:
    drawn = arrivals.draw_arrivals(STREAMS, seed=4)
    times = [a.at_s for a in drawn]
    assert times == sorted(times)
    assert all(a.stream.start_s <= a.at_s < a.stream.end_s for a in drawn)


def test_each_request_has_a_different_prompt() -> None:
    drawn = arrivals.draw_arrivals(STREAMS, seed=5)
    bodies = {str(arrivals.build_body(a, 5)["messages"]) for a in drawn}
    assert len(bodies) == len(drawn)
