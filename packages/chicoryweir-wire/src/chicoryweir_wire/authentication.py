"""Authenticates links and their frames with a shared secret.

Both sides derive the keys of a link from the secret and two fresh nonces. Each frame
carries a message authentication code (MAC) over its sequence number and content, with
a separate key per direction. Replayed, reordered, reflected or altered frames are
therefore rejected.
"""

from __future__ import annotations

import dataclasses
import hashlib
import hmac

NONCE_BYTES = 32
MAC_BYTES = 16
_COUNTER_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LinkKeys:
    """Keys of a link, one per sending side."""

    dialer: bytes
    listener: bytes


def derive_keys(secret: bytes, dialer_nonce: bytes, listener_nonce: bytes) -> LinkKeys:
    """Derives the keys of a link from the shared secret and both nonces."""
    base = hashlib.blake2b(
        dialer_nonce + listener_nonce, key=_hash_secret(secret)
    ).digest()
    return LinkKeys(
        dialer=hashlib.blake2b(b"dialer", key=base).digest(),
        listener=hashlib.blake2b(b"listener", key=base).digest(),
    )


def _hash_secret(secret: bytes) -> bytes:
    return hashlib.sha256(secret).digest()


class FrameSigner:
    """Prepends a MAC to outgoing frames."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._counter = 0

    def sign(self, frame: bytes) -> bytes:
        """Returns the frame with its MAC prepended."""
        mac = _compute_mac(self._key, self._counter, frame)
        self._counter += 1
        return mac + frame


class FrameVerifier:
    """Verifies and removes the MAC of incoming frames."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._counter = 0

    def verify(self, signed: bytes) -> bytes | None:
        """Returns the frame, or None if it isn't the peer's next authentic frame."""
        mac, frame = signed[:MAC_BYTES], signed[MAC_BYTES:]
        expected = _compute_mac(self._key, self._counter, frame)
        if not hmac.compare_digest(mac, expected):
            return None
        self._counter += 1
        return frame


def _compute_mac(key: bytes, counter: int, frame: bytes) -> bytes:
    digest = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    digest.update(counter.to_bytes(_COUNTER_BYTES, "big"))
    digest.update(frame)
    return digest.digest()
