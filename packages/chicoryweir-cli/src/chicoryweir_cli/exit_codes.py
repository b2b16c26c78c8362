"""Exit codes of the command line."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """How a command ended.

    Attributes:
        DONE: It did what was asked.
        REFUSED: It was refused: invalid input or a conflict; nothing changed.
        USAGE: The command line or the client file is wrong.
        UNKNOWN: No entry could be reached, or the outcome is not known.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
