"""The `capacity` command: measures slopes and writes them as a page."""

from __future__ import annotations

import argparse
import csv
import io
import pathlib

from chicoryweir_standins.capacity import idle
from chicoryweir_standins.capacity import slopes
from chicoryweir_standins.launch import signals

_HEADER = """# What daemons spend while idle

Written by `make capacity`: real processes on loopback, all on one machine, without
requests. Each line is fitted by least squares through idle fleets of several sizes.

| role | measured | for each of | at none | for each one | samples |
| --- | --- | --- | --- | --- | --- |
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's flags."""
    parser.add_argument(
        "--output", type=pathlib.Path, default=pathlib.Path("docs/measurements")
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs the command; returns its exit code."""
    return signals.run_cancellable(_measure(arguments.output))


async def _measure(output: pathlib.Path) -> int:
    samples = await idle.measure_idle()
    _write_report(samples, output)
    return 0


def _write_report(samples: list[slopes.Sample], output: pathlib.Path) -> None:
    page = render_page(slopes.fit_slopes(samples))
    output.mkdir(parents=True, exist_ok=True)
    (output / "idle.md").write_text(page)
    (output / "idle.csv").write_text(render_table(samples))
    print(page)


def render_page(fitted: list[slopes.Slope]) -> str:
    """Returns the page with one line for each slope."""
    lines = [
        f"| {s.role} | {s.quantity} | {s.driver} | {s.base:.3g} | {s.each:.3g} "
        f"| {s.samples} |\n"
        for s in fitted
    ]
    return _HEADER + "".join(lines)


def render_table(samples: list[slopes.Sample]) -> str:
    """Returns every sample as CSV."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(["role", "quantity", "driver", "size", "value"])
    for s in samples:
        writer.writerow([s.role, s.quantity, s.driver, s.size, f"{s.value:.4g}"])
    return output.getvalue()
