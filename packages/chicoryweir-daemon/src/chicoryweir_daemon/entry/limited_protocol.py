"""HTTP protocol of uvicorn with limits for heads and trailers, which it lacks."""

from __future__ import annotations

import typing

from uvicorn.protocols.http import httptools_impl

# Maximum number of bytes in a row that are neither a whole head nor a body; settings
# allow heads of up to 1 MiB.
MAX_BYTES = (1 << 20) + 65_536
# A head of 64 KiB has at most this many header lines.
MAX_LINES = 16_384
MAX_TRAILER_LINES = 64


class TooManyLinesError(Exception):
    """A head or its trailers have too many lines; the request is answered with 400."""


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Server side of a connection whose heads and trailers have limits."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Creates a protocol; takes what uvicorn passes to its own."""
        super().__init__(*args, **kwargs)
        self._unusable_bytes = 0
        self._lines = 0
        self._in_body = False

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; rejects a head or trailers without end."""
        self._unusable_bytes += len(data)
        super().data_received(data)
        if self._unusable_bytes > MAX_BYTES and not self.transport.is_closing():
            self.send_400_response("The head or the trailers are too long.")

    def on_message_begin(self) -> None:
        """Resets the counts for a new request."""
        super().on_message_begin()
        self._lines = 0
        self._in_body = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; counts and drops a trailer.

        Raises:
            TooManyLinesError: There are too many.
        """
        self._lines += 1
        if self._lines > (MAX_TRAILER_LINES if self._in_body else MAX_LINES):
            raise TooManyLinesError
        if not self._in_body:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts to handle the request."""
        self._in_body = True
        self._lines = self._unusable_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Passes a part of the body on."""
        self._unusable_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends the request."""
        self._unusable_bytes = 0
        super().on_message_complete()
