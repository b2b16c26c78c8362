"""Relays an endpoint's answer to its caller."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_daemon.forwarder import eventstream
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import heads

# An answer up to this size is buffered until it is complete, so that the request can be
# retried if the answer ends early; a longer answer is relayed as it arrives.
MAX_BUFFERED_BYTES = 262_144
# Maximum number of bytes of a stream that are received in a row without an event that
# the caller lacks.
MAX_UNSENT_BYTES = 262_144


class RelayError(Exception):
    """A body can't be relayed; the message gives the reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """A complete answer that has not been sent to the caller."""

    head: heads.AnswerHead
    body: bytes


class Relay(typing.Protocol):
    """Relays one answer, over several attempts if it can be resumed.

    Attributes:
        begun: Whether part of the answer was sent to the caller.
    """

    begun: bool

    def start(self, head: heads.AnswerHead) -> None:
        """Starts to relay the answer of an attempt.

        Raises:
            RelayError: The answer doesn't go on with the one that has begun.
        """

    def feed(self, data: bytes) -> bool:
        """Processes part of the body; returns whether the answer made progress.

        Raises:
            RelayError: The body is not one that can be relayed.
        """

    def finish(self) -> bool:
        """Ends the answer; returns False if it is incomplete."""

    @property
    def resume_after(self) -> bytes | None:
        """Id of the last event that was sent to the caller."""


class BodyRelay:
    """Relays an opaque body, buffered up to a size limit."""

    def __init__(self, answer: callers.Answer) -> None:
        self._answer = answer
        self._head: heads.AnswerHead | None = None
        self._buffer = bytearray()
        self.begun = False

    @property
    def resume_after(self) -> bytes | None:
        """None, because an opaque body can't be resumed."""
        return None

    def start(self, head: heads.AnswerHead) -> None:
        """Starts to relay the answer of an attempt.

        Raises:
            RelayError: Part of another answer was sent to the caller.
        """
        if self.begun:
            raise RelayError("a second answer after the body had begun")
        self._head = head
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bool:
        """Buffers part of the body, or sends it once the limit is exceeded."""
        if self.begun:
            self._answer.write(data)
            return True
        self._buffer += data
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._begin(sized=False)
        self._answer.hold(len(self._buffer))
        return True

    def finish(self) -> bool:
        """Ends the answer as complete."""
        if not self.begun:
            self._begin(sized=True)
        self._answer.finish()
        return True

    def _begin(self, sized: bool) -> None:
        assert self._head is not None
        self.begun = True
        write_head(self._answer, self._head, len(self._buffer) if sized else None)
        self._answer.write(bytes(self._buffer))
        self._buffer = bytearray()


class EventRelay:
    """Relays complete events; resumes after the last event of a broken attempt."""

    def __init__(self, answer: callers.Answer, last_event_id: bytes | None) -> None:
        self._answer = answer
        self._head: heads.AnswerHead | None = None
        self._splitter = eventstream.EventSplitter()
        self._last_id = last_event_id
        self._unsent_bytes = 0
        self._may_be_empty = True
        self.begun = False

    @property
    def resume_after(self) -> bytes | None:
        """Id of the last event that was sent to the caller."""
        return self._last_id

    def start(self, head: heads.AnswerHead) -> None:
        """Starts to relay the answer of an attempt; the caller gets the first head.

        Raises:
            RelayError: The stream has begun, and the answer is not part of it.
        """
        if self.begun:
            assert self._head is not None
            _check_resumes(self._head, head)
        self._splitter = eventstream.EventSplitter()
        self._unsent_bytes = 0
        # Without a length or chunks, the end of a process before its first event looks
        # like an empty stream. A resumed stream may have no events left.
        self._may_be_empty = not head.ends_at_close or self._last_id is not None
        if not self.begun:
            self._head = head

    def feed(self, data: bytes) -> bool:
        """Sends the complete events that the caller hasn't received yet.

        Returns whether any of them has data: comments and bytes of an incomplete event
        are no progress.

        Raises:
            RelayError: There was no such event in `MAX_UNSENT_BYTES`.
        """
        sent = has_data = False
        for event in self._splitter.feed(data):
            if self._is_duplicate(event):
                continue
            self._begin()
            self._answer.write(event.data)
            sent = True
            has_data = has_data or not event.is_empty
            if event.event_id is not None:
                self._last_id = event.event_id
        self._unsent_bytes = 0 if sent else self._unsent_bytes + len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            raise RelayError(f"{self._unsent_bytes} bytes without a new event")
        self._answer.hold(self._splitter.pending_bytes)
        return has_data

    def finish(self) -> bool:
        """Ends the answer unless an event is incomplete or there should be one."""
        if self._splitter.has_partial_event:
            return False
        if not (self.begun or self._may_be_empty):
            return False
        self._begin()
        self._answer.finish()
        return True

    def _begin(self) -> None:
        if not self.begun:
            assert self._head is not None
            self.begun = True
            write_head(self._answer, self._head, None)

    def _is_duplicate(self, event: eventstream.StreamEvent) -> bool:
        if self._last_id is None or event.event_id is None:
            return False
        last_number = heads.parse_whole_number(self._last_id)
        number = heads.parse_whole_number(event.event_id)
        if last_number is None or number is None:
            return event.event_id == self._last_id
        return number <= last_number


def _check_resumes(first: heads.AnswerHead, head: heads.AnswerHead) -> None:
    """Raises `RelayError` unless an answer can go on with a stream that has begun."""
    if head.status != first.status:
        raise RelayError(f"status {head.status} after the stream had begun")
    media_type, expected = _read_media_type(head), _read_media_type(first)
    if media_type != expected:
        raise RelayError(f"{media_type!r} after a stream of {expected!r} had begun")


def _read_media_type(head: heads.AnswerHead) -> bytes:
    value = head.find(b"content-type") or b""
    return value.partition(b";")[0].strip().lower()


def write_head(
    answer: callers.Answer, head: heads.AnswerHead, length: int | None
) -> None:
    """Writes the head of an endpoint's answer.

    Args:
        answer: Answer to the caller.
        head: Head of the endpoint's answer.
        length: Length of the body in bytes; None if unknown.
    """
    headers = [
        header
        for header in heads.strip_connection_headers(head.headers)
        if header[0].lower() != b"content-length"
    ]
    if length is not None and heads.has_body(head.status):
        headers.append((b"Content-Length", b"%d" % length))
    answer.start(head.status, head.reason, headers, has_length=length is not None)
