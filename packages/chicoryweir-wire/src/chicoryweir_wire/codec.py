"""CBOR codec of the daemons' messages.

A frame is a CBOR array: the number of the message's type, then its fields in the
order of the dataclass. Types, ranges and counts are checked on decoding.
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
MAX_ITEMS = 65536
MAX_DEPTH = 6

_Decoder = collections.abc.Callable[[typing.Any], typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """A frame is not a message; `detail` tells why."""

    detail: str


class _FieldError(Exception):
    """A field of a frame has a wrong type or range."""


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
            if type(value) is not list or len(value) > MAX_ITEMS:
                raise _FieldError(f"expected at most {MAX_ITEMS} items")
            return tuple([decode_item(item) for item in value])

        return decode
    decoders = tuple(_make_decoder(argument) for argument in arguments)

    def decode_fixed(value: typing.Any) -> tuple[typing.Any, ...]:
        if type(value) is not list or len(value) != len(decoders):
            raise _FieldError(f"expected {len(decoders)} items")
        pairs = zip(decoders, value, strict=True)
        return tuple([decode_one(item) for decode_one, item in pairs])

    return decode_fixed


def _make_set_decoder(arguments: tuple[typing.Any, ...]) -> _Decoder:
    decode_item = _make_decoder(arguments[0])

    def decode(value: typing.Any) -> frozenset[typing.Any]:
        if type(value) is not list or len(value) > MAX_ITEMS:
            raise _FieldError(f"expected at most {MAX_ITEMS} items")
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


def _encode_value(value: typing.Any) -> typing.Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return [_encode_value(item) for item in value]
    if isinstance(value, frozenset):
        return sorted(_encode_value(item) for item in value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        names = value.__dataclass_fields__
        return [_encode_value(getattr(value, name)) for name in names]
    return value


MESSAGE_TYPES: tuple[type, ...] = typing.get_args(messages.Message)
_NUMBERS = {kind: number for number, kind in enumerate(MESSAGE_TYPES)}
_DECODERS = tuple(_make_dataclass_decoder(kind) for kind in MESSAGE_TYPES)


def encode_message(message: messages.Message) -> bytes:
    """Returns the frame of a message."""
    fields = _encode_value(message)
    return cbor2.dumps([_NUMBERS[type(message)], *fields])


def decode_message(frame: bytes) -> messages.Message | Malformed:
    """Returns the message of a frame, or why it is none."""
    if len(frame) > MAX_FRAME_BYTES:
        return Malformed(f"frame of {len(frame)} bytes is over the limit")
    stream = io.BytesIO(frame)
    try:
        value = cbor2.CBORDecoder(stream, max_depth=MAX_DEPTH).decode()
    except Exception as error:  # noqa: BLE001 - the codec raises many kinds
        return Malformed(f"not CBOR: {type(error).__name__}")
    if stream.read(1):
        return Malformed("bytes after the message")
    if type(value) is not list or not value or type(value[0]) is not int:
        return Malformed("not an array that starts with a type number")
    number = value[0]
    if not 0 <= number < len(_DECODERS):
        return Malformed(f"unknown message type {number}")
    try:
        return typing.cast(messages.Message, _DECODERS[number](value[1:]))
    except _FieldError as error:
        return Malformed(str(error))
