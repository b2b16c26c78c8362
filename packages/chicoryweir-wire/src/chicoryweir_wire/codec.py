"""CBOR codec of the messages between daemons.

A frame is a CBOR array of messages. A message is an array of its type number, which is
its position in `messages.Message`, followed by its fields in dataclass order.
Decoding checks types, ranges and counts.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import io
import math
import types
import typing

import cbor2

from chicoryweir_policy import messages

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_ARRAY_ITEMS = 65536
MAX_DEPTH = 8

_Decoder = collections.abc.Callable[[typing.Any], typing.Any]
_Encoder = collections.abc.Callable[[typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A frame can't be decoded; `detail` gives the reason."""

    detail: str


class _FieldError(Exception):
    """A field has the wrong type or is out of range."""


def _decode_int(value: typing.Any) -> int:
    if type(value) is not int or not -(2**63) <= value < 2**64:
        raise _FieldError("expected an integer of 64 bits")
    return value


def _decode_float(value: typing.Any) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise _FieldError("expected a finite number")
    return float(value)


def _decode_str(value: typing.Any) -> str:
    if type(value) is not str:
        raise _FieldError("expected text")
    return value


def _decode_bytes(value: typing.Any) -> bytes:
    if type(value) is not bytes:
        raise _FieldError("expected bytes")
    return value


def _decode_bool(value: typing.Any) -> bool:
    if type(value) is not bool:
        raise _FieldError("expected true or false")
    return value


_SCALARS: dict[typing.Any, _Decoder] = {
    int: _decode_int,
    float: _decode_float,
    str: _decode_str,
    bytes: _decode_bytes,
    bool: _decode_bool,
}


def _make_enum_decoder(kind: type[enum.Enum]) -> _Decoder:
    members = {member.value: member for member in kind}

    def decode(value: typing.Any) -> enum.Enum:
        if type(value) not in (str, int) or value not in members:
            raise _FieldError(f"expected one of {sorted(map(str, members))}")
        return members[value]

    return decode


def _make_tuple_decoder(arguments: tuple[typing.Any, ...]) -> _Decoder:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        decode_item = _make_decoder(arguments[0])

        def decode(value: typing.Any) -> tuple[typing.Any, ...]:
            if type(value) is not list or len(value) > MAX_ARRAY_ITEMS:
                raise _FieldError(f"expected at most {MAX_ARRAY_ITEMS} items")
            return tuple([decode_item(item) for item in value])

        return decode
    decoders = tuple(_make_decoder(argument) for argument in arguments)

    def decode_fixed(value: typing.Any) -> tuple[typing.Any, ...]:
        if type(value) is not list or len(value) != len(decoders):
            raise _FieldError(f"expected {len(decoders)} items")
        pairs = zip(decoders, value, strict=True)
        return tuple([decode_field(item) for decode_field, item in pairs])

    return decode_fixed


def _make_set_decoder(arguments: tuple[typing.Any, ...]) -> _Decoder:
    decode_item = _make_decoder(arguments[0])

    def decode(value: typing.Any) -> frozenset[typing.Any]:
        if type(value) is not list or len(value) > MAX_ARRAY_ITEMS:
            raise _FieldError(f"expected at most {MAX_ARRAY_ITEMS} items")
        return frozenset([decode_item(item) for item in value])

    return decode


def _make_optional_decoder(arguments: tuple[typing.Any, ...]) -> _Decoder:
    kinds = [argument for argument in arguments if argument is not type(None)]
    if len(kinds) != 1 or len(kinds) == len(arguments):
        raise TypeError(f"no codec for the union {arguments}")
    decode_value = _make_decoder(kinds[0])

    def decode(value: typing.Any) -> typing.Any:
        return None if value is None else decode_value(value)

    return decode


def _make_dataclass_decoder(kind: type) -> _Decoder:
    hints = typing.get_type_hints(kind)
    names = [field.name for field in dataclasses.fields(kind)]
    decoders = [_make_decoder(hints[name]) for name in names]

    def decode(value: typing.Any) -> typing.Any:
        if type(value) is not list or len(value) != len(decoders):
            raise _FieldError(f"{kind.__name__}: expected {len(decoders)} fields")
        fields = []
        for name, decode_field, item in zip(names, decoders, value, strict=True):
            try:
                fields.append(decode_field(item))
            except _FieldError as error:
                raise _FieldError(f"{kind.__name__}.{name}: {error}") from None
        return kind(*fields)

    return decode


