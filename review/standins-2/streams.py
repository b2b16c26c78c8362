"""Workers that stream events, and clients of theirs."""

import asyncio
import time

import httpio

SERVICE = "svcdesk"
HOST = "h.example"
KEY = "k1k1k1k1"
PATH = "/letter/x"


def build_configuration(version=7, **route):
    """Returns a configuration like that of a small deployment, with one stream route."""
    return {
        "version": version,
        "routes": [{
            "name": "r-1", "host": HOST, "prefix": "/letter/", "kind": "stream",
            "timeout_ms": 8000, "target_latency_ms": 503, "priority": 0,
            "service": SERVICE, "max_attempts": 2, "public": False,
            "session_affinity": True, "stream_resume": True, "gap_aim_ms": 120,
            **route}],
        "services": [{
            "name": SERVICE, "health_path": "/health", "max_connections": 348,
            "protocol": "h1", "tls": False,
            "engine": {
                "slots": 6, "kv_tokens": 140000, "kv_token_bytes": 70272,
                "link_mbps": 180000.0, "stride": 4, "models": [{"name": "m"}],
                "step_ms": 4.55, "per_seq_ms": 1.81, "context_per_k": 0.0366,
                "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512,
                "report_lag_ms": 200.0, "delays": [],
                "usual": {"prompt": 835, "answer": 97}}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": [KEY], "priority": 1}],
    }


def build_registration(instance, address, zone, **more):
    """Returns what a worker writes to the store."""
    return {
        "service": SERVICE, "address": address, "zone": zone, "version": "v1",
        "slots": 6, "state": "ready", "cold_left_ms": 0, "stage": "both", "seq": 0,
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "born": int(time.time() * 1000), **more}


class Worker:
    """A worker that streams as many events as the body of a request says.

    `find_pause(attempt, number)` returns a time for which an answer pauses before an
    event, because the request was preempted and is read again.
    """

    def __init__(self, instance, record, gap_s, find_pause=lambda attempt, number: 0.0):
        self.instance = instance
        self.received = {}
        self._record = record
        self._gap_s = gap_s
        self._find_pause = find_pause

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                first, headers = await httpio.read_head(reader)
                body = await httpio.read_body(reader, headers)
                if headers.get("chicoryweir-expect-instance") != self.instance:
                    writer.write(httpio.encode_answer(421, {}))
                    continue
                attempt = headers["chicoryweir-attempt-id"]
                self.received[attempt] = time.monotonic()
                run = asyncio.create_task(self._run(attempt, headers, body, writer))
                # Nothing more is due on the connection until the answer has ended.
                leaves = asyncio.create_task(reader.read(1))
                await asyncio.wait({run, leaves}, return_when="FIRST_COMPLETED")
                if not run.done():
                    run.cancel()
                    self._record.write(f"{self.instance}: the caller of {attempt} left")
                    return
                leaves.cancel()
                await asyncio.gather(leaves, return_exceptions=True)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _run(self, attempt, headers, body, writer):
        events, done = int(body), int(headers.get("last-event-id", 0))
        self._record.write(f"{self.instance} runs {attempt} from event {done + 1} on")
        writer.write(httpio.encode_head("HTTP/1.1 200 OK", {
            "Content-Type": "text/event-stream",
            "Chicoryweir-Attempt-Id": attempt,
            "Chicoryweir-Server-Stamp": f"stamp-{self.instance}-{attempt}",
            "Transfer-Encoding": "chunked"}))
        for number in range(done + 1, events + 1):
            pause_s = self._find_pause(attempt, number)
            if pause_s:
                self._record.write(f"{self.instance}: {attempt} is preempted before "
                                   f"event {number}, goes on in {pause_s} s")
            await asyncio.sleep(self._gap_s + pause_s)
            if pause_s:
                self._record.write(f"{self.instance}: {attempt} goes on")
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        self._record.write(f"{self.instance} has run {attempt} to its end")


class Call:
    """One client attempt on a connection of its own."""

    def __init__(self, attempt, events, tokens):
        self.attempt = attempt
        self.events = events
        self.outcome = "unfinished"
        self.sent_at = self.ended_at = 0.0
        self.pieces = 0
        self._tokens = tokens

    @property
    def is_cut(self):
        """Whether the connection ended without a complete answer."""
        return self.outcome.startswith("connection ended")

    async def make(self, host, port, record):
        """Sends the request and reads its answer."""
        body = str(self.events).encode()
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(httpio.encode_head(f"POST {PATH} HTTP/1.1", {
                "Host": HOST, "Chicoryweir-Attempt-Id": self.attempt,
                "Chicoryweir-Model": "m", "Chicoryweir-Token-Counts": self._tokens,
                "Chicoryweir-Prompt-Prefix": f"5c1e07a2:40,{self.attempt[-8:]}:634",
                "Chicoryweir-Deadline-Remaining-Ms": 8021,
                "Chicoryweir-Credential": KEY, "Content-Length": len(body)}) + body)
            self.sent_at = time.monotonic()
            record.write(f"client sends {self.attempt} ({self.events} events) to {host}")
            first, headers = await httpio.read_head(reader)
            status = int(first.split(" ")[1])
            if headers.get("transfer-encoding") == "chunked":
                async for chunk in httpio.read_chunks(reader):
                    self.pieces += chunk.count(b"data:")
            else:
                await httpio.read_body(reader, headers)
            self.outcome = f"answered {status}"
        except (asyncio.IncompleteReadError, ConnectionError):
            self.outcome = "connection ended without a complete answer"
        finally:
            self.ended_at = time.monotonic()
            record.write(f"client: {self.attempt} {self.outcome}, {self.pieces} pieces")
            writer.close()
