"""Reassembles an answer and verifies the order, count and digest of its chunks."""

from __future__ import annotations

import collections.abc
import dataclasses

import xxhash

from chicoryweir_policy import messages

MAX_OUT_OF_ORDER_CHUNKS = 256


class Digest:
    """Incremental digest over the payloads of an answer."""

    def __init__(self) -> None:
        self._hash = xxhash.xxh3_64()

    def update(self, payloads: collections.abc.Iterable[bytes]) -> None:
        """Adds payloads in order."""
        for payload in payloads:
            self._hash.update(len(payload).to_bytes(8, "big"))
            self._hash.update(payload)

    def compute(self) -> int:
        """Returns the digest of all payloads added so far."""
        return self._hash.intdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Incomplete:
    """Part of the answer has not arrived yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """The whole answer arrived and its digest matches."""

    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Corrupt:
    """The chunks don't match the count or digest, or overflowed the buffer."""

    detail: str


Completeness = Incomplete | Complete | Corrupt


class Assembler:
    """Reorders the chunks of one attempt, which may arrive in any order."""

    def __init__(self) -> None:
        self._next_sequence = 0
        self._out_of_order: dict[int, tuple[bytes, ...]] = {}
        self._digest = Digest()
        self._finished: messages.AttemptFinished | None = None
        self._overflowed = False

    def accept_chunk(self, chunk: messages.AttemptChunk) -> tuple[bytes, ...]:
        """Buffers a chunk and returns the payloads that became available in order.

        Duplicate chunks are ignored.
        """
        if chunk.sequence < self._next_sequence or chunk.sequence in self._out_of_order:
            return ()
        if len(self._out_of_order) >= MAX_OUT_OF_ORDER_CHUNKS:
            self._overflowed = True
            return ()
        self._out_of_order[chunk.sequence] = chunk.payloads
        ready: list[bytes] = []
        while self._next_sequence in self._out_of_order:
            ready.extend(self._out_of_order.pop(self._next_sequence))
            self._next_sequence += 1
        self._digest.update(ready)
        return tuple(ready)

    def accept_finish(self, finished: messages.AttemptFinished) -> None:
        """Records the final message of the attempt, with its chunk count and digest."""
        self._finished = finished

    def check_completeness(self) -> Completeness:
        """Returns whether the answer is incomplete, complete or corrupt."""
        if self._overflowed:
            return Corrupt("too many chunks out of order")
        finished = self._finished
        if finished is None:
            return Incomplete()
        if self._next_sequence > finished.chunks:
            return Corrupt(f"{self._next_sequence} chunks of {finished.chunks}")
        if self._next_sequence < finished.chunks:
            return Incomplete()
        if self._digest.compute() != finished.digest:
            return Corrupt("digest differs")
        return Complete(finished.tokens)
