"""Exit codes of the command line."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Result of a command.

    Attributes:
        DONE: The command succeeded.
        REFUSED: The input is invalid or an entry refused the request, for instance
            because of a conflict; nothing changed.
        USAGE: The arguments or the client file are invalid.
        UNKNOWN: No entry could be reached, or the outcome is unknown.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
