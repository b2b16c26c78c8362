"""Fuzz tests of what is held for bytes that others sent."""

import json
import tracemalloc

import cbor2
import hypothesis
from hypothesis import strategies

from chicoryweir_daemon.forwarder import announcements
from chicoryweir_daemon.forwarder import fetching
from chicoryweir_daemon.http1 import answerparser
from chicoryweir_daemon.http1 import heads
from chicoryweir_daemon.http1 import limits
from chicoryweir_daemon.http1 import memory
from chicoryweir_daemon.http1 import requestparser
from fleet_platform import decoding
from fleet_platform import store

MAX_HEAD_BYTES, MAX_BODY_BYTES = 2_000, 5_000
RECEIVED = limits.ReceivedLimits(
    max_answer_lines=50, max_trailer_lines=8, max_trailer_bytes=500
)
# Most memory for one received byte: 4 bytes are a header line.
MAX_PER_BYTE = (memory.HEADER_BYTES + 16) / limits.SHORTEST_LINE_BYTES
# What an object holds beside the bytes that it stands for.
SLACK_BYTES = 2 * memory.MESSAGE_BYTES

PIECES = strategies.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 000 X\r\n",
        b"HTTP/1.1 102 X\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"Content-Length: 99999\r\n",
        b"Expect: 100-continue\r\n",
        b"Upgrade: x\r\nConnection: upgrade\r\n",
        b"1\r\na\r\n",
        b"0\r\n",
        b"1;",
        b"a:\r\n",
        b"\r\n",
        b"\x00",
        b"a" * 300,
    ]
)
STREAMS = strategies.lists(
    strategies.one_of(
        PIECES,
        strategies.binary(max_size=40),
        strategies.builds(
            lambda piece, count: piece * count, PIECES, strategies.integers(2, 200)
        ),
    ),
    max_size=20,
)


def _split(pieces, step_bytes):
    for piece in pieces:
        for start in range(0, len(piece), step_bytes):
            yield piece[start : start + step_bytes]


@hypothesis.given(STREAMS, strategies.integers(1, 4_096))
def test_requests_hold_bounded_memory(pieces, step_bytes):
    parser = requestparser.RequestParser(MAX_HEAD_BYTES, MAX_BODY_BYTES, RECEIVED)
    received, released = 0, 0
    for data in _split(pieces, step_bytes):
        received += len(data)
        for event in parser.feed(data):
            if isinstance(event, heads.Request):
                assert len(event.body) <= MAX_BODY_BYTES
                actual = memory.measure_headers(event.head.headers) + len(event.body)
                assert actual <= event.held_bytes
                released += event.held_bytes - SLACK_BYTES
        bound = received * MAX_PER_BYTE + SLACK_BYTES
        assert parser.held_bytes + released <= bound
        head_bytes = (MAX_HEAD_BYTES + step_bytes) * MAX_PER_BYTE
        tail_bytes = RECEIVED.max_trailer_bytes + 2 * requestparser.STEP_BYTES
        assert parser.held_bytes <= head_bytes + MAX_BODY_BYTES + tail_bytes


@hypothesis.given(STREAMS, strategies.integers(1, answerparser.STEP_BYTES))
def test_answers_hold_bounded_memory(pieces, step_bytes):
    parser = answerparser.AnswerParser(RECEIVED)
    begun = False
    for data in _split([b"HTTP/1.1 200 OK\r\n", *pieces], step_bytes):
        events = parser.feed(data)
        for event in events:
            if isinstance(event, heads.AnswerHead):
                begun = True
                assert 200 <= event.status <= 599
                assert len(event.headers) <= RECEIVED.max_answer_lines
            elif not isinstance(event, answerparser.Broken):
                assert begun
            if isinstance(event, answerparser.End):
                begun = False
        most = answerparser.MAX_HEAD_BYTES + step_bytes
        lines_bytes = RECEIVED.max_answer_lines * memory.HEADER_BYTES
        assert parser.held_bytes <= most + lines_bytes
        parts = [e.data for e in events if isinstance(e, answerparser.BodyPart)]
        assert sum(map(len, parts)) <= len(data)
    parser.feed_eof(clean=True)


# Decoders build objects of some 60 bytes for a byte.
MAX_DECODED_PER_BYTE = 200
DECODER_SLACK_BYTES = 65_536
VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(allow_nan=False, allow_infinity=False),
        strategies.text(max_size=5),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=30),
        strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3),
    ),
    max_leaves=60,
)
ROWS = strategies.fixed_dictionaries(
    {"table": VALUES, "part": strategies.just(""), "key": strategies.text()},
    optional={"value": strategies.one_of(VALUES, strategies.binary().map(repr))},
)


def _decode_bounded(decode, data):
    """Decodes data; checks the memory that it takes, and the kind of its failure."""
    detail = ""
    tracemalloc.start()
    try:
        decode(data)
    except ValueError as error:
        detail = str(error)
    finally:
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert len(detail) < 1_000
    assert peak_bytes <= len(data) * MAX_DECODED_PER_BYTE + DECODER_SLACK_BYTES


@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=500),
        # A list of 22 elements that begins with the version.
        strategies.binary(max_size=60).map(lambda data: b"\x96\x07" + data),
        strategies.lists(VALUES, min_size=21, max_size=21).map(
            lambda parts: cbor2.dumps([announcements.FORMAT_VERSION, *parts])
        ),
    )
)
@hypothesis.example(b"\x9a\x7f\xff\xff\xff")
@hypothesis.example(b"\x5a\x7f\xff\xff\xff")
@hypothesis.example(b"\xba\x7f\xff\xff\xff")
@hypothesis.example(b"\xd8\x1c\x81\xd8\x1d\x00")
@hypothesis.example(b"\x81" * 60_000)
def test_announcements_take_bounded_memory(data):
    _decode_bounded(announcements.decode, data)


def _decode_reply(body):
    head = heads.AnswerHead(200, b"", (), ends_at_close=False, keep_alive=True)
    for row in store._decode_rows(fetching.Reply(head, body)).rows:
        store._decode_endpoint(row)


@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=500),
        strategies.fixed_dictionaries(
            {"ver": VALUES, "rows": strategies.lists(ROWS, max_size=20)}
        ).map(lambda reply: json.dumps(reply).encode()),
        VALUES.map(lambda value: json.dumps(value).encode()),
    )
)
@hypothesis.example(b'{"ver":1,"rows":[' + b"[" * 60_000)
def test_rows_of_the_store_take_bounded_memory(data):
    _decode_bounded(_decode_reply, data)
    _decode_bounded(lambda value: decoding.decode_registration("i", value), data)
