"""Tests of parsing complete and broken answers of endpoints."""

import hypothesis
from hypothesis import strategies
import pytest

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


CUT_ANSWERS = {
    "with a length": b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello",
    "in chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0"
    b"\r\n\r\n",
    "after an interim one": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
}


# Guards against an answer whose endpoint stopped in the middle of its head, and which
# counts as a whole one with an empty or short body.
@pytest.mark.parametrize("data", CUT_ANSWERS.values(), ids=CUT_ANSWERS)
@pytest.mark.parametrize("clean", [True, False])
@pytest.mark.parametrize("is_reused", [True, False])
def test_answer_that_is_cut_anywhere_is_not_complete(data, clean, is_reused):
    for end in range(len(data)):
        parser = answerparser.AnswerParser()
        if is_reused:
            assert isinstance(parser.feed(data)[-1], answerparser.End)
        events = [*parser.feed(data[:end]), *parser.feed_eof(clean)]
        assert answerparser.End() not in events
        is_within = end > 0 and not data[:end].endswith(b"Continue\r\n\r\n")
        assert isinstance((events or [None])[-1], answerparser.Broken) == is_within


def test_head_without_a_length_that_is_cut_is_not_complete():
    data = b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
    for end in range(1, len(data)):
        parser = answerparser.AnswerParser()
        events = [*parser.feed(data[:end]), *parser.feed_eof(True)]
        assert [type(event) for event in events] == [answerparser.Broken]


# Guards against a body that the reader gets without a head, and against a status that
# no caller understands.
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
@pytest.mark.parametrize("rest", [b"\r\n", b"Content-Length: 3\r\n\r\nabc"])
def test_status_outside_the_range_is_broken(status, rest):
    events = answerparser.AnswerParser().feed(b"HTTP/1.1 %s X\r\n" % status + rest)
    assert [type(event) for event in events] == [answerparser.Broken]


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 3\r\n\r\nabc",
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        b"Content-Length: 3\r\n\r\n" + SIZED,
    ],
)
def test_interim_answer_with_a_body_is_broken(rest):
    events = answerparser.AnswerParser().feed(b"HTTP/1.1 102 X\r\n" + rest)
    assert [type(event) for event in events] == [answerparser.Broken]
