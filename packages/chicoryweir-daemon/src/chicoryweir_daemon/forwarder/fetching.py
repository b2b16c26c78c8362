"""Makes one HTTP call over a pooled connection, with a timeout."""

from __future__ import annotations

import asyncio
import dataclasses

from chicoryweir_daemon.http1 import answerparser
from chicoryweir_daemon.http1 import connections
from chicoryweir_daemon.http1 import heads

# Maximum size of an answer. The store's and other entries' answers have at most some
# 1.5 MB, the counts of a rank some 40 KB.
MAX_REPLY_BYTES = 8_388_608
# Maximum size of a rank's answer; what is decoded from it can take many times as much.
MAX_RANK_REPLY_BYTES = 1_048_576
# Memory of an answer's body, its copy and what is decoded from it, as a multiple of its
# size.
DECODED_FACTOR = 3


class FetchError(Exception):
    """A call got no complete answer; it may have taken effect if `sent` is True.

    Attributes:
        step: Step that failed.
        peer: Host and port of the peer.
        sent: Whether the call was sent.
    """

    def __init__(self, step: str, peer: str, detail: str, sent: bool) -> None:
        super().__init__(f"{step} at {peer}: {detail}")
        self.step = step
        self.peer = peer
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Head and body of an answer."""

    head: heads.AnswerHead
    body: bytes

    @property
    def status(self) -> int:
        """Status code of the answer."""
        return self.head.status


async def fetch(
    pool: connections.Pool,
    address: connections.Address,
    method: bytes,
    target: bytes,
    body: bytes,
    timeout_s: float,
    headers: tuple[heads.Header, ...] = (),
    max_bytes: int = MAX_REPLY_BYTES,
) -> Reply:
    """Makes one call and returns its answer.

    Args:
        pool: Connection pool.
        address: Peer to call.
        method: HTTP method.
        target: Path and query.
        body: Body; empty for none.
        timeout_s: Time limit of the whole call, in seconds.
        headers: Headers besides Host and Content-Length.
        max_bytes: Maximum size of the answer's body, in bytes.

    Raises:
        FetchError: No complete answer arrived in time.
    """
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + timeout_s
    try:
        connection = await pool.acquire(address, False, loop.time())
    except connections.ConnectError as error:
        raise FetchError("connect", str(address), str(error), sent=False) from error
    is_complete = False
    try:
        fields = [(b"Host", str(address).encode()), *headers]
        if body or method != b"GET":
            fields.append((b"Content-Length", b"%d" % len(body)))
        connection.send_request(heads.encode_request(method, target, fields) + body)
        head, data = await _read(connection, str(address), deadline_at, max_bytes)
        is_complete = True
    finally:
        if not is_complete:
            connection.abort()
    pool.release(address, connection, head, loop.time())
    return Reply(head, data)


async def _read(
    connection: connections.Connection, peer: str, deadline_at: float, max_bytes: int
) -> tuple[heads.AnswerHead, bytes]:
    loop = asyncio.get_running_loop()
    head: heads.AnswerHead | None = None
    body = bytearray()
    while True:
        remaining_s = deadline_at - loop.time()
        event = await connection.receive(remaining_s) if remaining_s > 0 else None
        match event:
            case None:
                raise FetchError("receive", peer, "no answer in time", sent=True)
            case answerparser.Broken(detail):
                raise FetchError("receive", peer, detail, sent=True)
            case heads.AnswerHead():
                head = event
            case answerparser.BodyPart(data):
                body += data
                connection.hold(len(body) * DECODED_FACTOR)
                if len(body) > max_bytes:
                    detail = f"an answer longer than {max_bytes} bytes"
                    raise FetchError("receive", peer, detail, sent=True)
            case answerparser.End():
                assert head is not None
                return head, bytes(body)
