"""Writes measurements as a Markdown page and as CSV."""

from __future__ import annotations

import csv
import io
import pathlib

from chicoryweir_standins.bench import deployments
from chicoryweir_standins.bench import measures

_HEADER = """# Measurements of the running system

Written by `make bench`: real processes on loopback, all on one machine, with
stand-ins for the platform and the engines. Targets are those of the design.

"""


def render_page(summaries: list[measures.Summary]) -> str:
    """Renders the median and the worst value over all seeds for each target."""
    lines = [_HEADER]
    for deployment in deployments.DEPLOYMENTS.values():
        lines.append(f"- {deployment.name}: {deployment.scale}.\n")
    lines.append("\n| deployment | experiment | measured | seeds | median | worst |")
    lines.append(" target | median meets it | worst meets it |\n")
    lines.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
    for summary in summaries:
        target = summary.target
        lines.append(
            f"| {summary.deployment} | {summary.experiment} | {target.name} "
            f"({target.unit}) | {summary.seeds} | {summary.median:.4g} "
            f"| {summary.worst:.4g} | {target.bound.value} {target.limit:g} "
            f"| {_format_yes_no(target.is_met(summary.median))} "
            f"| {_format_yes_no(target.is_met(summary.worst))} |\n"
        )
    return "".join(lines)


def render_table(measured: list[measures.Measure]) -> str:
    """Renders every value of every run as CSV."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(
        ["deployment", "experiment", "seed", "measured", "unit", "value"]
        + ["bound", "limit", "met"]
    )
    for measure in measured:
        target = measure.target
        writer.writerow(
            [measure.deployment, measure.experiment, measure.seed, target.name]
            + [target.unit, f"{measure.value:.6g}", target.bound.name.lower()]
            + [f"{target.limit:g}", _format_yes_no(target.is_met(measure.value))]
        )
    return output.getvalue()


def write_report(
    measured: list[measures.Measure], directory: pathlib.Path, name: str
) -> None:
    """Writes `name`.md and `name`.csv into a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    page = render_page(measures.summarise(measured))
    (directory / f"{name}.md").write_text(page)
    (directory / f"{name}.csv").write_text(render_table(measured))


def _format_yes_no(is_met: bool) -> str:
    return "yes" if is_met else "no"
