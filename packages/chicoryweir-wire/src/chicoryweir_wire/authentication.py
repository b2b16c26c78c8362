"""Authentication of links and of each frame by a shared secret.

Both sides prove that they hold the secret over fresh nonces; each frame then carries
a code over its number and content, so that replayed, reordered, reflected or altered
frames are refused.
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
    """LinkKeys of one link: one for each direction."""

    dialer: bytes
    listener: bytes


def derive_keys(secret: bytes, dialer_nonce: bytes, listener_nonce: bytes) -> LinkKeys:
    """Derives the keys of a link from the secret and both nonces."""
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
    """Adds the code to outgoing frames."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._counter = 0

    def sign(self, frame: bytes) -> bytes:
        """Returns the frame with its code in front."""
        code = _compute_mac(self._key, self._counter, frame)
        self._counter += 1
        return code + frame


class FrameVerifier:
    """Checks and removes the code of incoming frames."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._counter = 0

    def verify(self, sealed: bytes) -> bytes | None:
        """Returns the frame, or None when it is not the peer's next one."""
        code, frame = sealed[:MAC_BYTES], sealed[MAC_BYTES:]
        expected = _compute_mac(self._key, self._counter, frame)
        if not hmac.compare_digest(code, expected):
            return None
        self._counter += 1
        return frame


def _compute_mac(key: bytes, counter: int, frame: bytes) -> bytes:
    digest = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    digest.update(counter.to_bytes(_COUNTER_BYTES, "big"))
    digest.update(frame)
    return digest.digest()
