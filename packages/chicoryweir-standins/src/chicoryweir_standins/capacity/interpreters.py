"""Measures the memory of idle interpreters with a daemon's imports."""

from __future__ import annotations

import asyncio
import sys

from chicoryweir_standins.bench import process_stats

_MODULES = {
    "entry": "chicoryweir_daemon.entry.service",
    "agent": "chicoryweir_daemon.agent.service",
}
_BYTES_PER_MIB = 1024 * 1024


async def measure_interpreters() -> dict[str, float]:
    """Returns the resident memory of an idle interpreter by role, in MiB."""
    measured = {}
    for role, module in _MODULES.items():
        code = f"import {module}, sys; print('up', flush=True); sys.stdin.read()"
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert child.stdin is not None
        assert child.stdout is not None
        await child.stdout.readline()
        measured[role] = process_stats.read_resident_bytes(child.pid) / _BYTES_PER_MIB
        child.stdin.close()
        await child.wait()
    return measured
