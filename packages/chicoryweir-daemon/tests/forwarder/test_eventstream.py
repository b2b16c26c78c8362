"""Streams of events, and datagrams between entries."""

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_daemon.forwarder import announcements
from chicoryweir_daemon.forwarder import eventstream
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import peers

EVENTS = [b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 6)]


@hypothesis.given(strategies.sets(strategies.integers(0, sum(map(len, EVENTS)))))
def test_events_are_whole_however_the_bytes_are_cut(pieces):
    data = b"".join(EVENTS)
    splitter = eventstream.EventSplitter()
    found = []
    start = 0
    for end in [*sorted(pieces), len(data)]:
        found += splitter.feed(data[start:end])
        start = max(start, end)
    assert [event.data for event in found] == EVENTS
    assert [event.event_id for event in found] == [b"1", b"2", b"3", b"4", b"5"]
    assert not splitter.has_rest


def test_part_of_an_event_is_left_over():
    splitter = eventstream.EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x\n") == []
    assert splitter.has_rest


def test_lines_may_end_in_two_characters():
    splitter = eventstream.EventSplitter()
    (event,) = splitter.feed(b"id: 7\r\ndata: x\r\n\r\n")
    assert event.event_id == b"7"


def test_announcement_comes_back_from_its_datagram():
    told = peers.Announcement(
        "a",
        5,
        1,
        "10.0.0.1",
        "telavi",
        "10.0.0.1:80",
        True,
        3,
        {"i-1": loads.Load(2, 900.0)},
        ("10.0.0.2",),
        frozenset({"duty"}),
        {"model": 3},
        False,
        7,
    )
    assert announcements.decode(announcements.encode(told)) == told


@hypothesis.given(strategies.binary(max_size=60))
def test_strange_datagram_is_told_apart(data):
    with pytest.raises(ValueError, match="."):
        announcements.decode(data)
