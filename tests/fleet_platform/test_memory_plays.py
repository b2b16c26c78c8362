"""Tests of the memory of real processes that clients and endpoints try to use up.

The crowds and bounds of memoryplays were fixed before received memory was accounted
for; 16 of the first 30 plays broke a bound then.
"""

import asyncio
import json

import fleetstandins
import memoryplays
import pytest
import pytest_asyncio

pytestmark = [pytest.mark.processes, pytest.mark.xdist_group("memory plays")]

SHORT_LINE = b"a:\r\n"
MAX_HEAD_BYTES = 16_384
FIELDS = (
    b"Host: h.example\r\nChicoryweir-Attempt-Id: h\r\nChicoryweir-Credential: key\r\n"
    b"Chicoryweir-Deadline-Remaining-Ms: 3000\r\n"
)
POST = b"POST /again/x HTTP/1.1\r\n" + FIELDS
GET = b"GET /again/x HTTP/1.1\r\n" + FIELDS
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
STALLED_BODY = b"Content-Length: 65536\r\n\r\n" + b"b" * 65_000


def _fill(head, line, end):
    """Returns a head of the largest legal size that consists of one kind of line."""
    count = (MAX_HEAD_BYTES - len(head) - 60) // len(line)
    return head + line * count + end


CALLERS = {
    "short lines and a body that stalls": [_fill(POST, SHORT_LINE, STALLED_BODY)],
    "odd lines and a body that stalls": [_fill(POST, b"!~:\xff\r\n", STALLED_BODY)],
    "body that stalls": [POST + STALLED_BODY],
    "head over the limit": [POST + SHORT_LINE * 15_000 + b"\r\n"],
    "head without end": [POST, SHORT_LINE],
    "line without end": [POST + b"a: ", b"a"],
    "empty lines": [b"", b"\r\n"],
    "trailers": [POST + CHUNKED + b"0\r\n", SHORT_LINE],
    "chunk extensions": [POST + CHUNKED + b"1;", b"a"],
    "small chunks": [POST + CHUNKED, b"1\r\na\r\n"],
    "pipelined heads": [b"", GET + b"\r\n"],
    "pipelined heads of short lines": [b"", _fill(GET, SHORT_LINE, b"\r\n")],
    "pipelined bodies": [b"", POST + b"Content-Length: 30000\r\n\r\n" + b"b" * 30_000],
    "answers not read": [b"", GET + b"\r\n", False],
}
OPERATIONS = {
    "short lines and a body that stalls": CALLERS["short lines and a body that stalls"],
    "trailers": CALLERS["trailers"],
    "empty lines": CALLERS["empty lines"],
    "answers not read": [b"", b"GET /metrics HTTP/1.1\r\n\r\n", False],
}
ANSWER = b"HTTP/1.1 200 OK\r\nChicoryweir-Attempt-Id: h\r\n"
STAMPED = ANSWER + b"Chicoryweir-Server-Stamp: s\r\n"
# Answers of an endpoint, which stalls after them: the start, then the repeated part.
ENDPOINTS = {
    "head that stalls": (STAMPED + SHORT_LINE * 15_000, b""),
    "head without end": (STAMPED, SHORT_LINE * 1000),
    "trailers": (STAMPED + CHUNKED + b"0\r\n", SHORT_LINE * 1000),
    "trailers that stall": (STAMPED + CHUNKED + b"0\r\n" + SHORT_LINE * 15_000, b""),
    "interim answers": (b"", b"HTTP/1.1 102 X\r\n" + SHORT_LINE * 1000 + b"\r\n"),
    "stale answers": (b"", fleetstandins.build_answer("old", b"") * 100),
    "body of small chunks": (STAMPED + CHUNKED + b"1\r\na\r\n" * 40_000, b""),
}


class EndlessStore(fleetstandins.StoreStandIn):
    """Store whose list of endpoints has no end once `is_endless` is set."""

    is_endless = False

    async def _answer(self, method, target, body):
        status, answer = await super()._answer(method, target, body)
        if not self.is_endless or "servers" not in target:
            return status, answer
        if "rows-feed" in target:
            return 410, {"rows": [], "ver": self.version}
        self.assign_versions(1)
        row = {"table": "servers", "part": "", "value": "e" * 2000, "ver": 1}
        rows = [row | {"key": f"{self.version:09}-{n:03}"} for n in range(500)]
        return 200, {"rows": rows, "has_more": True, "ver": self.version}


