"""Case 13: 11 s after a call was left unanswered, a worker that is gone gets requests.

Each round: the operator writes a configuration, and the entries wait for the next one.
With trouble, the calls that arrive in the 0.2 s from 10 ms after that write are never
answered. The store is sound again at once. 11.2 s after that, a worker leaves as
PROTOCOL.md says: it never reports `draining`, its entry is removed, and it goes on
serving for some seconds. Counted are the requests that reach it later than `drain_ms`
after the store has acknowledged that.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet

ENTRIES = 3
WORKERS = 3
ROUNDS = 5
SILENCE_S = 0.2
LEAVES_AFTER_S = 11.2
DRAIN_S = 2.0
SERVES_S = 5.0
ROUND_S = 17.5
IDLE_ROUTES = 110


def build_config(version):
    prefixes = ["/cufi504/", *(f"/idle{number}/" for number in range(IDLE_ROUTES))]
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{prefix.strip('/')}",
                "host": fleet.HOST_NAME,
                "prefix": prefix,
                "kind": "idempotent",
                "timeout_ms": 1500,
                "target_latency_ms": 300,
                "priority": 2,
                "service": "purchase-ledger",
                "max_attempts": 2,
                "public": False,
            }
            for prefix in prefixes
        ],
        "services": [
            {
                "name": "purchase-ledger",
                "health_path": "/health",
                "max_connections": 100,
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


async def main():
    deployment = fleet.Deployment(FOLDER, ENTRIES)
    record, store = deployment.record, deployment.store
    left_at = {}
    late = 0
    version = 1

    async def run(worker, line, headers, body):
        nonlocal late
        at = left_at.get(worker.name)
        if at is not None:
            after_s = time.monotonic() - at
            attempt = headers.get("chicoryweir-attempt-id")
            record.write(
                f"worker {worker.name} gets {attempt} {after_s:.3f} s after it left"
            )
            if after_s > DRAIN_S:
                late += 1
                record.write("  BROKEN: later than drain_ms")
        await asyncio.sleep(0.06)
        return fleet.build_success(worker, headers)

    async def ask(entry):
        while True:
            status, _, _ = await fleet.call(
                entry.host,
                entry.ports["front"],
                "GET",
                "/cufi504/2f",
                {
                    "Chicoryweir-Attempt-Id": fleet.make_attempt_id(),
                    "Chicoryweir-Deadline-Remaining-Ms": "3014",
                    "Chicoryweir-Credential": "key",
                },
                3.2,
            )
            if status != 200:
                record.write(f"{entry.name} answers {status}")
            await asyncio.sleep(0.1)

    async def start_worker(number):
        worker = fleet.Worker(
            store, record, "purchase-ledger", f"127.0.2.{number}", "telavi", run
        )
        await worker.start()
        return worker

    try:
        numbers = iter(range(1, 200))
        workers = [await start_worker(next(numbers)) for _ in range(WORKERS)]
        await deployment.start(build_config(version))
        await deployment.await_ready()
        await asyncio.sleep(4.0)
        clients = [
            asyncio.create_task(ask(entry))
            for entry in deployment.entries
            for _ in range(2)
        ]
        for _ in range(ROUNDS):
            began = time.monotonic()
            version += 3
            store.put("op", "config", build_config(version))
            record.write(f"operator: version {version} is acknowledged")
            await asyncio.sleep(0.01)
            if fleet.TROUBLE:
                store.unanswered.clear()
                store.fall_silent(SILENCE_S)
                record.write(f"store: silent for {SILENCE_S} s")
            await asyncio.sleep(1.0)
            record.write(f"store: calls left unanswered: {store.unanswered}")
            # The new worker starts first.
            workers.append(await start_worker(next(numbers)))
            await asyncio.sleep(began + LEAVES_AFTER_S - time.monotonic())
            leaving = workers.pop(0)
            left_at[leaving.name] = time.monotonic()
            leaving.leave(SERVES_S)
            record.write(f"store: the entry of worker {leaving.name} is removed")
            await asyncio.sleep(began + ROUND_S - time.monotonic())
        for client in clients:
            client.cancel()
        record.write(f"{late} requests reached a worker later than drain_ms")
        return late > 0
    finally:
        await deployment.stop()


if __name__ == "__main__":
    fleet.play(main)
