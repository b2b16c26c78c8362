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

_DAEMONS = ("entry", "agent")
_KILL_WAIT_S = 5.0
_PR_SET_PDEATHSIG = 1


class Child:
    """One child process; it is started, signalled and awaited by name only here."""

    def __init__(self, process: plan.Process, directory: pathlib.Path) -> None:
        """Keeps its configuration and its log in `directory`."""
        self.process = process
        self._config_file = directory / f"{process.name}.json"
        self._log_file = directory / f"{process.name}.log"
        self._child: asyncio.subprocess.Process | None = None
        self.exit_codes: dict[int, int] = {}

    @property
    def pid(self) -> int:
        """Process id; 0 before the start."""
        return self._child.pid if self._child else 0

    @property
    def returncode(self) -> int | None:
        """Exit code; None while it runs."""
        return self._child.returncode if self._child else None

    async def start(self) -> None:
        """Starts the process."""
        module = "chicoryweir_standins"
        if self.process.kind in _DAEMONS:
            module = "chicoryweir_daemon"
        command = [sys.executable, "-m", module, self.process.kind]
        with self._log_file.open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(
                *command,
                "--config",
                str(self._config_file),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )

    async def wait(self) -> int:
        """Returns the exit code once the process has ended."""
        child = self._child
        assert child is not None
        code = await child.wait()
        self.exit_codes[child.pid] = code
        return code

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal; a process that has ended is left alone."""
        if self._child is not None and self._child.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._child.send_signal(number)

    async def stop(self, timeout_s: float) -> int | None:
        """Asks the process to stop; kills it after the timeout.

        Returns:
            Its exit code, or None where it had to be killed.
        """
        if self._child is None:
            return 0
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._child.wait(), timeout_s)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await asyncio.wait_for(self._child.wait(), _KILL_WAIT_S)
            return None

    def read_log_tail(self, lines: int = 20) -> str:
        """Returns the end of its log."""
        if not self._log_file.exists():
            return ""
        text = self._log_file.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])


def _end_with_parent() -> None:
    """Lets the kernel end a child whose launcher was killed."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGTERM)


async def stop_all(
    children: collections.abc.Iterable[Child], timeout_s: float
) -> dict[str, int | None]:
    """Stops children side by side; returns their exit codes by name."""
    listed = list(children)
    codes = await asyncio.gather(*(child.stop(timeout_s) for child in listed))
    return {child.process.name: code for child, code in zip(listed, codes, strict=True)}
