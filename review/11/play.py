"""Case 11: after the 65th crash of a worker, streams with some prompt parts are cut.

A model service of 16 workers, 4 entries, 150 clients whose streams share 60 prompt
parts. When traffic starts, two workers crash while they begin to read the prompts. Then
single workers crash, one every 0.95 s, each while it begins to read a prompt; they are
back 1.8 s later, so that at most 2 of 16 are down. When the crashes have ended and all
workers are back, clients go on as before, and the platform sends each entry SIGHUP every
2 s, with the same settings.
Counted are streams in that last phase whose connection ends without a complete answer:
those on kept connections, and those sent up to `config_ms` after a SIGHUP of their
entry. All workers are sound then, and nothing else is disturbed.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet

ENTRIES = 4
WORKERS = 16
SLOTS = 6
PARTS = [f"{0x5C1E0000 + number * 7919:08x}" for number in range(60)]
CLIENTS = 150
READ_S = 0.15
# Times of the engine as its service states them, see `build_config`.
STEP_MS, SEQUENCE_MS, STRIDE = 4.55, 0.905, 4
EVENTS = 20
CRASHES = 80
CRASH_EVERY_S = 0.95
BACK_S = 1.8
QUIET_S = 10.0
ALLOWED = 3
CONFIG_S = 2.0


def build_config():
    return {
        "version": 3,
        "routes": [
            {
                "name": "quality-query",
                "host": fleet.HOST_NAME,
                "prefix": "/lohu930/",
                "kind": "stream",
                "stream_resume": True,
                "gap_aim_ms": 500,
                "timeout_ms": 8000,
                "target_latency_ms": 500,
                "priority": 0,
                "service": "model-desk",
                "max_attempts": 2,
                "public": False,
                "session_affinity": True,
            }
        ],
        "services": [
            {
                "name": "model-desk",
                "health_path": "/health",
                "max_connections": 348,
                "engine": {
                    "slots": SLOTS,
                    "kv_tokens": 140000,
                    "step_ms": STEP_MS,
                    "per_seq_ms": SEQUENCE_MS,
                    "context_per_k": 0.0183,
                    "read_per_s": 61400,
                    "stride": STRIDE,
                    "usual": {"prompt": 714, "answer": 80},
                },
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": ["key"], "priority": 1}],
    }


class ModelWorker(fleet.Worker):
    """A sound worker that answers with a stream of events, and resumes one."""

    def __init__(self, *arguments):
        super().__init__(*arguments, SLOTS)
        self.reading = set()
        self.running = 0

    async def respond(self, line, headers, body, writer):
        attempt = headers["chicoryweir-attempt-id"]
        first = int(headers.get("last-event-id") or 0) + 1
        self.reading.add(attempt)
        self.running += 1
        try:
            await asyncio.sleep(READ_S)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Chicoryweir-Attempt-Id: %s\r\nChicoryweir-Server-Stamp: %s.1\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                % (attempt.encode(), self.name.encode())
            )
            for number in range(first, EVENTS + 1):
                event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if number > first:
                    self.reading.discard(attempt)
                gap_ms = STRIDE * (STEP_MS + SEQUENCE_MS * self.running)
                await asyncio.sleep(gap_ms / 1000)
            return b"0\r\n\r\n"
        finally:
            self.running -= 1
            self.reading.discard(attempt)

    def crash(self, back_s):
        super().crash(back_s)
        self.reading.clear()


class Client:
    """A client with one connection that it keeps."""

    def __init__(self, deployment, results):
        self._deployment = deployment
        self._results = results
        self._reader = self._writer = self._entry = None
        self._answered = 0

    async def ask(self, part):
        attempt = fleet.make_attempt_id()
        began = time.monotonic()
        try:
            async with asyncio.timeout(8.2):
                outcome = await self._ask(attempt, part)
        except TimeoutError:
            outcome = "no end in time"
            self._close()
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            outcome = f"cut ({type(error).__name__})"
            self._close()
        if outcome != "whole":
            self._deployment.record.write(
                f"client: {attempt} with part {part} at {self._entry.name}: {outcome}"
            )
        is_kept = self._answered > 0
        self._answered = 0 if self._writer is None else self._answered + 1
        self._results.append((began, outcome, part, self._entry, is_kept))
        return outcome

    async def _ask(self, attempt, part):
        if self._writer is None:
            self._entry = random.choice(self._deployment.entries)
            self._reader, self._writer = await asyncio.open_connection(
                self._entry.host, self._entry.ports["front"]
            )
        body = attempt.encode() * 40
        self._writer.write(
            (
                "POST /lohu930/2f HTTP/1.1\r\n"
                f"Host: {fleet.HOST_NAME}\r\n"
                f"Chicoryweir-Attempt-Id: {attempt}\r\n"
                "Chicoryweir-Model: m\r\n"
                "Chicoryweir-Token-Counts: 714,80\r\n"
                f"Chicoryweir-Prompt-Prefix: {part}:40,{attempt[:8]}:674\r\n"
                "Chicoryweir-Deadline-Remaining-Ms: 8000\r\n"
                "Chicoryweir-Credential: key\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        line, headers = await fleet.read_head(self._reader)
        data = await fleet.read_body(self._reader, headers)
        status = int(line.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self._close()
        if status != 200:
            return f"answered {status}"
        is_whole = data.count(b"\n\n") == EVENTS
        return "whole" if is_whole else f"incomplete, {data.count(b'id:')} events"

    def _close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def main():
    deployment = fleet.Deployment(FOLDER, ENTRIES)
    record, store = deployment.record, deployment.store
    results = []
    workers = []

    async def go_on(client, offset):
        number = offset
        while True:
            await client.ask(PARTS[number % len(PARTS)])
            number += 7
            await asyncio.sleep(random.uniform(0.5, 2.5))

    try:
        for number in range(1, WORKERS + 1):
            worker = ModelWorker(
                store, record, "model-desk", f"127.0.2.{number}", "telavi", None
            )
            workers.append(worker)
            await worker.start()
        await deployment.start(build_config())
        await deployment.await_ready()
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(4.0)
        clients = [Client(deployment, results) for _ in range(CLIENTS)]
        tasks = [
            asyncio.create_task(go_on(client, number))
            for number, client in enumerate(clients)
        ]
        record.write("traffic starts")
        for _ in range(20):
            await asyncio.sleep(0.01)
            if sum(worker.running for worker in workers) >= 0.9 * CLIENTS:
                break
        if fleet.TROUBLE:
            fullest = sorted(workers, key=lambda worker: -len(worker.reading))[:2]
            for worker in fullest:
                record.write(f"worker {worker.name} reads {len(worker.reading)} prompts")
                worker.crash(BACK_S)
        await asyncio.sleep(BACK_S)
        for _ in range(CRASHES):
            await asyncio.sleep(CRASH_EVERY_S)
            if not fleet.TROUBLE:
                continue
            reading = [worker for worker in workers if worker.is_up and worker.reading]
            if reading:
                random.choice(reading).crash(BACK_S)
        # The last entry is removed 3.6 s after the crash at the latest.
        await asyncio.sleep(6.0)
        quiet = time.monotonic()
        record.write("all workers are up; from here on, each cut counts")
        hung_up = []
        while time.monotonic() < quiet + QUIET_S:
            for entry in deployment.entries:
                entry.process.send_signal(signal.SIGHUP)
            hung_up.append(time.monotonic())
            record.write("platform: SIGHUP to each entry")
            await asyncio.sleep(CONFIG_S)
        for task in tasks:
            task.cancel()
        counted = [result for result in results if result[0] >= quiet]
        cuts = [result for result in counted if result[1].startswith(("cut", "incom"))]
        kept = [result for result in cuts if result[4]]
        planned = [
            result
            for result in cuts
            if any(0.0 <= result[0] - at <= CONFIG_S for at in hung_up)
        ]
        parts = sorted({result[2] for result in cuts})
        record.write(
            f"{len(counted)} streams in the last phase, {len(cuts)} cut at sound workers: "
            f"{len(kept)} on kept connections ({ALLOWED} allowed), {len(planned)} sent up "
            f"to {CONFIG_S} s after a SIGHUP (none allowed); parts: {parts}"
        )
        return len(kept) > ALLOWED or len(planned) > 0
    finally:
        await deployment.stop()


if __name__ == "__main__":
    fleet.play(main)
