"""Plays a crowd of hostile clients against the product's own entry."""

import contextlib
import dataclasses
import json
import pathlib
import resource
import signal

import memoryplays

from chicoryweir_standins.launch import fleet
from chicoryweir_standins.launch import plan

# The bound of every play: the memory of the smallest machine. An entry uses 70 MB when
# nobody calls.
MEMORY_MB = 152
# Short enough that connections without a request end within `memoryplays.HANG_S`.
IDLE_TIMEOUT_MS = 5_000
SERVICE_PATH = f"/v1/services/{plan.PLAIN_SERVICE}/"


@dataclasses.dataclass(frozen=True)
class _Running:
    """Process id of a child."""

    pid: int


class Subject(memoryplays.Subject):
    """An entry with lowered limits in a fleet with one plain service."""

    memory_mb = MEMORY_MB

    def __init__(self):
        self.max_memory_mb = 0.0
        self.max_descriptors = 0
        size = plan.FleetSize(entries=1, engines=0, services=1, has_group=False)
        self._fleet = fleet.create_fleet(size)
        self._child = self._fleet.children["entry-1"]
        self.port = self._child.process.config["listen"]["port"]
        key = self._fleet.plan.keys.caller
        self.headers = f"Host: h\r\nAuthorization: Bearer {key}\r\n".encode()

    async def start(self):
        """Starts the fleet and waits until its entry answers."""
        limits = {"memory_mb": MEMORY_MB, "idle_timeout_ms": IDLE_TIMEOUT_MS}
        config = self._child.process.config | {"limits": limits}
        path = self._fleet.directory / "entry-1.json"
        path.write_text(json.dumps(config))
        previous = resource.getrlimit(resource.RLIMIT_NOFILE)
        lowered = (memoryplays.MAX_DESCRIPTORS, previous[1])
        resource.setrlimit(resource.RLIMIT_NOFILE, lowered)
        try:
            await self._fleet.start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, previous)
        self._process = _Running(self._child.pid)
        await self.serve_one()

    async def end(self):
        """Ends the fleet."""
        for child in self._fleet.children.values():
            child.send_signal(signal.SIGKILL)
        await self._fleet.stop()
        self._fleet.remove_files()

    @property
    def is_running(self):
        if self._child.returncode is not None:
            return False
        status = pathlib.Path(f"/proc/{self._child.pid}/status")
        return status.exists() and "VmHWM" in status.read_text()

    def read_log(self):
        return self._child.read_log_tail().splitlines()

    async def try_one(self, request=b""):
        """Sends an ordinary request; returns whether it is answered as it should be."""
        head = b"POST %s HTTP/1.1\r\n%s" % (SERVICE_PATH.encode(), self.headers)
        request = request or head + b"Content-Length: 2\r\n\r\nhi"
        status, body = 0, b""
        with contextlib.suppress(OSError, EOFError):
            status, body = await memoryplays.exchange(self.port, request)
        return status == 200 and json.loads(body)["service"] == plan.PLAIN_SERVICE
