"""Tests of the start and the end of the product's daemons, as processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys

import pytest

TIMEOUT_S = 30.0

# Sends the process a signal as it imports a module, which takes most of its start.
SIGNALLED_DURING_IMPORTS = """
import os, sys

class Finder:
    def find_spec(self, name, path, target=None):
        if name == "typer":
            os.kill(os.getpid(), int(sys.argv.pop()))

sys.meta_path.insert(0, Finder())
from chicoryweir_daemon import __main__
__main__.main()
"""


class Daemon:
    """A running daemon.

    Args:
        process: Its process.
    """

    def __init__(self, process):
        self._process = process
        self.lines = []

    async def await_event(self, name):
        """Reads the log until an event; returns its line."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                text = await self._process.stdout.readline()
                assert text, f"ended without {name}: {self.lines}"
                self.lines.append(json.loads(text))
                if self.lines[-1]["event"] == name:
                    return self.lines[-1]

    def send(self, number):
        self._process.send_signal(number)

    async def await_end(self):
        """Returns the exit code."""
        async with asyncio.timeout(TIMEOUT_S):
            async for text in self._process.stdout:
                self.lines.append(json.loads(text))
            return await self._process.wait()


@contextlib.asynccontextmanager
async def _start(*arguments):
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, env=environment, stdout=asyncio.subprocess.PIPE
    )
    try:
        yield Daemon(process)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def _take_port():
    taken = socket.create_server(("127.0.0.1", 0))
    return taken, taken.getsockname()[1]


@pytest.fixture
def ports():
    """Returns the sockets that hold the ports of a daemon: for links, for callers."""
    held = [_take_port()[0] for _ in range(2)]
    yield held
    for taken in held:
        taken.close()


@pytest.fixture(params=["entry", "agent"])
def role(request):
    return request.param


@pytest.fixture
def configuration(tmp_path, role, ports):
    link, callers = ({"ip": "127.0.0.1", "port": s.getsockname()[1]} for s in ports)
    document = {
        "instance": f"{role}-1",
        "place": "dc",
        "link": link,
        "platform_url": "http://127.0.0.1:1",
        "cluster_secret": "secret",
    }
    if role == "entry":
        document["listen"] = callers
    else:
        document["service"] = "model"
        document["endpoint"] = {"kind": "plain", "url": "http://127.0.0.1:1"}
    path = tmp_path / "daemon.json"
    path.write_text(json.dumps(document))
    return path


def _release(ports):
    for taken in ports:
        taken.close()


# Guards against daemons that a signal ends without a line while they are starting.
async def test_stop_signal_during_the_imports_stops_as_planned(
    role, ports, configuration
):
    _release(ports)
    arguments = [role, "--config", str(configuration), str(int(signal.SIGTERM))]
    async with _start("-c", SIGNALLED_DURING_IMPORTS, *arguments) as daemon:
        assert await daemon.await_end() == 0
        assert daemon.lines[-1]["event"] == "daemon_stopped"


# Guards against daemons that SIGHUP ends, at their start or later.
async def test_reload_signals_do_not_end_a_daemon(role, ports, configuration):
    _release(ports)
    arguments = [role, "--config", str(configuration), str(int(signal.SIGHUP))]
    async with _start("-c", SIGNALLED_DURING_IMPORTS, *arguments) as daemon:
        await daemon.await_event("daemon_started")
        for _ in range(10):
            daemon.send(signal.SIGHUP)
        daemon.send(signal.SIGTERM)
        for _ in range(10):
            daemon.send(signal.SIGHUP)
        assert await daemon.await_end() == 0
        assert daemon.lines[-1]["event"] == "daemon_stopped"


# Guards against daemons that end since a port is held by the process before.
@pytest.mark.parametrize("held", [0, 1], ids=["links", "callers"])
async def test_daemon_waits_for_a_port_that_is_taken(held, role, ports, configuration):
    if role == "agent":
        held = 0
    ports[1 - held].close()
    arguments = [role, "--config", configuration]
    async with _start("-m", "chicoryweir_daemon", *arguments) as daemon:
        line = await daemon.await_event("listener_unavailable")
        assert line["peer"] == f"127.0.0.1:{ports[held].getsockname()[1]}"
        ports[held].close()
        await daemon.await_event("daemon_started")
        daemon.send(signal.SIGTERM)
        assert await daemon.await_end() == 0


# Guards against a stop that waits until a port is free.
async def test_daemon_that_waits_for_a_port_can_be_stopped(role, ports, configuration):
    arguments = [role, "--config", configuration]
    async with _start("-m", "chicoryweir_daemon", *arguments) as daemon:
        await daemon.await_event("listener_unavailable")
        daemon.send(signal.SIGTERM)
        assert await daemon.await_end() == 0
        assert daemon.lines[-1]["event"] == "daemon_stopped"


# Guards against entries that end since their certificate isn't there yet.
@pytest.mark.parametrize("role", ["entry"], indirect=True)
async def test_entry_waits_for_its_certificate(role, ports, configuration, tmp_path):
    _release(ports)
    document = json.loads(configuration.read_text())
    certificate = str(tmp_path / "certificate.pem")
    document["tls"] = {"certificate_file": certificate, "key_file": certificate}
    configuration.write_text(json.dumps(document))
    arguments = [role, "--config", configuration]
    async with _start("-m", "chicoryweir_daemon", *arguments) as daemon:
        line = await daemon.await_event("listener_unavailable")
        assert "No such file" in line["detail"]
        (tmp_path / "certificate.pem").write_text("half")
        line = await daemon.await_event("listener_unavailable")
        assert "No such file" not in line["detail"]
        daemon.send(signal.SIGTERM)
        assert await daemon.await_end() == 0


# Guards against daemons that end without a line in the log that tells why.
async def test_error_that_ends_a_daemon_is_logged(role, ports, configuration):
    _release(ports)
    program = """
from chicoryweir_daemon import __main__
from chicoryweir_daemon.runtime import cores

async def fail(core_task):
    raise RuntimeError("core")

cores.CoreTask.run = fail
__main__.main()
"""
    async with _start("-c", program, role, "--config", configuration) as daemon:
        assert await daemon.await_end() == 1
        line = daemon.lines[-1]
        assert line["event"] == "daemon_failed"
        assert line["instance"] == f"{role}-1"
        assert line["detail"] == "RuntimeError('core')"


# Guards against daemons that end since they were started without outputs.
async def test_daemon_without_outputs_runs(role, ports, configuration):
    _release(ports)
    command = '"$0" -m chicoryweir_daemon "$1" --config "$2" <&- >&- 2>&- & echo $!'
    command = f"{command}; wait $!; echo $?"
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        command,
        sys.executable,
        role,
        str(configuration),
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        stdout=asyncio.subprocess.PIPE,
    )
    number = int(await process.stdout.readline())
    port = json.loads(configuration.read_text())["link"]["port"]
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await _await_listener(port)
            os.kill(number, signal.SIGTERM)
            assert await process.stdout.readline() == b"0\n"
            await process.wait()
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(number, signal.SIGKILL)


async def _await_listener(port):
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return
