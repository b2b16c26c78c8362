"""Tests of frame authentication."""

from __future__ import annotations

from chicoryweir_wire import authentication


def _make_pair(
    signer_secret: bytes = b"s", verifier_secret: bytes = b"s"
) -> tuple[authentication.FrameSigner, authentication.FrameVerifier]:
    signer_keys = authentication.derive_keys(signer_secret, b"a" * 32, b"b" * 32)
    verifier_keys = authentication.derive_keys(verifier_secret, b"a" * 32, b"b" * 32)
    return authentication.FrameSigner(signer_keys.dialer), authentication.FrameVerifier(
        verifier_keys.dialer
    )


def test_frames_verify_in_order() -> None:
    signer, verifier = _make_pair()
    assert verifier.verify(signer.sign(b"one")) == b"one"
    assert verifier.verify(signer.sign(b"two")) == b"two"


def test_replayed_frame_is_rejected() -> None:
    signer, verifier = _make_pair()
    signed = signer.sign(b"one")
    verifier.verify(signed)
    assert verifier.verify(signed) is None


def test_altered_frame_is_rejected() -> None:
    signer, verifier = _make_pair()
    signed = signer.sign(b"one")
    assert verifier.verify(signed[:-1] + b"x") is None


def test_frame_signed_with_another_secret_is_rejected() -> None:
    signer, verifier = _make_pair(verifier_secret=b"t")
    assert verifier.verify(signer.sign(b"one")) is None


def test_reflected_frame_is_rejected() -> None:
    keys = authentication.derive_keys(b"s", b"a" * 32, b"b" * 32)
    signed = authentication.FrameSigner(keys.dialer).sign(b"one")
    assert authentication.FrameVerifier(keys.listener).verify(signed) is None
