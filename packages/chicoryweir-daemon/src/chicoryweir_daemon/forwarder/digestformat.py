"""Encodes and decodes the digests that agents send to entries."""

from __future__ import annotations

import math
import typing
import zlib

import cbor2

from chicoryweir_daemon.http1 import heads
from chicoryweir_policy.rankmaps import digests

# Path on an agent, with the number of the earlier digest.
TARGET_PREFIX = b"/digest?after="
# First element of each digest; incremented when the layout changes.
FORMAT_VERSION = 1
_PART_COUNT = 6
# Maximum number of sets multiplied by that of experts.
MAX_VALUES = 1 << 20
# Maximum power of two by which values are multiplied.
MAX_SCALE = 40
# The values are small already; a higher level saves few bytes.
_COMPRESSION_LEVEL = 1
_DECODING_ERRORS = (TypeError, ValueError, LookupError, OverflowError, zlib.error)


def encode_target(after: int) -> bytes:
    """Returns the path and query that request a digest."""
    return TARGET_PREFIX + b"%d" % after


def decode_target(target: bytes) -> int | None:
    """Returns the number of the earlier digest; None if the target is another one."""
    number = target.removeprefix(TARGET_PREFIX)
    return None if number == target else heads.parse_whole_number(number)


def encode(digest: digests.Digest) -> bytes:
    """Encodes a digest."""
    return cbor2.dumps(
        (
            FORMAT_VERSION,
            digest.sequence,
            digest.epoch,
            digest.interval_s,
            digest.scale,
            zlib.compress(digest.values, _COMPRESSION_LEVEL),
        )
    )


def decode(data: bytes) -> digests.Digest:
    """Decodes a digest.

    Raises:
        ValueError: The data is not a valid digest.
    """
    try:
        parts: typing.Any = cbor2.loads(data)
        if len(parts) != _PART_COUNT or parts[0] != FORMAT_VERSION:
            raise ValueError(f"format {parts[0]!r} with {len(parts)} parts")
        digest = digests.Digest(
            sequence=int(parts[1]),
            epoch=int(parts[2]),
            interval_s=None if parts[3] is None else float(parts[3]),
            scale=int(parts[4]),
            values=zlib.decompressobj().decompress(parts[5], MAX_VALUES),
        )
        _check_bounds(digest)
        return digest
    except (cbor2.CBORDecodeError, *_DECODING_ERRORS) as error:
        raise ValueError(f"not a digest: {error!r}") from error


def _check_bounds(digest: digests.Digest) -> None:
    """Raises `ValueError` if a number of a digest is out of its bounds."""
    interval_s = 0.0 if digest.interval_s is None else digest.interval_s
    is_valid = digest.sequence >= 0 and 0 <= digest.scale <= MAX_SCALE
    if not (is_valid and 0.0 <= interval_s < math.inf):
        raise ValueError(
            f"out of bounds: sequence {digest.sequence}, scale {digest.scale}, "
            f"interval_s {digest.interval_s}"
        )
