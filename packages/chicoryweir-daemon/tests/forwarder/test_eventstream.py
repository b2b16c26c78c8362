"""Tests of the event splitter, and of announcements with minimal fields."""

import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_daemon.forwarder import announcements
from chicoryweir_daemon.forwarder import eventstream
from chicoryweir_policy.forwarding import loads
from chicoryweir_policy.forwarding import peers

EVENTS = [b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 6)]


@hypothesis.given(strategies.sets(strategies.integers(0, sum(map(len, EVENTS)))))
def test_splitter_yields_same_events_for_any_chunking(chunk_ends):
    data = b"".join(EVENTS)
    splitter = eventstream.EventSplitter()
    events = []
    start = 0
    for end in [*sorted(chunk_ends), len(data)]:
        events += splitter.feed(data[start:end])
        start = max(start, end)
    assert [event.data for event in events] == EVENTS
    assert [event.event_id for event in events] == [b"1", b"2", b"3", b"4", b"5"]
    assert not splitter.has_partial_event


def test_incomplete_event_stays_buffered():
    splitter = eventstream.EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x\n") == []
    assert splitter.has_partial_event


def test_crlf_line_endings_are_accepted():
    splitter = eventstream.EventSplitter()
    (event,) = splitter.feed(b"id: 7\r\ndata: x\r\n\r\n")
    assert event.event_id == b"7"


def test_positional_announcement_round_trips():
    announcement = peers.Announcement(
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
    assert announcements.decode(announcements.encode(announcement)) == announcement


@hypothesis.given(strategies.binary(max_size=60))
def test_random_datagram_raises_value_error(data):
    with pytest.raises(ValueError, match="."):
        announcements.decode(data)


class CountedBytes(bytes):
    """Bytes that count how many of them were copied by slicing."""

    copied = 0

    def __add__(self, other):
        return CountedBytes(bytes(self) + other)

    def __radd__(self, other):
        return CountedBytes(other + bytes(self))

    def __getitem__(self, key):
        part = super().__getitem__(key)
        CountedBytes.copied += len(part)
        return CountedBytes(part)


# Guards against an entry that is blocked by a large part of small events.
def test_many_events_in_one_part_are_split_without_copying_the_rest():
    data = b"id: 1\ndata: a\n\n" * 2_000
    CountedBytes.copied = 0
    events = eventstream.EventSplitter().feed(CountedBytes(data))
    assert len(events) == 2_000
    assert CountedBytes.copied <= 4 * len(data)
