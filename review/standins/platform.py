"""Stand-in for the platform's metadata store (PROTOCOL.md, the table form)."""

import asyncio
import base64
import json
import urllib.parse

from standins import http

TRANSACTION_S = 0.005
READ_S = 0.004


class Store:
    """Rows in tables, with transactions, reads and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.ver = 0
        self.port = 0
        self._changed = asyncio.Event()

    async def start(self, host, port):
        """Starts to listen."""
        await http.serve(host, port, self._handle)
        self.port = port

    def put(self, table, key, value):
        """Writes one row as the operator or a worker would; bytes stay as they are."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(table, "", key, base64.b64encode(data).decode(), self._raise())

    def remove(self, table, key):
        """Removes one row as the operator or the platform would."""
        self._remove(table, "", key, self._raise())

    def _raise(self):
        self.ver += 1
        return self.ver

    def _write(self, table, part, key, value, ver):
        row = {"table": table, "part": part, "key": key, "value": value, "ver": ver}
        self.rows[table, part, key] = row
        self._notify(row)

    def _remove(self, table, part, key, ver):
        if self.rows.pop((table, part, key), None) is not None:
            row = {"table": table, "part": part, "key": key, "ver": ver}
            self._notify(row | {"tombstone": True})

    def _notify(self, row):
        self.history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request, writer):
        call = request.path.rsplit("/", 1)[-1]
        query = dict(urllib.parse.parse_qsl(request.query, keep_blank_values=True))
        if call == "rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            status, answer = self._transact(json.loads(request.body))
        elif call == "rows-get":
            await asyncio.sleep(READ_S)
            status, answer = 200, self._get(query)
        elif call == "rows-feed":
            status, answer = 200, await self._feed(query)
        else:
            status, answer = 404, {}
        answer["now_ms"] = int(asyncio.get_running_loop().time() * 1000)
        body = json.dumps(answer).encode()
        headers = {"Content-Type": "application/json"}
        writer.write(http.encode_answer(status, headers, body))

    def _transact(self, body):
        conflicts = []
        for check in body.get("expected_rev", []):
            key = check["table"], check.get("part", ""), check["key"]
            row = self.rows.get(key)
            if (row["ver"] if row else 0) != check["ver"]:
                conflicts.append(key)
        if conflicts:
            checked = [
                self.rows.get((c["table"], c.get("part", ""), c["key"]))
                for c in body["expected_rev"]
            ]
            return 412, {"rows": [row for row in checked if row], "ver": self.ver}
        ver = self._raise()
        for row in body.get("writes", []):
            self._write(row["table"], row.get("part", ""), row["key"], row["value"], ver)
        for row in body.get("remove", []):
            self._remove(row["table"], row.get("part", ""), row["key"], ver)
        return 200, {"ver": ver}

    def _get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        return {"rows": found[:limit], "has_more": len(found) > limit, "ver": self.ver}

    async def _feed(self, query):
        after = int(query["after_rev"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("wait_ms", 0)) / 1000
        while True:
            found = [
                row
                for row in self.history
                if row["table"] == query["table"] and row["ver"] > after
            ]
            left_s = until - loop.time()
            if found or left_s <= 0:
                await asyncio.sleep(READ_S)
                return {"rows": found, "ver": self.ver}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


def build_configuration(routes, services, version=7):
    """Returns a configuration in the form of `op/config`."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"


def build_route(name, prefix, kind, service, timeout_ms, **fields):
    """Returns a route in the form of `op/config`."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind != "non_idempotent" else 1,
        "public": False,
    } | fields


def build_service(name, **fields):
    """Returns a service in the form of `op/config`."""
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 348,
        "protocol": "h1",
        "tls": False,
    } | fields


def build_registration(service, address, born, **fields):
    """Returns a worker's row in the table `servers`."""
    return {
        "service": service,
        "address": address,
        "zone": "telavi",
        "version": "v1",
        "slots": 12,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": born,
    } | fields
