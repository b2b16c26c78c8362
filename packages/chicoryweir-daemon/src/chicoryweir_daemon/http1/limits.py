"""Limits on what callers, endpoints and the store may send or leave unread."""

from __future__ import annotations

import dataclasses

# Length of the shortest header line: a name of one byte, a colon and the line's end.
SHORTEST_LINE_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedLimits:
    """Limits of a process on received messages.

    Attributes:
        memory_bytes: Memory that all connections together may hold, in bytes; None for
            a share of the process's memory, see `memory.compute_max_bytes`.
        max_header_lines: Maximum number of header lines of a request; None for as many
            as its maximum number of bytes has room for.
        max_answer_lines: Maximum number of header lines of an answer.
        max_trailer_lines: Maximum number of trailer lines after a chunked body.
        max_trailer_bytes: Maximum number of bytes of trailers, or of bytes in a row
            within a chunked body that are not part of it.
        max_empty_lines: Maximum number of empty lines before a request.
        max_interim_answers: Maximum number of interim answers (1xx) before an answer.
        body_timeout_s: Maximum time to receive a request's body, in seconds.
        unread_timeout_s: Time after which a connection is closed whose caller doesn't
            read its answer, in seconds.
    """

    memory_bytes: int | None = None
    max_header_lines: int | None = None
    max_answer_lines: int = 1_000
    max_trailer_lines: int = 64
    max_trailer_bytes: int = 8_192
    max_empty_lines: int = 64
    max_interim_answers: int = 16
    body_timeout_s: float = 120.0
    unread_timeout_s: float = 10.0

    def compute_max_lines(self, max_head_bytes: int) -> int:
        """Returns the maximum number of header lines of a request."""
        if self.max_header_lines is not None:
            return self.max_header_lines
        return max_head_bytes // SHORTEST_LINE_BYTES


DEFAULT = ReceivedLimits()
