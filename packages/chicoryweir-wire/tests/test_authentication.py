"""Tests of the authentication of frames."""

from __future__ import annotations

from chicoryweir_wire import authentication as sealing


def _make_pair(
    secret: bytes = b"s", other: bytes = b"s"
) -> tuple[sealing.Sealer, sealing.Opener]:
    dialer = sealing.derive_keys(secret, b"a" * 32, b"b" * 32)
    listener = sealing.derive_keys(other, b"a" * 32, b"b" * 32)
    return sealing.Sealer(dialer.dialer), sealing.Opener(listener.dialer)


def test_frames_open_in_order() -> None:
    sealer, opener = _make_pair()
    assert opener.open(sealer.seal(b"one")) == b"one"
    assert opener.open(sealer.seal(b"two")) == b"two"


def test_replayed_frame_is_refused() -> None:
    sealer, opener = _make_pair()
    sealed = sealer.seal(b"one")
    opener.open(sealed)
    assert opener.open(sealed) is None


def test_altered_frame_is_refused() -> None:
    sealer, opener = _make_pair()
    sealed = sealer.seal(b"one")
    assert opener.open(sealed[:-1] + b"x") is None


def test_frame_under_another_secret_is_refused() -> None:
    sealer, opener = _make_pair(other=b"t")
    assert opener.open(sealer.seal(b"one")) is None


def test_reflected_frame_is_refused() -> None:
    keys = sealing.derive_keys(b"s", b"a" * 32, b"b" * 32)
    sealed = sealing.Sealer(keys.dialer).seal(b"one")
    assert sealing.Opener(keys.listener).open(sealed) is None
