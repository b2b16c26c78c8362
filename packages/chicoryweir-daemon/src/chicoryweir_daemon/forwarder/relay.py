"""Relays an endpoint's answer to its caller."""

from __future__ import annotations

import dataclasses
import typing

from chicoryweir_daemon.forwarder import eventstream
from chicoryweir_daemon.http1 import callers
from chicoryweir_daemon.http1 import heads

# An answer up to this size is held until it is whole, so that a broken one can be
# asked for again; a longer one is passed on as it comes.
HOLD_BYTES = 262_144


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A whole answer that has not been passed on."""

    head: heads.AnswerHead
    body: bytes


class Relay(typing.Protocol):
    """Passes one answer on, over several attempts where it may be resumed."""

    begun: bool

    def start(self, head: heads.AnswerHead) -> None:
        """Takes the head of an attempt's answer."""

    def feed(self, data: bytes) -> bool:
        """Takes a part of the body; tells whether the caller got something."""

    def finish(self) -> bool:
        """Takes the end of the answer; False when it can't have been whole."""

    @property
    def resume_after(self) -> bytes | None:
        """Id of the last event that the caller has."""


class BodyRelay:
    """Passes on an opaque body."""

    def __init__(self, answer: callers.Answer) -> None:
        self._answer = answer
        self._head: heads.AnswerHead | None = None
        self._held = bytearray()
        self.begun = False

    @property
    def resume_after(self) -> bytes | None:
        """An opaque body can't be resumed."""
        return None

    def start(self, head: heads.AnswerHead) -> None:
        """Takes the head of an attempt's answer."""
        self._head = head
        self._held = bytearray()

    def feed(self, data: bytes) -> bool:
        """Takes a part of the body; holds it while it is short."""
        if self.begun:
            self._answer.write(data)
            return True
        self._held += data
        if len(self._held) <= HOLD_BYTES:
            return False
        self._begin(sized=False)
        return True

    def finish(self) -> bool:
        """Ends the answer as whole."""
        if not self.begun:
            self._begin(sized=True)
        self._answer.finish()
        return True

    def _begin(self, sized: bool) -> None:
        assert self._head is not None
        self.begun = True
        write_head(self._answer, self._head, len(self._held) if sized else None)
        self._answer.write(bytes(self._held))
        self._held = bytearray()


class EventRelay:
    """Passes on whole events, and goes on where a broken attempt ended."""

    def __init__(self, answer: callers.Answer, last_event_id: bytes | None) -> None:
        self._answer = answer
        self._head: heads.AnswerHead | None = None
        self._splitter = eventstream.EventSplitter()
        self._last_id = last_event_id
        self.begun = False

    @property
    def resume_after(self) -> bytes | None:
        """Id of the last event that the caller has."""
        return self._last_id

    def start(self, head: heads.AnswerHead) -> None:
        """Takes the head of an attempt's answer; the first one is kept."""
        self._splitter = eventstream.EventSplitter()
        if not self.begun:
            self._head = head

    def feed(self, data: bytes) -> bool:
        """Passes on the events that are whole and that the caller lacks."""
        passed = False
        for event in self._splitter.feed(data):
            if self._is_repeated(event):
                continue
            self._begin()
            self._answer.write(event.data)
            passed = True
            if event.event_id is not None:
                self._last_id = event.event_id
        return passed

    def finish(self) -> bool:
        """Ends the answer unless it ended within an event."""
        if self._splitter.has_rest:
            return False
        self._begin()
        self._answer.finish()
        return True

    def _begin(self) -> None:
        if not self.begun:
            assert self._head is not None
            self.begun = True
            write_head(self._answer, self._head, None)

    def _is_repeated(self, event: eventstream.StreamEvent) -> bool:
        if self._last_id is None or event.event_id is None:
            return False
        if not (self._last_id.isdigit() and event.event_id.isdigit()):
            return event.event_id == self._last_id
        return int(event.event_id) <= int(self._last_id)


def write_head(
    answer: callers.Answer, head: heads.AnswerHead, length: int | None
) -> None:
    """Writes an endpoint's head; `length` None when the body's isn't known."""
    kept = [
        header
        for header in heads.strip_connection_headers(head.headers)
        if header[0].lower() != b"content-length"
    ]
    if length is not None and heads.has_body(head.status):
        kept.append((b"Content-Length", b"%d" % length))
    answer.start(head.status, head.reason, kept, has_length=length is not None)
