"""Gathers what the daemons know of a request."""

from __future__ import annotations

import asyncio
import itertools
import time
import typing

from chicoryweir_daemon.runtime import cores
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

GATHER_S = 0.3

Json = dict[str, typing.Any]


class Explainer:
    """Asks the core, which asks its peers, for their notes on a request."""

    def __init__(self, task: cores.CoreTask) -> None:
        self._task = task
        self._numbers = itertools.count(1)
        self._gathered: dict[int, list[commands.ReportNotes]] = {}
        task.set_handler(commands.ReportNotes, self._gather)

    async def explain(self, request_id: str) -> list[Json]:
        """Returns the notes that came within `GATHER_S`, oldest first."""
        number = next(self._numbers)
        self._gathered[number] = []
        self._task.post(events.NotesRequested(number, request_id))
        await asyncio.sleep(GATHER_S)
        reports = self._gathered.pop(number)
        now = time.time()
        records = [
            {
                "instance": report.instance,
                "at": now - note.age_s,
                "step": note.step,
                "detail": {"text": note.detail},
            }
            for report in reports
            for note in report.notes
        ]
        return sorted(records, key=lambda record: typing.cast(float, record["at"]))

    def _gather(self, report: commands.ReportNotes) -> None:
        waiting = self._gathered.get(report.number)
        if waiting is not None:
            waiting.append(report)
