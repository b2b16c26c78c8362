"""Case 12: after a fifth of a second without answers of the store, a key stays valid.

Each round: the operator writes a configuration, and the entries wait for the next one.
With trouble, the calls that arrive in the 0.2 s from 10 ms after that write are never
answered. 1.2 s later, with the store sound again, the operator takes a key away and
adds a route. From the moment at which the machines are in touch and the bound of the
configuration is over, clients ask each entry with that key, and for the new route.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet

ENTRIES = 3
ROUNDS = 6
SILENCE_S = 0.2
CONTACT_S, CONFIG_S, SLACK_S = 3.0, 2.0, 0.1
ROUND_S = 13.0
# Routes that get no requests, as the site has 110.
IDLE_ROUTES = 110


def build_config(version, keys, prefixes):
    routes = [
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
        for prefix in [*prefixes, *(f"/idle{n}/" for n in range(IDLE_ROUTES))]
    ]
    return {
        "version": version,
        "routes": routes,
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
        "tenants": [
            {"name": f"tenant-{key}", "api_keys": [key], "priority": 1} for key in keys
        ],
    }


async def main():
    deployment = fleet.Deployment(FOLDER, ENTRIES)
    record, store = deployment.record, deployment.store
    keys = [f"key{number}" for number in range(ROUNDS + 1)]
    prefixes = ["/base/"]
    version = 1
    workers = []
    broken = 0

    async def run(worker, line, headers, body):
        record.write(
            f"worker {worker.name} runs {headers.get('chicoryweir-attempt-id')} "
            f"for {headers.get('chicoryweir-tenant')}: {line}"
        )
        return fleet.build_success(worker, headers)

    async def ask(entry, prefix, key, what):
        attempt = fleet.make_attempt_id()
        status, _, _ = await fleet.call(
            entry.host,
            entry.ports["front"],
            "GET",
            f"{prefix}2f",
            {
                "Chicoryweir-Attempt-Id": attempt,
                "Chicoryweir-Deadline-Remaining-Ms": "1500",
                "Chicoryweir-Credential": key,
            },
            2.0,
        )
        record.write(f"{entry.name} answers {status} to {attempt}: {what}")
        return status

    try:
        for number in (1, 2, 3):
            worker = fleet.Worker(
                store, record, "purchase-ledger", f"127.0.2.{number}", "telavi", run
            )
            workers.append(worker)
            await worker.start()
        await deployment.start(build_config(version, keys, prefixes))
        await deployment.await_ready()
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            began = time.monotonic()
            version += 3
            prefixes.append(f"/first{number}/")
            store.put("op", "config", build_config(version, keys, prefixes))
            record.write(f"operator: version {version} is acknowledged")
            await asyncio.sleep(0.01)
            if fleet.TROUBLE:
                store.unanswered.clear()
                store.fall_silent(SILENCE_S)
                record.write(f"store: silent for {SILENCE_S} s")
            ended = time.monotonic() + (SILENCE_S if fleet.TROUBLE else 0.0)
            await asyncio.sleep(1.2)
            record.write(f"store: calls left unanswered: {store.unanswered}")
            version += 3
            revoked = keys.pop(0)
            prefixes.append(f"/added{number}/")
            store.put("op", "config", build_config(version, keys, prefixes))
            acknowledged = time.monotonic()
            record.write(
                f"operator: version {version} without {revoked}, with /added{number}/, "
                "is acknowledged"
            )
            judged = max(ended + CONTACT_S, acknowledged + CONFIG_S) + SLACK_S
            await asyncio.sleep(judged - time.monotonic())
            while time.monotonic() < began + ROUND_S - 2.0:
                for entry in deployment.entries:
                    status = await ask(entry, "/base/", revoked, f"with {revoked}")
                    if status == 200:
                        broken += 1
                        record.write("  BROKEN: run with a key taken away before")
                    status = await ask(entry, f"/added{number}/", keys[0], "new route")
                    if status == 404:
                        broken += 1
                        record.write("  BROKEN: 404 for a route added before")
                await asyncio.sleep(0.5)
            await asyncio.sleep(max(0.0, began + ROUND_S - time.monotonic()))
        record.write(f"{broken} requests were handled as only an older version allows")
        return broken > 0
    finally:
        await deployment.stop()


if __name__ == "__main__":
    fleet.play(main)
