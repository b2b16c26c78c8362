"""Tests of the message codec."""

from __future__ import annotations

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from chicoryweir_policy import messages
from chicoryweir_policy.membership import instances
from chicoryweir_wire import codec


@hypothesis.given(
    strategies.builds(
        messages.AttemptChunk,
        attempt_id=strategies.text(),
        sequence=strategies.integers(0, 2**63),
        payloads=strategies.lists(strategies.binary()).map(tuple),
    )
)
def test_chunk_round_trips(message: messages.AttemptChunk) -> None:
    assert codec.decode_frame(codec.encode_frame([message])) == (message,)


def test_hello_round_trips() -> None:
    hello = messages.Hello("a", instances.Role.AGENT, "telavi", "desk", "i", "s", 3)
    assert codec.decode_frame(codec.encode_frame([hello])) == (hello,)


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_never_raise(frame: bytes) -> None:
    codec.decode_frame(frame)


strategies.register_type_strategy(int, strategies.integers(-(2**63), 2**64 - 1))
strategies.register_type_strategy(
    float, strategies.floats(allow_nan=False, allow_infinity=False)
)
_ARBITRARY_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.binary(max_size=5),
    lambda inner: strategies.lists(inner, max_size=5),
    max_leaves=20,
)


@hypothesis.given(
    strategies.integers(-3, 40), strategies.lists(_ARBITRARY_VALUES, max_size=20)
)
def test_invalid_fields_never_raise(number: int, fields: list[object]) -> None:
    codec.decode_frame(cbor2.dumps([[number, *fields]]))


def test_trailing_bytes_are_malformed() -> None:
    frame = codec.encode_frame([messages.Heartbeat(1)])
    assert isinstance(codec.decode_frame(frame + b"\x00"), codec.Malformed)


def test_wrong_field_type_is_reported_with_the_field_name() -> None:
    number = codec.MESSAGE_TYPES.index(messages.Heartbeat)
    outcome = codec.decode_frame(cbor2.dumps([[number, "x"]]))
    detail = "Heartbeat.sequence: expected an integer of 64 bits"
    assert outcome == codec.Malformed(detail)


@pytest.mark.parametrize("kind", codec.MESSAGE_TYPES, ids=lambda kind: kind.__name__)
@hypothesis.given(data=strategies.data())
@hypothesis.settings(max_examples=20)
def test_every_message_type_round_trips(
    kind: type, data: strategies.DataObject
) -> None:
    message = data.draw(strategies.from_type(kind))
    decoded = codec.decode_frame(codec.encode_frame([message]))
    assert decoded == (message,)
