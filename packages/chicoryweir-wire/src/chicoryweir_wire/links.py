"""Authenticated websocket links that carry messages between daemons."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import os
import typing

from websockets.asyncio import client
from websockets.asyncio import connection
from websockets.asyncio import server
import websockets.exceptions

from chicoryweir_policy import messages
from chicoryweir_wire import authentication
from chicoryweir_wire import codec

HANDSHAKE_TIMEOUT_S = 5.0
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 4.0
FLUSH_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 1.0
MAX_QUEUED_MESSAGES = 10_000
MAX_MESSAGES_PER_FRAME = 64
# A frame takes no more messages once its payloads have this size; the largest message
# fits beside them.
MAX_FRAME_PAYLOAD_BYTES = 1 << 20
# Parts of answers are read from endpoints while no more than this is queued.
MAX_QUEUED_BYTES = 1 << 20


@dataclasses.dataclass(eq=False)
class LinkError(Exception):
    """A link failed.

    Attributes:
        step: Step that failed: `dial`, `handshake` or `receive`.
        peer: Address of the peer.
        detail: Description of the failure.
    """

    step: str
    peer: str
    detail: str


class Link:
    """An authenticated link to a peer."""

    def __init__(
        self,
        socket: connection.Connection,
        signer: authentication.FrameSigner,
        verifier: authentication.FrameVerifier,
        peer: str,
    ) -> None:
        self._socket = socket
        self._signer = signer
        self._verifier = verifier
        self._peer = peer
        self._outgoing: asyncio.Queue[messages.Message] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._queued_bytes = 0
        self._has_room = asyncio.Event()
        self._has_room.set()
        self.sent_bytes = 0
        self.received_bytes = 0

    def enqueue(self, message: messages.Message) -> bool:
        """Queues a message; returns False if the queue is full."""
        try:
            self._outgoing.put_nowait(message)
        except asyncio.QueueFull:
            return False
        self._queued_bytes += _measure_payloads(message)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._has_room.clear()
        return True

    async def await_room(self) -> None:
        """Waits while more than `MAX_QUEUED_BYTES` are queued on the open link."""
        await self._has_room.wait()

    async def run_sender(self) -> None:
        """Sends queued messages until the link closes."""
        with contextlib.suppress(websockets.exceptions.ConnectionClosed):
            while True:
                batch = [await self._outgoing.get()]
                await asyncio.sleep(0)
                batch_bytes = _measure_payloads(batch[0])
                while (
                    len(batch) < MAX_MESSAGES_PER_FRAME
                    and batch_bytes < MAX_FRAME_PAYLOAD_BYTES
                    and not self._outgoing.empty()
                ):
                    batch.append(self._outgoing.get_nowait())
                    batch_bytes += _measure_payloads(batch[-1])
                await self.send_frame(*batch)
                self._queued_bytes -= batch_bytes
                if self._queued_bytes <= MAX_QUEUED_BYTES:
                    self._has_room.set()
                for _ in batch:
                    self._outgoing.task_done()

    async def flush(self) -> None:
        """Waits until all queued messages are sent, up to `FLUSH_TIMEOUT_S`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._outgoing.join()

    async def send_frame(self, *batch: messages.Message) -> None:
        """Sends messages in one frame immediately, ahead of queued ones."""
        signed = self._signer.sign(codec.encode_frame(batch))
        self.sent_bytes += len(signed)
        await self._socket.send(signed)

    async def receive(self) -> tuple[messages.Message, ...]:
        """Returns the messages of the peer's next frame.

        Raises:
            LinkError: The link closed, or the frame is not authentic or malformed.
        """
        try:
            signed = await self._socket.recv()
        except websockets.exceptions.ConnectionClosed as error:
            raise LinkError("receive", self._peer, str(error)) from error
        frame = self._verifier.verify(signed) if isinstance(signed, bytes) else None
        if frame is None:
            raise LinkError("receive", self._peer, "frame is not authentic")
        self.received_bytes += len(frame)
        received = codec.decode_frame(frame)
        if isinstance(received, codec.Malformed):
            raise LinkError("receive", self._peer, received.detail)
        return received

    async def close(self) -> None:
        """Closes the link; aborts it if the peer doesn't reply in `CLOSE_TIMEOUT_S`."""
        # Nothing that waits is sent any more.
        self._has_room.set()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._socket.close()
        except TimeoutError:
            self._socket.transport.abort()