def _make_decoder(hint: typing.Any) -> _Decoder:
    if hint in _SCALARS:
        return _SCALARS[hint]
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _make_tuple_decoder(typing.get_args(hint))
    if origin is frozenset:
        return _make_set_decoder(typing.get_args(hint))
    if origin in (typing.Union, types.UnionType):
        return _make_optional_decoder(typing.get_args(hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _make_enum_decoder(hint)
    if dataclasses.is_dataclass(hint) and isinstance(hint, type):
        return _make_dataclass_decoder(hint)
    raise TypeError(f"no codec for {hint}")


def _make_encoder(hint: typing.Any) -> _Encoder | None:
    """Returns a function that converts a value to a type that cbor2 encodes.

    Returns None if values of this type need no conversion.
    """
    if hint in _SCALARS:
        return None
    origin = typing.get_origin(hint)
    if origin in (tuple, frozenset):
        return _make_items_encoder(origin, typing.get_args(hint))
    if origin in (typing.Union, types.UnionType):
        return _make_optional_encoder(typing.get_args(hint))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _encode_enum
    return _make_dataclass_encoder(hint)


def _encode_enum(value: enum.Enum) -> typing.Any:
    return value.value


def _make_items_encoder(
    origin: typing.Any, arguments: tuple[typing.Any, ...]
) -> _Encoder | None:
    if origin is frozenset:
        encode_member = _make_encoder(arguments[0]) or _pass_through
        return lambda value: sorted([encode_member(item) for item in value])
    if len(arguments) != 2 or arguments[1] is not Ellipsis:
        encoders = [_make_encoder(argument) or _pass_through for argument in arguments]
        return lambda value: [
            encode(item) for encode, item in zip(encoders, value, strict=True)
        ]
    encode_item = _make_encoder(arguments[0])
    if encode_item is None:
        return None
    return lambda value: [encode_item(item) for item in value]


def _pass_through(value: typing.Any) -> typing.Any:
    return value


def _make_optional_encoder(arguments: tuple[typing.Any, ...]) -> _Encoder | None:
    kind = next(argument for argument in arguments if argument is not type(None))
    encode_value = _make_encoder(kind)
    if encode_value is None:
        return None
    return lambda value: None if value is None else encode_value(value)


def _make_dataclass_encoder(kind: type) -> _Encoder:
    hints = typing.get_type_hints(kind)
    names = [field.name for field in dataclasses.fields(kind)]
    encoders = [(name, _make_encoder(hints[name])) for name in names]

    def encode(value: typing.Any) -> list[typing.Any]:
        return [
            getattr(value, name)
            if encode_field is None
            else encode_field(getattr(value, name))
            for name, encode_field in encoders
        ]

    return encode


MESSAGE_TYPES: tuple[type, ...] = typing.get_args(messages.Message)
_TYPE_NUMBERS = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}
_ENCODERS = tuple(_make_dataclass_encoder(kind) for kind in MESSAGE_TYPES)
_DECODERS = tuple(_make_dataclass_decoder(kind) for kind in MESSAGE_TYPES)


def encode_frame(batch: collections.abc.Sequence[messages.Message]) -> bytes:
    """Encodes messages as one frame."""
    return cbor2.dumps([_encode_message(message) for message in batch])


def _encode_message(message: messages.Message) -> list[typing.Any]:
    number = _TYPE_NUMBERS[type(message)]
    return [number, *_ENCODERS[number](message)]


def decode_frame(frame: bytes) -> tuple[messages.Message, ...] | Malformed:
    """Decodes the messages of a frame."""
    if len(frame) > MAX_FRAME_BYTES:
        return Malformed(f"frame of {len(frame)} bytes is over the limit")
    stream = io.BytesIO(frame)
    try:
        value = cbor2.CBORDecoder(stream, max_depth=MAX_DEPTH).decode()
    except Exception as error:  # noqa: BLE001 - cbor2 raises many types
        return Malformed(f"not CBOR: {type(error).__name__}")
    if stream.read(1):
        return Malformed("bytes after the message")
    if type(value) is not list or not value or len(value) > MAX_ARRAY_ITEMS:
        return Malformed("not an array of messages")
    try:
        return tuple([_decode_message(item) for item in value])
    except _FieldError as error:
        return Malformed(str(error))


def _decode_message(value: typing.Any) -> messages.Message:
    if type(value) is not list or not value or type(value[0]) is not int:
        raise _FieldError("not an array that starts with a type number")
    number = value[0]
    if not 0 <= number < len(_DECODERS):
        raise _FieldError(f"unknown message type {number}")
    return typing.cast(messages.Message, _DECODERS[number](value[1:]))
