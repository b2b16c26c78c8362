"""Reads and writes HTTP/1.1 messages for the stand-ins."""

import asyncio


async def read_head(reader):
    """Returns the first line and the headers, by name in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if ":" in line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader):
    """Yields the chunks of a chunked body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return
        yield data


async def read_body(reader, headers):
    """Returns a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


def encode_head(first, headers):
    """Encodes a first line and headers."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_answer(status, headers, body=b""):
    """Encodes an answer with a length."""
    fields = {**headers, "Content-Length": len(body)}
    return encode_head(f"HTTP/1.1 {status} X", fields) + body


async def call(host, port, method, target, body=b"", headers=None, timeout_s=2.0):
    """Makes a call on a new connection; returns status and body."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            fields = {"Host": f"{host}:{port}", **(headers or {})}
            if body:
                fields["Content-Length"] = len(body)
            writer.write(encode_head(f"{method} {target} HTTP/1.1", fields) + body)
            first, found = await read_head(reader)
            return int(first.split(" ")[1]), await read_body(reader, found)
        finally:
            writer.close()
