"""Accounts for the memory that the connections of a process hold."""

from __future__ import annotations

import collections.abc
import enum
import sys
import typing

from chicoryweir_daemon.http1 import heads

# Memory of a header beside its bytes: a tuple, two bytes objects and two places in
# lists, as allocated by CPython 3.11 on a 64-bit machine.
HEADER_BYTES = 64 + 2 * 48 + 2 * 8
# Memory of a message or a part of a body beside its headers and bytes.
MESSAGE_BYTES = 512
PART_BYTES = 128
# Memory of a process that nobody calls: 44 MB, and more for a large configuration.
IDLE_PROCESS_BYTES = 56 << 20
# Share of the rest that connections may hold; the allocator's gaps, copies while a
# message is sent on and the tasks that handle requests need as much again.
CONNECTION_SHARE = 0.4
MIN_BYTES = 4 << 20
# Above `max_bytes` times this, also requests that run are ended.
HARD_FACTOR = 1.25
# After nothing could be released, the next attempt waits for this share more.
RETRY_SHARE = 1 / 64
READ_BUFFER_BYTES = 65_536


class Cause(enum.Enum):
    """Why a message was refused or a connection closed."""

    NO_MEMORY = "no memory"
    HEAD = "head too long"
    TRAILERS = "trailers too long"
    EMPTY_LINES = "too many empty lines"
    BODY = "body too long"
    SLOW = "request too slow"
    UNREAD = "answer not read"
    ANSWER = "answer beyond a limit"


class Holder(typing.Protocol):
    """A connection that holds memory."""

    def measure_memory(self) -> int:
        """Returns the memory that it holds now, in bytes."""

    def is_refusable(self) -> bool:
        """Returns whether nothing that it holds has begun to run."""

    def release_memory(self) -> None:
        """Refuses what has not begun, or ends the connection."""


def measure_headers(headers: collections.abc.Sequence[heads.Header]) -> int:
    """Returns the memory that parsed headers hold, in bytes."""
    return sum(len(name) + len(value) + HEADER_BYTES for name, value in headers)


def compute_max_bytes(memory_bytes: int, idle_bytes: int = IDLE_PROCESS_BYTES) -> int:
    """Returns the memory that connections may hold in a process, in bytes.

    Args:
        memory_bytes: Memory that the process may use, in bytes.
        idle_bytes: Memory that it uses when nobody calls, in bytes.
    """
    share = int((memory_bytes - idle_bytes) * CONNECTION_SHARE)
    return max(MIN_BYTES, share)


def _ignore(cause: Cause) -> None:
    """Records nothing."""


class Account:
    """Memory held by all connections of a process.

    Attributes:
        used_bytes: Memory that is held, in bytes.
        max_bytes: Memory above which nothing new is begun, in bytes.
        read_buffer: Buffer into which all connections receive; what is kept of it is
            copied before the next one receives.
        record_refusal: Counts what is refused.
    """

    def __init__(
        self,
        max_bytes: int = sys.maxsize,
        record_refusal: collections.abc.Callable[[Cause], None] = _ignore,
    ) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.record_refusal = record_refusal
        self._holdings: set[Holding] = set()
        self._retry_at_bytes = 0.0
        self._is_relieving = False

    @property
    def is_full(self) -> bool:
        """Whether more is held than allowed."""
        return self.used_bytes > self.max_bytes

    def open(self, holder: Holder) -> Holding:
        """Returns the holding of a new connection."""
        holding = Holding(self, holder)
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Removes the holding of a closed connection."""
        holding.update(0)
        self._holdings.discard(holding)

    def relieve(self) -> None:
        """Makes room if too much is held, from the largest holders first.

        What has not begun to run is refused. Far above the limit, also connections on
        which something runs are ended.
        """
        if self._is_relieving or self.used_bytes < self._retry_at_bytes:
            return
        self._is_relieving = True
        try:
            self._relieve()
        finally:
            self._is_relieving = False
        # Sorting for each received part would cost more than it releases.
        step_bytes = self.max_bytes * RETRY_SHARE
        self._retry_at_bytes = self.used_bytes + step_bytes if self.is_full else 0.0

    def _relieve(self) -> None:
        for holding in self._holdings:
            # What waited to be sent may have been sent meanwhile.
            holding.update(holding.holder.measure_memory())
        ordered = sorted(self._holdings, key=Holding.get_bytes, reverse=True)
        refusable = [holding for holding in ordered if holding.holder.is_refusable()]
        self._release(refusable, self.max_bytes)
        self._release(ordered, self.max_bytes * HARD_FACTOR)

    def _release(
        self, ordered: collections.abc.Iterable[Holding], max_bytes: float
    ) -> None:
        for holding in ordered:
            if self.used_bytes <= max_bytes or not holding.get_bytes():
                return
            self.record_refusal(Cause.NO_MEMORY)
            holding.holder.release_memory()
            holding.update(0)


class Holding:
    """Memory that one connection holds."""

    __slots__ = ("_account", "_held_bytes", "holder")

    def __init__(self, account: Account, holder: Holder) -> None:
        self._account = account
        self._held_bytes = 0
        self.holder = holder

    def get_bytes(self) -> int:
        """Returns the memory that is held, in bytes."""
        return self._held_bytes

    def update(self, held_bytes: int) -> None:
        """Sets the memory that is held, in bytes."""
        self._account.used_bytes += held_bytes - self._held_bytes
        self._held_bytes = held_bytes