@pytest_asyncio.fixture
async def start_subject(tmp_path):
    """Returns a function that starts a process; it ends after the test."""
    started = []

    async def start(answer, role="entry", max_header_bytes=MAX_HEAD_BYTES):
        store = EndlessStore()
        endpoint = fleetstandins.EndpointStandIn("i-1", answer)
        started.extend([await store.start(), await endpoint.start()])
        services = [{"name": "svc", "health_path": "/", "max_connections": 500}]
        config = fleetstandins.build_configuration(services=services)
        config["limits"]["max_header_bytes"] = max_header_bytes
        store.put("op", "config", config)
        store.put("servers", "i-1", endpoint.build_registration(slots=500))
        subject = memoryplays.Subject(tmp_path, role, store, endpoint)
        started.append(subject)
        await subject.start()
        return subject

    yield start
    for server in reversed(started):
        server.end() if hasattr(server, "end") else server.close()


def _answer_with(start, part=b"", size=5):
    """Returns an endpoint's handler that answers hostile callers in this way."""

    async def answer(endpoint, headers, writer):
        if "x-ordinary" in headers:
            writer.write(fleetstandins.build_answer(headers["chicoryweir-attempt-id"]))
            await writer.drain()
            return
        writer.write(start)
        await writer.drain()
        for _ in range(memoryplays.MAX_SENT_BYTES // len(part) if part else 0):
            writer.write(part)
            await writer.drain()
        await asyncio.sleep(0 if not part and start.endswith(b"whole") else 3600)

    return answer


def _check(subject):
    summary = f"{subject.max_memory_mb:.1f} MB, {subject.max_descriptors} descriptors"
    assert subject.is_running, f"ended after {summary}; {subject.read_log()[-3:]}"
    assert subject.max_memory_mb < memoryplays.MEMORY_MB, summary
    assert subject.max_descriptors < memoryplays.MAX_DESCRIPTORS, summary
    failed = [line for line in subject.read_log() if line["event"] == "task_failed"]
    assert not failed
    print(json.dumps({"memory_mb": subject.max_memory_mb}))


# Guards against callers that use up the memory of an entry.
@pytest.mark.parametrize("kind", CALLERS)
async def test_entry_survives_callers(start_subject, kind):
    answer = _answer_with(b"")
    if kind == "answers not read":
        whole = b"w" * 199_995 + b"whole"
        answer = _answer_with(fleetstandins.build_answer("h", whole))
    subject = await start_subject(answer)
    clients = [memoryplays.Client(*CALLERS[kind])] * memoryplays.CALLERS
    await subject.play(clients, subject.ports.front)
    _check(subject)


# Guards against callers of the other listeners, which use up the same memory.
@pytest.mark.parametrize("kind", OPERATIONS)
@pytest.mark.parametrize("listener", ["metrics", "peer of an agent"])
async def test_process_survives_callers_of_operations(start_subject, kind, listener):
    role = "agent" if "agent" in listener else "entry"
    subject = await start_subject(_answer_with(b""), role)
    clients = [memoryplays.Client(*OPERATIONS[kind])] * memoryplays.OPERATORS
    port = subject.ports.peer if role == "agent" else subject.ports.metrics
    await subject.play(clients, port)
    _check(subject)


# Guards against endpoints that use up the memory of an entry.
@pytest.mark.parametrize("kind", ENDPOINTS)
async def test_entry_survives_answers_of_endpoints(start_subject, kind):
    subject = await start_subject(_answer_with(*ENDPOINTS[kind]))
    request = POST + b"Content-Length: 0\r\n\r\n"
    clients = [memoryplays.Client(request)] * memoryplays.CALLERS
    await subject.play(clients, subject.ports.front)
    _check(subject)


# Guards against a list of the store without end, which is read into memory.
async def test_entry_survives_an_endless_list_of_the_store(start_subject):
    subject = await start_subject(_answer_with(b""))
    subject.store.is_endless = True
    subject.store.drop_history()
    await subject.play([memoryplays.Client(b"")], subject.ports.front)
    _check(subject)


# Guards against limits that refuse a request which the configuration allows.
@pytest.mark.parametrize("max_header_bytes", [MAX_HEAD_BYTES, 262_144])
@pytest.mark.parametrize("line", [SHORT_LINE, b"abcd: " + b"e" * 90 + b"\r\n"])
async def test_entry_serves_the_largest_head(start_subject, max_header_bytes, line):
    subject = await start_subject(_answer_with(b""), "entry", max_header_bytes)
    head = POST.replace(b"-Id: h", b"-Id: a1") + b"X-Ordinary: 1\r\n"
    head += line * ((max_header_bytes - len(head) - 2) // len(line)) + b"\r\n"
    for _ in range(2):
        assert await subject.try_one(head)
    assert subject.is_in_bounds()
    _check(subject)
