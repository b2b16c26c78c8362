"""Clients as PROTOCOL.md describes them."""

import asyncio
import dataclasses
import json
import random
import re

from standins import http
from standins import platform

_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


@dataclasses.dataclass
class Result:
    """What a client saw of one attempt.

    Attributes:
        status: Status of the answer; 0 if the connection ended before one.
        complete: Whether the answer ended as its framing says.
        gave_up: Whether the client left at its deadline.
        stamped: Whether the answer bears a worker's signature.
        body: Body as far as it came.
        retry_after: Value of `Retry-After`.
        sent_at: When the last byte of the request was sent, in the record's time.
        ended_at: When the attempt ended.
    """

    attempt: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    gave_up: bool = False
    stamped: bool = False
    body: bytes = b""
    retry_after: str = ""

    @property
    def event_ids(self):
        """Returns the ids of the events that came."""
        return [int(found) for found in _EVENT_ID.findall(self.body)]


def make_attempt_id():
    """Returns an id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def build_request(path, attempt, deadline_ms, method="POST", body=b"x", **headers):
    """Encodes a request."""
    fields = {
        "Host": platform.HOST,
        "Chicoryweir-Attempt-Id": attempt,
        "Chicoryweir-Deadline-Remaining-Ms": str(deadline_ms),
        "Chicoryweir-Credential": platform.KEY,
    }
    if method != "GET":
        fields["Content-Length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    head = f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()
    return head + (body if method != "GET" else b"")


def describe_prompt(prompt_tokens=714, answer_tokens=140, part="5c1e07a2"):
    """Returns the headers of a request to a model."""
    own = f"{random.getrandbits(32):08x}"
    return {
        "Chicoryweir_Model": "m",
        "Chicoryweir_Token_Counts": f"{prompt_tokens},{answer_tokens}",
        "Chicoryweir_Prompt_Prefix": f"{part}:40,{own}:{prompt_tokens - 40}",
    }


async def send(record, address, attempt, data, deadline_ms):
    """Sends one request on a new connection and reads its answer."""
    host, port = address
    result = Result(attempt)
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        result.ended_at = record.now()
        return result
    try:
        writer.write(data)
        result.sent_at = record.now()
        async with asyncio.timeout(deadline_ms / 1000):
            await _read_answer(reader, result)
    except TimeoutError:
        result.gave_up = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        result.ended_at = record.now()
        writer.close()
    return result


async def _read_answer(reader, result):
    line, headers = await http.read_headers(reader)
    result.status = int(line.split(" ")[1])
    result.stamped = "chicoryweir-server-stamp" in headers
    result.retry_after = headers.get("retry-after", "")
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            result.body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    else:
        result.body = await reader.readexactly(int(headers.get("content-length", 0)))
    result.complete = True


class Directory:
    """Addresses that one client keeps from its last answer of the directory."""

    def __init__(self, record, hosts, port, keeps=1.0):
        self._record = record
        self._hosts = hosts
        self._port = port
        self._keeps = keeps
        self._addresses = []
        self._until = 0.0

    async def pick(self):
        """Returns an address for a new connection; asks again if the answer is old."""
        if self._record.now() >= self._until:
            await self._ask()
        return random.choice(self._addresses) if self._addresses else None

    async def _ask(self):
        for host in random.sample(self._hosts, len(self._hosts)):
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, self._port)
                    writer.write(
                        f"GET /chicoryweir/resolve?name={platform.HOST}"
                        "&region=kakheti&zone=telavi HTTP/1.1\r\n"
                        "Host: directory\r\nConnection: close\r\n\r\n".encode()
                    )
                    line, headers = await http.read_headers(reader)
                    body = await reader.readexactly(int(headers["content-length"]))
                    writer.close()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                continue
            if " 200 " not in line:
                continue
            found = json.loads(body)
            self._addresses = [
                (a.rpartition(":")[0], int(a.rpartition(":")[2]))
                for a in found["addresses"]
            ]
            self._until = self._record.now() + self._keeps * found["ttl_s"]
            return
