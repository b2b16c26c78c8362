"""Minimal HTTP/1.1 server and messages for the stand-ins."""

import asyncio


class Request:
    """One parsed request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body


async def read_headers(reader):
    """Reads a head; returns its first line and headers by lower-case name."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    """Reads one request with a content length or chunks."""
    line, headers = await read_headers(reader)
    method, target, _ = line.split(" ")
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(await reader.readline(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def encode_answer(status, headers, body=b"", chunked=False):
    """Encodes an answer; a chunked one without its body."""
    fields = dict(headers)
    if chunked:
        fields["Transfer-Encoding"] = "chunked"
    else:
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode("latin-1") + body


def encode_chunk(data):
    """Encodes one chunk of a chunked body; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def serve(host, port, handle, backlog=1024):
    """Serves connections; `handle(request, writer)` returns False to close."""

    async def serve_connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if await handle(request, writer) is False:
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port, backlog=backlog)
