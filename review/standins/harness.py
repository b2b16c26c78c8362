"""Starts the project's programs and records what a case sees."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
DEPLOY = ROOT / "deploy" / "system.toml"
# Variables that the platform passes on to a role.
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Addresses on which a case may listen: entries, workers with their agents, the store.
HOSTS = (
    *(f"127.0.2.{number}" for number in range(1, 4)),
    *(f"127.0.3.{number}" for number in range(1, 49)),
    "127.0.4.1",
)


class CannotRun(Exception):
    """The case could not be played."""


def has_trouble():
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def pick_port():
    """Returns a port that is free on all addresses of a case now."""
    while True:
        port = random.randrange(20000, 32000)
        try:
            for host in HOSTS:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return port


class Record:
    """Writes `record.txt` of a case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text):
        """Writes one line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Ports:
    """Ports of a day; they are the same on all machines."""

    def __init__(self):
        names = ("front", "ready", "control", "directory", "peer", "metrics", "app")
        chosen = []
        while len(chosen) < len(names) + 1:
            port = pick_port()
            if port not in chosen:
                chosen.append(port)
        for name, port in zip(names, chosen):
            setattr(self, name, port)
        self.store = chosen[-1]


def build_settings(ports, store, name, host, role, heartbeat_ms=1200, **fields):
    """Returns the settings file of a process, as `fleetbench wire` shows it."""
    lines = {
        "node_name": name,
        "role": role,
        "machine_class": "front" if role == "entry" else "side",
        "ip": host,
        "zone": "telavi",
        "region": "kakheti",
        "zones.telavi": "kakheti",
        "internal_ports": f"{ports.peer},{ports.metrics}",
        "bootstrap": "true",
        "in_tolerance": "false",
        "limits.cpu_share": "0.537",
        "limits.cores": "2",
        "limits.memory_mb": "300",
        "limits.max_fds": "4200",
        "limits.link_mbps": "1000.0",
        "limits.disk_mb": "0",
        "discovery": "platform",
        "entry": "directory",
        "heartbeat_ms": heartbeat_ms,
        "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
        "platform,experts",
        "fault_tolerance.machines": "1",
        "bounds.seed_lag_s": "3",
        "bounds.addr_reuse_s": "2",
        "bounds.contact_ms": "3000",
        "bounds.ack_ms": "4000",
        "bounds.catch_up_s": "4",
        "bounds.drain_ms": "2000",
        "bounds.grace_s": "8",
        "bounds.loss_slack_ms": "200",
        "bounds.config_ms": "2000",
        "bounds.revert_slack_ms": "250",
        "bounds.outer_ms": "5000",
        "bounds.budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_slack": "90",
        "bounds.recover_s": "12",
        "bounds.pass_ms": "120",
        "bounds.retry_after_s": "0",
        "bounds.stall_ms": "1500",
        "bounds.require_fencing": "true",
        "bounds.ttl_max_s": "5",
        "platform.address": store,
        "platform.form": "table",
        "platform.writes_per_s": "400",
        "platform.reads_per_s": "2000",
        "platform.tx_ms": "5.0",
        "platform.part_writes_s": "200",
        "platform.row_bytes": "65536",
        "platform.history_s": "20",
    }
    if role == "entry":
        lines |= {
            "serves": "front,control,directory",
            "listen.front": f"{host}:{ports.front}",
            "listen.ready": f"{host}:{ports.ready}",
            "listen.control": f"{host}:{ports.control}",
            "listen.directory": f"{host}:{ports.directory}",
        }
    lines |= {name.replace("__", "."): value for name, value in fields.items()}
    return "".join(f"{name}={value}\n" for name, value in lines.items())


class Process:
    """One process of a role, started with the command of the deploy file."""

    def __init__(self, system, name, role, host, settings):
        self.name = name
        self.role = role
        self.host = host
        self.ends = []
        self.events = []
        self._system = system
        self._path = system.folder / f"{name}.conf"
        self._path.write_text(settings)
        self._process = None
        self._reader = None

    async def start(self):
        """Starts the process."""
        command = tomllib.loads(DEPLOY.read_text())["roles"][self.role]["run"].split()
        env = {n: os.environ[n] for n in PASSED_VARIABLES if n in os.environ}
        env |= {"CHICORYWEIR_CONFIG": str(self._path), "PYTHONPATH": str(DEPS)}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self._process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 22,
        )
        self._reader = asyncio.create_task(self._read(self._process))

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    async def _read(self, process):
        while line := await process.stdout.readline():
            text = line.decode("utf-8", "replace").rstrip()
            try:
                event = json.loads(text)
            except ValueError:
                event = {"event": "", "text": text}
            event["at"] = self._system.record.now()
            self.events.append(event)
            self._system.on_event(self, event)
        code = await process.wait()
        self.ends.append((self._system.record.now(), code))
        self._system.record.write(f"{self.name} ended with {code}")

    def signal(self, number):
        """Sends a signal to the process."""
        if self.is_running:
            self._system.record.write(f"{self.name} gets {signal.Signals(number).name}")
            self._process.send_signal(number)

    async def wait(self, timeout_s):
        """Waits until the process has ended; kills it after a time."""
        if self._process is None:
            return
        try:
            await asyncio.wait_for(asyncio.shield(self._reader), timeout_s)
        except TimeoutError:
            if self.is_running:
                self._process.kill()
            await self._reader


class System:
    """All processes of a case."""

    def __init__(self, record):
        if not DEPS.is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.logged = set()

    def on_event(self, process, event):
        """Copies events of the kinds in `logged` to the record."""
        if event["event"] in self.logged or event["event"] == "":
            shown = {
                k: v
                for k, v in event.items()
                if k not in ("timestamp", "instance", "event_id", "at", "event")
            }
            self.record.write(f"log of {process.name}: {event['event']} {shown}")

    async def start(self, name, role, host, settings):
        """Starts a process."""
        process = Process(self, name, role, host, settings)
        self.processes.append(process)
        await process.start()
        return process

    async def stop(self):
        """Ends all processes."""
        for process in self.processes:
            if process.is_running:
                process._process.kill()
        for process in self.processes:
            await process.wait(5.0)
        shutil.rmtree(self.folder, ignore_errors=True)


async def is_ready(host, port):
    """Asks a process whether it is ready, as the platform does."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"GET /chicoryweir/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line


async def await_ready(process, port, timeout_s=15.0):
    """Waits until a process is ready."""
    for _ in range(int(timeout_s / 0.1)):
        if await is_ready(process.host, port):
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{process.name} did not become ready")


def run(folder, play):
    """Plays a case; `play(record, system)` returns whether the rule held."""
    record = Record(folder)

    async def main():
        system = System(record)
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(play(record, system))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, 118.0)
        finally:
            await system.stop()

    try:
        code = HELD if asyncio.run(main()) else BROKEN
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        code = NOT_RUN
    result = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code]
    record.write(f"result: {result} (TROUBLE={int(has_trouble())})")
    print(result)
    sys.exit(code)
