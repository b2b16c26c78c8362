"""Stand-ins for the platform: its store, and endpoints with scripted answers."""

import asyncio
import base64
import collections
import dataclasses
import json
import urllib.parse

from chicoryweir_daemon.forwarder import process
from chicoryweir_daemon.forwarder import service

# Connections that wait to be accepted; a test opens 200 at once.
BACKLOG = 1024
# Largest head that an endpoint reads.
MAX_HEAD_BYTES = 1 << 20


def build_configuration(version=7, **changes):
    """Returns a configuration in the platform's format, with one route per kind."""
    kind_by_prefix = {
        "/stream/": {"kind": "stream", "stream_resume": True, "max_attempts": 3},
        "/once/": {"kind": "non_idempotent", "max_attempts": 1},
        "/again/": {"kind": "idempotent", "max_attempts": 2},
        "/slow/": {"kind": "idempotent", "max_attempts": 2, "timeout_ms": 300},
    }
    routes = [
        {
            "name": prefix.strip("/"),
            "host": "h.example",
            "prefix": prefix,
            "timeout_ms": 8000,
            "target_latency_ms": 500,
            "priority": 1,
            "service": "svc",
            "public": False,
            **kind,
        }
        for prefix, kind in kind_by_prefix.items()
    ]
    config = {
        "version": version,
        "routes": routes,
        "services": [{"name": "svc", "health_path": "/health", "max_connections": 9}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 5000,
        },
        "tenants": [{"name": "w", "api_keys": ["key"], "priority": 1}],
    }
    return config | changes


