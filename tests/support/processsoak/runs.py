"""Plays a schedule with real processes and returns the verdict."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import tempfile
import time

import fleetstandins

from chicoryweir_standins.launch import ports
from processsoak import clients
from processsoak import processes
from processsoak import schedule as schedules
from processsoak import settingsfiles
from processsoak import verdict as verdicts

ENDPOINTS = 3
CLIENTS_PER_ENTRY = 4
POLL_S = 0.05
REPAIR_S = 0.3
# Time after the allowed time of a stop until the process is killed.
OVERDUE_S = 2.0
RUN_LIMIT_S = 150.0


class Machine:
    """A machine with one role, whose processes follow one another."""

    def __init__(self, name, settings, directory):
        self.name = name
        self.host = settings.host
        self.processes = []
        self.disturbances = []
        self._settings = settings
        self._directory = directory
        self._path = directory / f"{name}.conf"
        self._ends = []

    async def play(self, lives, store_is_up, verdict):
        """Plays all lives and waits until the last process is ready."""
        for life in lives:
            if not life.end:
                break
            process, disturbing = await self._begin(life)
            await self._finish(process, disturbing, life.end)
        process, disturbing = await self._begin(lives[-1])
        await disturbing
        if process.exit_code is not None:
            process, _ = await self._begin(schedules.Life())
        await asyncio.gather(store_is_up.wait(), *self._ends)
        began_at = time.monotonic()
        while not await self._is_ready():
            if process.exit_code is not None:
                return
            if time.monotonic() - began_at > verdicts.READY_S:
                log = process.log_path.name
                verdict.faults.append(f"{log}: not ready in {verdicts.READY_S} s")
                return
            await asyncio.sleep(POLL_S)
        ready_s = time.monotonic() - began_at
        verdict.slowest_ready_s = max(verdict.slowest_ready_s, ready_s)

    async def stop(self):
        """Ends the last process as planned."""
        process = self.processes[-1]
        process.send(signal.SIGTERM)
        await self._wait_for_end(process)

    def kill(self):
        """Ends all processes that still run."""
        for process in self.processes:
            process.end()

    async def _begin(self, life):
        """Starts a process; returns it and the task that disturbs it."""
        self._settings.write(self._path, life.content, life.kept_share)
        holder = None
        if life.port:
            port = getattr(self._settings.ports, life.port.name)
            holder = processes.PortHolder(self.host, port, life.port.is_udp)
        log_path = self._directory / f"{self.name}-{len(self.processes) + 1}.log"
        process = processes.Process(
            self._settings.role,
            self.host,
            self._path,
            log_path,
            life.output,
            life.max_descriptors,
        )
        self.processes.append(process)
        disturbing = asyncio.create_task(self._disturb(process, life, holder))
        await asyncio.sleep(0)
        return process, disturbing

    async def _disturb(self, process, life, holder):
        steps = [(s.at_s, self._send(process, s)) for s in life.signals]
        steps += [(f.at_s, process.freeze(f.for_s)) for f in life.freezes]
        steps += [(c.at_s, self._change(process, c)) for c in life.changes]
        steps.append((life.repaired_s, self._write_whole()))
        if holder:
            steps.append((life.port.for_s, self._release(holder, process)))
        if life.output is processes.Output.CLOSING_PIPE:
            steps.append((life.output_closes_s, self._close_reader(process)))
        async with asyncio.TaskGroup() as group:
            for at_s, step in steps:
                group.create_task(_run_at(process.started_at + at_s, step))

    async def _finish(self, process, disturbing, end):
        await asyncio.sleep(
            max(0.0, process.started_at + end.signals.at_s - time.monotonic())
        )
        await self._send(process, end.signals)
        ending = asyncio.create_task(self._end(process, disturbing, end))
        self._ends.append(ending)
        if not end.starts_beside:
            await ending

    async def _end(self, process, disturbing, end):
        await self._send(
            process,
            schedules.Signals(
                0.0, signal.SIGHUP, end.hangups, schedules.STORM_INTERVAL_S
            ),
        )
        if end.kill_after_s is not None:
            await process.wait(end.kill_after_s)
            process.send(signal.SIGKILL)
        await disturbing
        await self._wait_for_end(process)

    async def _wait_for_end(self, process):
        if process.first_end_signal is None:
            return
        limit_s = verdicts.allow_stop_s(process) + OVERDUE_S
        elapsed_s = time.monotonic() - process.first_end_signal.at
        if await process.wait(max(OVERDUE_S, limit_s - elapsed_s)) is None:
            process.is_overdue = True
            process.send(signal.SIGKILL)
            await process.wait(OVERDUE_S)

    async def _send(self, process, signals):
        await process.send_series(signals.number, signals.count, signals.interval_s)

    async def _change(self, process, change):
        self._settings.budget_slack += 1
        self._settings.write(self._path, change.content, change.kept_share)
        if change.with_signal:
            process.send(signal.SIGHUP)
        await asyncio.sleep(REPAIR_S)
        await self._write_whole()

    async def _write_whole(self):
        self._settings.write(self._path, settingsfiles.Content.WHOLE)

    async def _release(self, holder, process):
        holder.release()
        now = time.monotonic()
        self.disturbances.append(
            verdicts.Disturbance(
                self.host, process.started_at, now + verdicts.LOSS_SLACK_S
            )
        )

    async def _close_reader(self, process):
        process.close_reader()

    async def _is_ready(self):
        if self._settings.role == "entry":
            port, path = self._settings.ports.ready, "/chicoryweir/readiness"
        else:
            port, path = self._settings.ports.peer, "/report"
        return await read_status(self.host, port, path) == 200


async def read_status(host, port, path):
    """Returns the status of a GET, or 0 without an answer within 1 s."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
                return int((await reader.readline()).split()[1])
            finally:
                writer.close()
    except (OSError, IndexError):
        return 0