def _measure_payloads(message: messages.Message) -> int:
    """Returns the size of the parts of an answer in a message, in bytes."""
    if isinstance(message, messages.AttemptChunk):
        return sum(map(len, message.payloads))
    return 0


async def _perform_handshake(
    socket: connection.Connection, secret: bytes, is_dialer: bool, peer: str
) -> Link:
    own_nonce = os.urandom(authentication.NONCE_BYTES)
    await socket.send(own_nonce)
    peer_nonce = await socket.recv()
    if (
        not isinstance(peer_nonce, bytes)
        or len(peer_nonce) != authentication.NONCE_BYTES
    ):
        raise LinkError("handshake", peer, "no nonce")
    if is_dialer:
        keys = authentication.derive_keys(secret, own_nonce, peer_nonce)
        return Link(
            socket,
            authentication.FrameSigner(keys.dialer),
            authentication.FrameVerifier(keys.listener),
            peer,
        )
    keys = authentication.derive_keys(secret, peer_nonce, own_nonce)
    return Link(
        socket,
        authentication.FrameSigner(keys.listener),
        authentication.FrameVerifier(keys.dialer),
        peer,
    )


async def _exchange_hellos(
    link: Link, own: messages.Hello, peer: str
) -> messages.Hello:
    await link.send_frame(own)
    received = await link.receive()
    first = received[0]
    if not isinstance(first, messages.Hello) or len(received) > 1:
        raise LinkError("handshake", peer, "first message is no Hello")
    return first


async def dial_link(
    ip: str, port: int, secret: bytes, own: messages.Hello
) -> tuple[Link, messages.Hello]:
    """Opens a link to a daemon.

    Returns:
        The link and the peer's Hello.

    Raises:
        LinkError: The peer can't be reached or has a different secret.
    """
    peer = f"{ip}:{port}"
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            socket = await client.connect(
                f"ws://{ip}:{port}",
                compression=None,
                max_size=codec.MAX_FRAME_BYTES + authentication.MAC_BYTES,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                proxy=None,
            )
            link = await _perform_handshake(socket, secret, True, peer)
            hello = await _exchange_hellos(link, own, peer)
    except (OSError, TimeoutError, websockets.exceptions.WebSocketException) as error:
        raise LinkError("dial", peer, type(error).__name__) from error
    return link, hello


Handler = collections.abc.Callable[
    [Link, messages.Hello, messages.Hello], collections.abc.Awaitable[None]
]
HelloFactory = collections.abc.Callable[[], messages.Hello]


async def listen_links(
    ip: str, port: int, secret: bytes, make_hello: HelloFactory, handle: Handler
) -> server.Server:
    """Starts a server that accepts links and runs `handle` for each.

    Args:
        ip: Address to listen on.
        port: Port to listen on; 0 for any.
        secret: Secret shared by all daemons.
        make_hello: Creates this daemon's Hello for a new link.
        handle: Called with the link, the peer's Hello and this daemon's Hello; the link
            closes when it returns.
    """

    async def accept(socket: server.ServerConnection) -> None:
        peer = str(socket.remote_address)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                link = await _perform_handshake(socket, secret, False, peer)
                own = make_hello()
                hello = await _exchange_hellos(link, own, peer)
        except (LinkError, TimeoutError, websockets.exceptions.WebSocketException):
            return
        await handle(link, hello, own)

    return await server.serve(
        typing.cast(typing.Any, accept),
        ip,
        port,
        compression=None,
        max_size=codec.MAX_FRAME_BYTES + authentication.MAC_BYTES,
        ping_interval=PING_INTERVAL_S,
        ping_timeout=PING_TIMEOUT_S,
    )
