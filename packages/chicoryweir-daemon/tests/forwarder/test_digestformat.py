"""Tests of the encoding of digests."""

import dataclasses
import random

import cbor2
import pytest

from chicoryweir_daemon.forwarder import digestformat
from chicoryweir_policy.rankmaps import digests

DIGEST = digests.Digest(9, 2, 0.25, 3, bytes(range(200)))


@pytest.mark.parametrize("digest", [DIGEST, digests.Digest(9, 2, None, 0, b"")])
def test_digest_survives_encoding_and_decoding(digest):
    assert digestformat.decode(digestformat.encode(digest)) == digest


def test_target_survives_encoding_and_decoding():
    assert digestformat.decode_target(digestformat.encode_target(77)) == 77
    for other in (b"/report", b"/digest?after=", b"/digest?after=x", b"/digest"):
        assert digestformat.decode_target(other) is None


def test_bad_bytes_are_rejected_with_an_error():
    good = digestformat.encode(DIGEST)
    rng = random.Random(1)
    for _ in range(500):
        bad = bytearray(good)
        for _ in range(rng.randrange(1, 4)):
            bad[rng.randrange(len(bad))] = rng.randrange(256)
        try:
            digestformat.decode(bytes(bad[: rng.randrange(len(bad) + 1)]))
        except ValueError:
            continue


# A value that can't be used would end the task that balances the groups.
@pytest.mark.parametrize(
    "changes",
    [
        {"scale": -1},
        {"scale": digestformat.MAX_SCALE + 1},
        {"sequence": -1},
        {"interval_s": -0.1},
        {"interval_s": float("nan")},
        {"interval_s": float("inf")},
    ],
)
def test_digest_out_of_bounds_is_rejected(changes):
    data = digestformat.encode(dataclasses.replace(DIGEST, **changes))
    with pytest.raises(ValueError, match="out of bounds"):
        digestformat.decode(data)


@pytest.mark.parametrize(
    "parts", [(2, 9, 2, 0.2, 3, b""), (1, 9), (1, "x", 2, 0.2, 3, b""), 5]
)
def test_other_layout_is_rejected(parts):
    with pytest.raises(ValueError, match="not a digest"):
        digestformat.decode(cbor2.dumps(parts))


def test_target_with_too_many_digits_is_another_one():
    assert digestformat.decode_target(digestformat.encode_target(7)) == 7
    assert digestformat.decode_target(digestformat.TARGET_PREFIX + b"9" * 5000) is None
