"""Collects the daemons' notes on a request."""

from __future__ import annotations

import asyncio
import itertools
import time
import typing

from chicoryweir_daemon.runtime import cores
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores import events

GATHER_TIME_S = 0.3

Json = dict[str, typing.Any]


class Explainer:
    """Collects notes on a request through the core, which queries its peers."""

    def __init__(self, core_task: cores.CoreTask) -> None:
        self._core_task = core_task
        self._query_numbers = itertools.count(1)
        self._reports_by_query: dict[int, list[commands.ReportNotes]] = {}
        core_task.set_handler(commands.ReportNotes, self._add_report)

    async def explain(self, request_id: str) -> list[Json]:
        """Returns the notes that arrive within `GATHER_TIME_S`, oldest first."""
        number = next(self._query_numbers)
        self._reports_by_query[number] = []
        self._core_task.post(events.NotesRequested(number, request_id))
        await asyncio.sleep(GATHER_TIME_S)
        reports = self._reports_by_query.pop(number)
        dated = [(report.instance, note) for report in reports for note in report.notes]
        dated.sort(key=lambda pair: -pair[1].age_s)
        now = time.time()
        return [
            {
                "instance": instance,
                "at": now - note.age_s,
                "step": note.step,
                "detail": {"text": note.detail},
            }
            for instance, note in dated
        ]

    def _add_report(self, report: commands.ReportNotes) -> None:
        reports = self._reports_by_query.get(report.number)
        if reports is not None:
            reports.append(report)
