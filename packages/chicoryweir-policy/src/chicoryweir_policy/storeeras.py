"""Tracks the era of the platform's store.

A store that is restored from a copy loses its latest changes and assigns their versions
again to other changes. Its era rises each time, so that versions are comparable within
an era only.
"""

from __future__ import annotations

import enum


class Observation(enum.Enum):
    """What the era of an answer shows.

    Attributes:
        CURRENT: The answer is of the latest known era, or states none.
        RESTORED: The store has been restored since the latest answer, or has stated no
            era until then.
        OUTDATED: The store has been restored since it sent the answer.
    """

    CURRENT = "current"
    RESTORED = "restored"
    OUTDATED = "outdated"


class EraTracker:
    """Knows the latest era that any answer of the store stated."""

    def __init__(self) -> None:
        self._current: int | None = None
        self._has_answered = False

    @property
    def current(self) -> int | None:
        """The latest known era; None before the first."""
        return self._current

    def observe(self, era: int | None) -> Observation:
        """Records the era of an answer; None if the answer states none."""
        is_first = not self._has_answered
        self._has_answered = True
        if era is None or era == self._current:
            return Observation.CURRENT
        if self._current is not None and era < self._current:
            return Observation.OUTDATED
        self._current = era
        return Observation.CURRENT if is_first else Observation.RESTORED