async def _run_at(at, step):
    await asyncio.sleep(max(0.0, at - time.monotonic()))
    await step


async def serve_rank(endpoint, headers, writer):
    """Answers each call to a rank with an empty object."""
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}")
    await writer.drain()


async def _play_outages(store, outages, store_is_up):
    began_at = time.monotonic()
    for outage in sorted(outages, key=lambda outage: outage.at_s):
        await asyncio.sleep(max(0.0, began_at + outage.at_s - time.monotonic()))
        store.down = True
        await asyncio.sleep(outage.for_s)
        store.down = False
    store_is_up.set()


class Run:
    """A run with its stand-ins, machines and clients."""

    def __init__(self, schedule, seed, directory):
        self._schedule = schedule
        self._directory = directory
        self._store = fleetstandins.StoreStandIn()
        self._seed = seed
        self.machines = []
        self._servers = []
        self._clients = []
        self.verdict = verdicts.Verdict(seed)

    async def play(self):
        """Plays the schedule, then stops all machines while clients go on."""
        await self._start_standins()
        store_is_up = asyncio.Event()
        tasks = [
            asyncio.create_task(
                _play_outages(self._store, self._schedule.outages, store_is_up)
            )
        ]
        tasks += [asyncio.create_task(client.run()) for client in self._clients]
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                await asyncio.gather(
                    *(
                        _run_at(
                            began_at + number * self._schedule.stagger_s,
                            machine.play(
                                self._schedule.lives[machine.name],
                                store_is_up,
                                self.verdict,
                            ),
                        )
                        for number, machine in enumerate(self.machines)
                    )
                )
                await asyncio.gather(*(machine.stop() for machine in self.machines))
        except TimeoutError:
            self.verdict.faults.append(f"the run took longer than {RUN_LIMIT_S} s")
        finally:
            for machine in self.machines:
                machine.kill()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for server in self._servers:
                server.close()
        self._judge()

    def _judge(self):
        ended = [p for machine in self.machines for p in machine.processes]
        disturbances = [d for m in self.machines for d in m.disturbances]
        for process in ended:
            self.verdict.add_process(process)
            disturbances += verdicts.list_disturbances(process)
        calls = [call for client in self._clients for call in client.calls]
        self.verdict.add_calls(calls, ended, disturbances)
        if self._clients and not self.verdict.served:
            self.verdict.faults.append("no request was served")

    async def _start_standins(self):
        self._servers.append(await self._store.start())
        config = fleetstandins.build_configuration()
        config["services"][0]["max_connections"] = 50
        self._store.put("op", "config", config)
        for number in range(ENDPOINTS):
            endpoint = fleetstandins.EndpointStandIn(f"i-{number}", clients.answer)
            self._servers.append(await endpoint.start())
            row = endpoint.build_registration(slots=50)
            self._store.put("servers", endpoint.name, row)
        # Parallel runs use other addresses, so that they can't take each other's ports.
        network = f"127.0.{10 + os.getpid() % 240}"
        numbers = ports.pick_ports(5, f"{network}.1")
        shared = settingsfiles.Ports(*numbers)
        hosts = {
            name: f"{network}.{n + 1}" for n, name in enumerate(self._schedule.lives)
        }
        entry_hosts = [h for name, h in hosts.items() if name.startswith("entry")]
        for name, host in hosts.items():
            rank = fleetstandins.EndpointStandIn(name, serve_rank)
            self._servers.append(await rank.start())
            settings = settingsfiles.SettingsText(
                role=name.partition("-")[0],
                host=host,
                ports=shared,
                store_port=self._store.port,
                seeds=tuple(h for h in entry_hosts if h != host)[:3],
                rank_port=rank.port,
            )
            self.machines.append(Machine(name, settings, self._directory))
        for host in entry_hosts:
            for number in range(CLIENTS_PER_ENTRY):
                name = f"{host}-{number}"
                rng = random.Random(f"{self._seed} client {name}")
                self._clients.append(clients.Client(name, host, shared.front, rng))


async def run_seed(seed, entries, agents):
    """Plays the run of a seed; returns its verdict."""
    return await play(schedules.draw_schedule(seed, entries, agents), seed)


async def play(schedule, seed=0):
    """Plays a schedule; returns its verdict, and keeps its logs if it shows a fault."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"process-soak-{seed}-"))
    run = Run(schedule, seed, directory)
    await run.play()
    if run.verdict.faults:
        _save_record(directory, run)
        run.verdict.faults.append(f"logs of the run: {directory}")
    else:
        shutil.rmtree(directory)
    return run.verdict


def _save_record(directory, run):
    """Saves what was done to each process, with times since its start in seconds."""
    record = {
        process.log_path.name: {
            "output": process.output.value,
            "descriptors": process.max_descriptors,
            "started_at": process.started_at,
            "exit_code": process.exit_code,
            "lasted_s": process.ended_at - process.started_at,
            "sent": [
                [round(s.at - process.started_at, 4), s.number, s.is_early]
                for s in process.sent
            ],
        }
        for machine in run.machines
        for process in machine.processes
    }
    with contextlib.suppress(OSError):
        (directory / "record.json").write_text(json.dumps(record, indent=1))
