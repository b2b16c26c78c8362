"""Checks that an answer is whole: order, count and digest of its chunks."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

from chicoryweir_policy import messages

MAX_PENDING_CHUNKS = 256


class Digest:
    """Running digest over the payloads of an answer."""

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_64()

    def update(self, payloads: collections.abc.Iterable[bytes]) -> None:
        """Adds payloads in order."""
        for payload in payloads:
            self._hash.update(len(payload).to_bytes(8, "big"))
            self._hash.update(payload)

    def compute(self) -> int:
        """Returns the digest of all payloads so far."""
        return self._hash.intdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Incomplete:
    """More of the answer is to come."""


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """All of the answer has come, and its digest is right."""

    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Corrupt:
    """The answer can't be trusted."""

    detail: str


Progress = Incomplete | Complete | Corrupt


class Assembler:
    """Puts the chunks of one attempt in order, whatever order they come in."""

    def __init__(self) -> None:
        self._next = 0
        self._pending: dict[int, tuple[bytes, ...]] = {}
        self._digest = Digest()
        self._finished: messages.AttemptFinished | None = None
        self._overflowed = False

    def accept_chunk(self, chunk: messages.AttemptChunk) -> tuple[bytes, ...]:
        """Takes a chunk and returns the payloads that are now in order."""
        if chunk.sequence < self._next or chunk.sequence in self._pending:
            return ()
        if len(self._pending) >= MAX_PENDING_CHUNKS:
            self._overflowed = True
            return ()
        self._pending[chunk.sequence] = chunk.payloads
        ready: list[bytes] = []
        while self._next in self._pending:
            ready.extend(self._pending.pop(self._next))
            self._next += 1
        self._digest.update(ready)
        return tuple(ready)

    def accept_finish(self, finished: messages.AttemptFinished) -> None:
        """Takes the last message of the attempt."""
        self._finished = finished

    def check_completeness(self) -> Progress:
        """Tells whether the answer is whole."""
        if self._overflowed:
            return Corrupt("too many chunks out of order")
        finished = self._finished
        if finished is None:
            return Incomplete()
        if self._next > finished.chunks:
            return Corrupt(f"{self._next} chunks of {finished.chunks}")
        if self._next < finished.chunks:
            return Incomplete()
        if self._digest.compute() != finished.digest:
            return Corrupt("digest differs")
        return Complete(finished.tokens)