class StoreStandIn:
    """HTTP server with the interface of the platform's metadata store."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.down = False
        # While this is set, calls get no answer and their connections stay open.
        self.silent = False
        # Returns whether a call gets no answer, by its path and query.
        self.loses = lambda target: False
        self._open = set()
        self._muted = set()
        self.history_start = 0
        self.era = 1
        self.calls = collections.Counter()
        self.port = 0

    def put(self, table, key, value):
        self.version += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(data).decode(),
            "ver": self.version,
        }
        self.rows[table, key] = row
        self.history.append(row)

    def delete(self, table, key):
        self.version += 1
        self.rows.pop((table, key), None)
        row = {"table": table, "part": "", "key": key, "ver": self.version}
        self.history.append(row | {"tombstone": True})

    def drop_history(self):
        """Deletes the history of changes but keeps the rows."""
        self.version += 1
        self.history_start = self.version
        self.history.clear()

    def copy(self):
        """Returns a copy of the contents, for `restore`."""
        return dict(self.rows), self.version, list(self.history), self.history_start

    def restore(self, copy):
        """Restores a copy; versions assigned since then are assigned again."""
        rows, self.version, history, self.history_start = copy
        self.rows, self.history = dict(rows), list(history)
        self.era += 1

    def assign_versions(self, count):
        """Assigns versions to changes of a row that nobody reads."""
        for _ in range(count):
            self.put("unread", "row", {})

    async def start(self):
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=BACKLOG
        )
        self.port = server.sockets[0].getsockname()[1]
        return server

    def mute_connections(self):
        """Leaves all calls on the connections that are open now unanswered."""
        self._muted |= self._open

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                if self.down:
                    break
                method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
                is_lost = self.silent or self.loses(target)
                status, answer = await self._answer(method, target, body)
                if (
                    is_lost
                    or self.silent
                    or self.loses(target)
                    or writer in self._muted
                ):
                    await reader.read()
                    break
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                    % (status, self.era, len(data))
                )
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._open.discard(writer)
            self._muted.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        call = url.path.rsplit("/", 1)[-1]
        self.calls[call] += 1
        if call == "rows-tx":
            return self._transact(json.loads(body))
        if call == "rows-get":
            rows = [
                row
                for (table, key), row in sorted(self.rows.items())
                if table == query["table"] and key >= query.get("from", "")
            ]
            limit = int(query.get("limit", 500))
            more = len(rows) > limit
            return 200, {
                "rows": rows[:limit],
                "has_more": more,
                "ver": self.version,
                "now_ms": 1,
            }
        after = int(query["after_rev"])
        waits = int(query.get("wait_ms", 0)) // 10
        while True:
            found = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["ver"] > after
            ]
            if not self.history_start <= after <= self.version:
                return 410, {"rows": [], "ver": self.version, "now_ms": 1}
            if found or self.down or not waits:
                return 200, {"rows": found, "ver": self.version, "now_ms": 1}
            waits -= 1
            await asyncio.sleep(0.01)

    def _transact(self, body):
        for check in body["expected_rev"]:
            row = self.rows.get((check["table"], check["key"]))
            if (row["ver"] if row else 0) != check["ver"]:
                return 412, {"rows": [row] if row else [], "ver": self.version}
        for write in body["writes"]:
            data = base64.b64decode(write["value"])
            self.put(write["table"], write["key"], data)
        for row in body["remove"]:
            self.delete(row["table"], row["key"])
        return 200, {"ver": self.version, "now_ms": 1}


async def read_message(reader):
    """Reads a message with a content length or chunks; returns head and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    headers = parse_headers(head)
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int(await reader.readline(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return head, body
    return head, await reader.readexactly(int(headers.get("content-length", 0)))


def parse_headers(head):
    """Returns the headers of a head by name in lower case."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if ":" in line)
    return {name.lower(): value.strip() for name, _, value in pairs}


def build_answer(attempt, body=b"whole", status=200, **headers):
    """Returns an endpoint's answer with a content length and a server stamp."""
    fields = {
        "Chicoryweir-Attempt-Id": attempt,
        "Chicoryweir-Server-Stamp": "stamp",
        "Content-Length": str(len(body)),
    }
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode() + body


class EndpointStandIn:
    """HTTP endpoint that passes each request to a handler, which writes the answer."""

    def __init__(self, name, handler):
        self.name = name
        self.handler = handler
        self.requests = []
        self.closed_by_client = 0
        self.connections = 0
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        """Listens on a free port, or after a crash on the same port again."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=BACKLOG, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self._server

    def close(self):
        """Closes the listener."""
        self._server.close()

    def crash(self):
        """Closes the listener and resets all connections."""
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def build_registration(self, **changes):
        return {
            "service": "svc",
            "address": f"127.0.0.1:{self.port}",
            "zone": "telavi",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1,
        } | changes

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                head, body = await read_message(reader)
                headers = parse_headers(head)
                self.requests.append((head.split(b"\r\n")[0].decode(), headers, body))
                disconnect = asyncio.create_task(reader.read(1))
                run = asyncio.create_task(self.handler(self, headers, writer))
                await asyncio.wait({disconnect, run}, return_when="FIRST_COMPLETED")
                if disconnect.done():
                    self.closed_by_client += 1
                    run.cancel()
                    return
                disconnect.cancel()
                await asyncio.gather(disconnect, return_exceptions=True)
                if writer.is_closing():
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclasses.dataclass
class System:
    """A running entry and its store."""

    store: StoreStandIn
    entry: service.Service
    settings: process.Settings
    task: asyncio.Task

    async def call(
        self, path, *, body=b"", attempt="a1", key="key", method="POST", **headers
    ):
        """Sends a request; returns status, headers, body and whether it is complete."""
        reader, writer = await self.connect()
        writer.write(self.encode_request(path, body, attempt, key, method, **headers))
        try:
            return await self.read_answer(reader)
        finally:
            writer.close()

    async def connect(self):
        return await asyncio.open_connection(
            self.settings.callers.host, self.settings.callers.port
        )

    def encode_request(
        self, path, body=b"", attempt="a1", key="key", method="POST", **headers
    ):
        fields = {
            "Host": "h.example",
            "Chicoryweir-Attempt-Id": attempt,
            "Chicoryweir-Deadline-Remaining-Ms": "3000",
            "Chicoryweir-Credential": key,
            "Content-Length": str(len(body)) if body or method != "GET" else "",
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines = "".join(f"{n}: {v}\r\n" for n, v in fields.items() if v)
        return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body

    async def read_answer(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        headers = parse_headers(head)
        status = int(head.split(b" ")[1])
        body, complete = b"", False
        try:
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int(await reader.readuntil(b"\r\n"), 16)
                    body += (await reader.readexactly(size + 2))[:-2]
                    if not size:
                        complete = True
                        break
            else:
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                complete = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        return status, headers, body, complete


async def wait_until(condition, timeout_s=5.0):
    """Waits until a condition holds; raises AssertionError after `timeout_s`."""
    for _ in range(int(timeout_s / 0.01)):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not hold within the timeout")


async def wait_until_listening(listener, timeout_s=5.0):
    """Waits until a listener accepts connections."""
    async with asyncio.timeout(timeout_s):
        while True:
            try:
                _, writer = await asyncio.open_connection(listener.host, listener.port)
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
            else:
                writer.close()
                return


class UnchangedSettings:
    """Settings source that never changes."""

    def ends_within_line(self):
        return False

    def has_changed(self):
        return False

    def load(self):
        raise ValueError("no file")


class FixedSettings:
    """Settings source that always has the same settings."""

    def __init__(self, settings):
        self._settings = settings

    def has_changed(self):
        return False

    def ends_within_line(self):
        return False

    def load(self):
        return self._settings


class SettingsStandIn:
    """Settings source that a test changes; None stands for an invalid file."""

    def __init__(self):
        self.settings = None
        self.changed = False
        self.unended = False

    def ends_within_line(self):
        return self.unended

    def has_changed(self):
        changed, self.changed = self.changed, False
        return changed

    def load(self):
        if self.settings is None:
            raise ValueError("bounds.grace_s: '?' is no number")
        return self.settings
