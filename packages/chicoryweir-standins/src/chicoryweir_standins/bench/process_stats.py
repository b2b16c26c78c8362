"""CPU time and resident memory of a process, read from /proc."""

from __future__ import annotations

import os
import pathlib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_USER_FIELD = 11
_SYSTEM_FIELD = 12


def read_cpu_time_s(pid: int) -> float:
    """Returns the user and system CPU time of a process, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The second field, the name, is in parentheses and may contain spaces.
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / _TICKS_PER_S


def read_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
