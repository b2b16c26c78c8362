"""Tests of the authentication of frames."""

from __future__ import annotations

from chicoryweir_wire import authentication


def _make_pair(
    secret: bytes = b"s", other: bytes = b"s"
) -> tuple[authentication.FrameSigner, authentication.FrameVerifier]:
    dialer = authentication.derive_keys(secret, b"a" * 32, b"b" * 32)
    listener = authentication.derive_keys(other, b"a" * 32, b"b" * 32)
    return authentication.FrameSigner(dialer.dialer), authentication.FrameVerifier(
        listener.dialer
    )


def test_frames_open_in_order() -> None:
    signer, verifier = _make_pair()
    assert verifier.verify(signer.sign(b"one")) == b"one"
    assert verifier.verify(signer.sign(b"two")) == b"two"


def test_replayed_frame_is_refused() -> None:
    signer, verifier = _make_pair()
    sealed = signer.sign(b"one")
    verifier.verify(sealed)
    assert verifier.verify(sealed) is None


def test_altered_frame_is_refused() -> None:
    signer, verifier = _make_pair()
    sealed = signer.sign(b"one")
    assert verifier.verify(sealed[:-1] + b"x") is None


def test_frame_under_another_secret_is_refused() -> None:
    signer, verifier = _make_pair(other=b"t")
    assert verifier.verify(signer.sign(b"one")) is None


def test_reflected_frame_is_refused() -> None:
    keys = authentication.derive_keys(b"s", b"a" * 32, b"b" * 32)
    sealed = authentication.FrameSigner(keys.dialer).sign(b"one")
    assert authentication.FrameVerifier(keys.listener).verify(sealed) is None
