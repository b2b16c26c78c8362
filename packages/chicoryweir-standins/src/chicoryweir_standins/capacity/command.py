"""The `capacity` command: measures idle fleets and writes a page and a CSV file."""

from __future__ import annotations

import argparse
import csv
import io
import pathlib

from chicoryweir_standins.capacity import idle
from chicoryweir_standins.capacity import interpreters
from chicoryweir_standins.capacity import page
from chicoryweir_standins.capacity import slopes
from chicoryweir_standins.capacity import steps
from chicoryweir_standins.capacity import takeover
from chicoryweir_standins.launch import signals

_ENTRIES = 380
_AGENTS = 890
_DATA_CENTRES = 8
_GROUP_AGENTS = 4


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's flags."""
    parser.add_argument(
        "--output", type=pathlib.Path, default=pathlib.Path("docs/measurements")
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the command; returns its exit code."""
    return signals.run_cancellable(_measure(arguments.output))


async def _measure(output: pathlib.Path) -> int:
    samples: list[slopes.Sample] = []
    measured = page.Measurements(
        step_costs=steps.measure_steps(),
        reports=steps.measure_reports(),
        coverage=steps.measure_coverage(
            _ENTRIES, _AGENTS, _DATA_CENTRES, _GROUP_AGENTS
        ),
        interpreter_memory_mib=await interpreters.measure_interpreters(),
    )
    try:
        await idle.measure_fleets(samples)
        measured.takeover_times_s = await takeover.time_takeovers()
    finally:
        measured.fitted_slopes = slopes.fit_slopes(samples)
        _write_report(measured, samples, output)
    return 0


def _write_report(
    measured: page.Measurements, samples: list[slopes.Sample], output: pathlib.Path
) -> None:
    output.mkdir(parents=True, exist_ok=True)
    text = page.render_page(measured)
    (output / "capacity.md").write_text(text)
    (output / "capacity.csv").write_text(render_table(samples))
    print(text)


def render_table(samples: list[slopes.Sample]) -> str:
    """Renders every sample as CSV."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(["role", "quantity", "driver", "size", "value"])
    for s in samples:
        writer.writerow([s.role, s.quantity, s.driver, s.size, f"{s.value:.4g}"])
    return output.getvalue()
