"""Stand-in for the platform's store, as PROTOCOL.md describes it (rows only)."""

import asyncio
import base64
import json
import time
import urllib.parse

import httpio

# Time of an answer, as on the sheet of a small deployment.
ANSWER_S = 0.004


class Store:
    """Rows of tables in memory, with their history; nothing of it is lost."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        # While this is set, no call is answered. A connection on which an answer is
        # lost delivers nothing further.
        self.silent = False
        self._changed = asyncio.Event()

    async def start(self, host, port):
        """Serves until the program ends."""
        return await asyncio.start_server(self._serve, host, port, backlog=512)

    def put(self, table, key, value):
        """Writes a row as the operator or a worker does."""
        self._write(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())
        self._notify()

    def remove(self, table, key):
        """Removes a row."""
        self._drop(table, "", key)
        self._notify()

    def _write(self, table, part, key, value):
        self.version += 1
        row = {"table": table, "part": part, "key": key, "value": value,
               "ver": self.version}
        self.rows[table, part, key] = row
        self.history.append(row)

    def _drop(self, table, part, key):
        if self.rows.pop((table, part, key), None) is None:
            return
        self.version += 1
        self.history.append({"table": table, "part": part, "key": key,
                             "ver": self.version, "tombstone": True})

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await httpio.read_head(reader)
                body = await httpio.read_body(reader, headers)
                method, target, _ = first.split(" ")
                await asyncio.sleep(ANSWER_S)
                is_lost = self.silent
                status, answer = await self._answer(method, target, body)
                if is_lost or self.silent:
                    while await reader.read(65536):
                        pass
                    return
                data = json.dumps(answer | {"now_ms": int(time.monotonic() * 1000)})
                writer.write(httpio.encode_answer(
                    status, {"Content-Type": "application/json"}, data.encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/chicoryweir/rows-tx":
            return self._transact(json.loads(body))
        if url.path == "/chicoryweir/rows-get":
            return self._get(query)
        if url.path == "/chicoryweir/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _get(self, query):
        first, last = query.get("from", ""), query.get("to")
        found = [row for (table, part, key), row in sorted(self.rows.items())
                 if table == query["table"] and part == query.get("part", "")
                 and key >= first and (not last or key < last)]
        limit = min(500, int(query.get("limit", 500)))
        return 200, {"rows": found[:limit], "has_more": len(found) > limit,
                     "ver": self.version}

    async def _feed(self, query):
        after, table = int(query["after_rev"]), query["table"]
        until = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
        while True:
            found = [row for row in self.history
                     if row["table"] == table and row["ver"] > after]
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                return 200, {"rows": found, "ver": self.version}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, call):
        checks = call.get("expected_rev", [])
        keys = [(row["table"], row.get("part", ""), row["key"]) for row in checks]
        present = [self.rows.get(key) for key in keys]
        for row, check in zip(present, checks, strict=True):
            if (row["ver"] if row else 0) != check["ver"]:
                return 412, {"rows": [row for row in present if row],
                             "ver": self.version}
        written = [*call.get("writes", []), *call.get("remove", [])]
        if any(row["table"] in ("op", "servers") for row in written):
            return 403, {"ver": self.version}
        # A transaction has one version, which all of its rows share.
        for row in call.get("writes", []):
            self._write(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in call.get("remove", []):
            self._drop(row["table"], row.get("part", ""), row["key"])
        if written:
            self._notify()
        return 200, {"ver": self.version}
