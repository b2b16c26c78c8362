"""Child processes of the launcher."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import ctypes
import pathlib
import signal
import sys

from chicoryweir_standins.launch import plan

_DAEMON_KINDS = ("entry", "agent")
_KILL_TIMEOUT_S = 5.0
_PR_SET_PDEATHSIG = 1


class Child:
    """One child process; only this object starts, signals and awaits it."""

    def __init__(self, process: plan.Process, directory: pathlib.Path) -> None:
        """Uses the configuration and log files of the process in `directory`."""
        self.process = process
        self._config_file = directory / f"{process.name}.json"
        self._log_file = directory / f"{process.name}.log"
        self._subprocess: asyncio.subprocess.Process | None = None
        self.exit_codes: dict[int, int] = {}

    @property
    def pid(self) -> int:
        """Process id, or 0 before the start."""
        return self._subprocess.pid if self._subprocess else 0

    @property
    def returncode(self) -> int | None:
        """Exit code, or None before the process has exited."""
        return self._subprocess.returncode if self._subprocess else None

    async def start(self) -> None:
        """Starts the process."""
        module = "chicoryweir_standins"
        if self.process.kind in _DAEMON_KINDS:
            module = "chicoryweir_daemon"
        command = [sys.executable, "-m", module, self.process.kind]
        with self._log_file.open("ab") as log:
            self._subprocess = await asyncio.create_subprocess_exec(
                *command,
                "--config",
                str(self._config_file),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_set_parent_death_signal,
            )

    async def wait(self) -> int:
        """Waits until the process has exited; returns its exit code."""
        child = self._subprocess
        assert child is not None
        code = await child.wait()
        self.exit_codes[child.pid] = code
        return code

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal; has no effect on a process that has exited."""
        if self._subprocess is not None and self._subprocess.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._subprocess.send_signal(number)

    async def stop(self, timeout_s: float) -> int | None:
        """Stops the process by SIGTERM, or by SIGKILL after the timeout.

        Returns:
            Its exit code, or None if it was killed.
        """
        if self._subprocess is None:
            return 0
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._subprocess.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            async with asyncio.timeout(_KILL_TIMEOUT_S):
                await self._subprocess.wait()
            return None

    def read_log_tail(self, lines: int = 20) -> str:
        """Returns the last lines of the process's log."""
        if not self._log_file.exists():
            return ""
        text = self._log_file.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])


def _set_parent_death_signal() -> None:
    """Makes the kernel send SIGTERM to a child whose launcher was killed."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGTERM)


async def stop_all(
    children: collections.abc.Iterable[Child], timeout_s: float
) -> dict[str, int | None]:
    """Stops children concurrently; returns their exit codes by name."""
    listed = list(children)
    codes = await asyncio.gather(*(child.stop(timeout_s) for child in listed))
    return {child.process.name: code for child, code in zip(listed, codes, strict=True)}
