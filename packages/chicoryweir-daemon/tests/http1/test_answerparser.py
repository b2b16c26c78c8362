"""Answers of endpoints, whole and broken."""

import hypothesis
from hypothesis import strategies

from chicoryweir_daemon.http1 import answerparser
from chicoryweir_daemon.http1 import heads

SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhello"


def _body(events):
    return b"".join(e.data for e in events if isinstance(e, answerparser.Body))


def _ends(events):
    return sum(isinstance(e, answerparser.End) for e in events)


@hypothesis.given(strategies.sets(strategies.integers(0, len(SIZED + CHUNKED))))
def test_answers_are_the_same_however_the_bytes_are_cut(pieces):
    data = SIZED + CHUNKED
    parser = answerparser.AnswerParser()
    events = []
    start = 0
    for end in [*sorted(pieces), len(data)]:
        events += parser.feed(data[start:end])
        start = max(start, end)
    assert _ends(events) == 2
    assert _body(events) == b"hellohello"
    assert parser.is_idle


def test_answer_without_length_is_whole_only_on_an_orderly_end():
    for clean, kind in ((True, answerparser.End), (False, answerparser.Broken)):
        parser = answerparser.AnswerParser()
        events = parser.feed(UNFRAMED)
        assert _body(events) == b"hello"
        assert not _ends(events)
        (last,) = parser.feed_eof(clean)
        assert isinstance(last, kind)


def test_cut_answer_is_broken_even_on_an_orderly_end():
    for data in (SIZED[:-1], CHUNKED[:-5], SIZED[:20]):
        parser = answerparser.AnswerParser()
        events = parser.feed(data)
        events += parser.feed_eof(clean=True)
        assert not _ends(events)
        assert isinstance(events[-1], answerparser.Broken)


def test_bytes_that_are_no_answer_are_broken():
    parser = answerparser.AnswerParser()
    events = parser.feed(SIZED + b"garbage\r\n\r\n")
    assert isinstance(events[-1], answerparser.Broken)
    assert not parser.is_idle


def test_interim_answer_is_not_delivered():
    parser = answerparser.AnswerParser()
    events = parser.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + SIZED)
    assert [e.status for e in events if isinstance(e, heads.AnswerHead)] == [200]
    assert _ends(events) == 1


def test_answer_without_body_ends_at_its_head():
    parser = answerparser.AnswerParser()
    events = parser.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert _ends(events) == 1
    assert not events[0].ends_at_close
