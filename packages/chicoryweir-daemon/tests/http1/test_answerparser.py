"""Tests of parsing complete and broken answers of endpoints."""

import hypothesis
from hypothesis import strategies

from chicoryweir_daemon.http1 import answerparser
from chicoryweir_daemon.http1 import heads

SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhello"


def _join_body(events):
    return b"".join(
        event.data for event in events if isinstance(event, answerparser.BodyPart)
    )


def _count_ends(events):
    return sum(isinstance(event, answerparser.End) for event in events)


@hypothesis.given(strategies.sets(strategies.integers(0, len(SIZED + CHUNKED))))
def test_answers_do_not_depend_on_how_the_bytes_are_split(cuts):
    data = SIZED + CHUNKED
    parser = answerparser.AnswerParser()
    events = []
    start = 0
    for end in [*sorted(cuts), len(data)]:
        events += parser.feed(data[start:end])
        start = max(start, end)
    assert _count_ends(events) == 2
    assert _join_body(events) == b"hellohello"
    assert parser.is_idle


def test_answer_without_length_is_complete_only_on_orderly_close():
    for clean, kind in ((True, answerparser.End), (False, answerparser.Broken)):
        parser = answerparser.AnswerParser()
        events = parser.feed(WITHOUT_LENGTH)
        assert _join_body(events) == b"hello"
        assert not _count_ends(events)
        (last,) = parser.feed_eof(clean)
        assert isinstance(last, kind)


def test_truncated_answer_is_broken_even_on_orderly_close():
    for data in (SIZED[:-1], CHUNKED[:-5], SIZED[:20]):
        parser = answerparser.AnswerParser()
        events = parser.feed(data)
        events += parser.feed_eof(clean=True)
        assert not _count_ends(events)
        assert isinstance(events[-1], answerparser.Broken)


def test_invalid_bytes_are_broken():
    parser = answerparser.AnswerParser()
    events = parser.feed(SIZED + b"garbage\r\n\r\n")
    assert isinstance(events[-1], answerparser.Broken)
    assert not parser.is_idle


def test_interim_answer_is_skipped():
    parser = answerparser.AnswerParser()
    events = parser.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + SIZED)
    assert [
        event.status for event in events if isinstance(event, heads.AnswerHead)
    ] == [200]
    assert _count_ends(events) == 1


def test_answer_without_body_ends_after_its_head():
    parser = answerparser.AnswerParser()
    events = parser.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert _count_ends(events) == 1
    assert not events[0].ends_at_close
