"""Servers whose HTTP answers don't end, or are larger than they look."""

import asyncio
import gzip

PART_BYTES = 16_384
OK = b"HTTP/1.1 200 OK\r\n"
JSON = b"Content-Type: application/json\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"X-Filler: " + b"a" * 200 + b"\r\n"
# Size of a body of `BOMB` once it is decoded.
DECODED_BYTES = 256 << 20


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def _build_bomb():
    data = gzip.compress(b" " * DECODED_BYTES)
    head = b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(data)
    return OK + JSON + head + data


BOMB = _build_bomb()
# Start of the answer and the part that is repeated without end, by what has no end.
ENDLESS = {
    "head": (OK, FILLER),
    "reason": (b"HTTP/1.1 200 ", b"a" * 200),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n" + FILLER + b"\r\n"),
    "body": (OK + JSON + b"\r\n", b"a" * 200),
    "chunks": (OK + JSON + CHUNKED, _chunk(b"[" * 200)),
    "trailers": (OK + JSON + CHUNKED + _chunk(b"{}") + b"0\r\n", FILLER),
    "decoded body": (BOMB, b""),
}


class EndlessPeer:
    """HTTP server that answers each request with one of `ENDLESS`."""

    def __init__(self, kind, pause_s=0.0, media_type=None):
        self._start, self._part = ENDLESS[kind]
        if media_type is not None:
            line = b"Content-Type: %s\r\n" % media_type
            self._start = self._start.replace(JSON, line)
        self._pause_s = pause_s
        self._server = None
        self.requests = 0
        self.sent_bytes = 0
        self.url = ""
        self.port = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self._start)
            part = self._part
            if not self._pause_s and part:
                part *= max(1, PART_BYTES // len(part))
            while True:
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
                await asyncio.sleep(self._pause_s if part else 0.1)
                if reader.at_eof():
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
