"""A store that leaves calls unanswered for 8 s, and a change of the configuration."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

import deployment
import httpio
import store
import streams

HOST = streams.HOST
KEPT_KEY, DROPPED_KEY = "keptkeptkept", "droppeddropped"
OLD, NEW = "svcold", "svcnew"
# From the change of the configuration before to the start of the disruption. The store
# answers a waiting call after up to 10 s.
BEFORE_S = 5.0
SILENT_S = 8.0
CONTACT_S = 3.0
CONFIG_S = 2.0
WATCHED_S = 11.0


def build_configuration(version, service, keys, timeout_ms):
    """Returns a configuration with one route to a plain service."""
    config = streams.build_configuration(
        version, prefix="/look/", kind="idempotent", service=service,
        stream_resume=False, session_affinity=False, gap_aim_ms=0,
        timeout_ms=timeout_ms)
    config["services"] = [
        {"name": name, "health_path": "/health", "max_connections": 100,
         "protocol": "h1", "tls": False} for name in (OLD, NEW)]
    config["tenants"] = [{"name": "t1", "api_keys": keys, "priority": 1}]
    return config


class Worker:
    """A worker of a plain service."""

    def __init__(self, instance, service, ran):
        self.instance = instance
        self.service = service
        self._ran = ran

    async def serve(self, reader, writer):
        """Serves one connection."""
        try:
            while True:
                _, headers = await httpio.read_head(reader)
                await httpio.read_body(reader, headers)
                attempt = headers["chicoryweir-attempt-id"]
                echo = {"Chicoryweir-Attempt-Id": attempt}
                if headers.get("chicoryweir-expect-instance") != self.instance:
                    writer.write(httpio.encode_answer(421, echo))
                    continue
                self._ran[attempt] = self.service
                stamp = {"Chicoryweir-Server-Stamp": f"stamp-{attempt}"}
                writer.write(httpio.encode_answer(200, echo | stamp, b"balance"))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def play(record, trouble):
    """Plays the case; returns whether the rule was broken."""
    fleet = deployment.Deployment(
        record, "base,drain,config,cost,retry,recover,tenants,platform")
    try:
        return await play_with(fleet, record, trouble)
    finally:
        fleet.end()


async def play_with(fleet, record, trouble):
    entries = ["127.0.0.21", "127.0.0.22", "127.0.0.23"]
    sides = {"i-0": ("127.0.0.31", OLD), "i-1": ("127.0.0.32", NEW)}
    fleet.choose_ports([*entries, *(host for host, _ in sides.values()), "127.0.0.1"])
    platform_store = store.Store()
    await platform_store.start("127.0.0.1", fleet.ports["store"])
    keys = [KEPT_KEY, DROPPED_KEY]
    platform_store.put("op", "config", build_configuration(7, OLD, keys, 3000))
    ran = {}
    for instance, (host, service) in sides.items():
        worker = Worker(instance, service, ran)
        await asyncio.start_server(worker.serve, host, fleet.ports["app"])
        platform_store.put("servers", instance, streams.build_registration(
            instance, f"{host}:{fleet.ports['app']}", "z1") | {"service": service})
    for number, entry in enumerate(entries):
        fleet.start(f"front-{number}", "entry", entry, f"z{number % 2 + 1}", entries)
    for entry in entries:
        await fleet.wait_ready(entry)
    await asyncio.sleep(1.5)
    platform_store.put("op", "config", build_configuration(9, OLD, keys, 2500))
    record.write("version 9 is acknowledged: another time-out")
    await asyncio.sleep(BEFORE_S)
    if trouble:
        platform_store.silent = True
        record.write("the store leaves all calls unanswered")
    await asyncio.sleep(SILENT_S)
    platform_store.silent = False
    record.write("the store answers again")
    await asyncio.sleep(CONTACT_S + 0.3)
    platform_store.put("op", "config", build_configuration(12, NEW, [KEPT_KEY], 2500))
    acknowledged_at = time.monotonic()
    record.write("version 12 is acknowledged: the route's service is new, a key is gone")
    return await watch(fleet, entries, ran, acknowledged_at, record)


async def watch(fleet, entries, ran, acknowledged_at, record):
    """Sends requests to all entries; applies the rule CONFIG to them."""
    broken = late = number = 0
    while time.monotonic() < acknowledged_at + WATCHED_S:
        for entry in entries:
            for key in (KEPT_KEY, DROPPED_KEY):
                number += 1
                attempt = f"ee00000000{number:06x}"
                sent_s = time.monotonic() - acknowledged_at
                status, _ = await httpio.call(
                    entry, fleet.ports["front"], "GET", "/look/1", headers={
                        "Host": HOST, "Chicoryweir-Attempt-Id": attempt,
                        "Chicoryweir-Deadline-Remaining-Ms": 2400,
                        "Chicoryweir-Credential": key}, timeout_s=4.0)
                service = ran.get(attempt)
                is_old = service == OLD or (service and key == DROPPED_KEY)
                is_late = sent_s > CONFIG_S
                late += is_late
                broken += bool(is_old and is_late)
                record.write(
                    f"{entry}, {sent_s:.2f} s after the acknowledgement, key {key}: "
                    f"{status}, run by {service}"
                    + (": as only older versions allow" if is_old and is_late else ""))
        await asyncio.sleep(0.5)
    record.write(f"{broken} of {late} requests sent later than {CONFIG_S} s after the "
                 "acknowledgement were handled as only older versions allow")
    return broken > 0


if __name__ == "__main__":
    deployment.run(HERE, play)
