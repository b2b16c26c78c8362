"""Renders the results of the `capacity` command as a Markdown page."""

from __future__ import annotations

import dataclasses

from chicoryweir_standins.capacity import slopes
from chicoryweir_standins.capacity import steps

_HEADER = """# What control costs

Written by `make capacity`, one run: real processes on loopback, all on one machine
that may be busy with other work, without requests. The agents of a fleet share one
model engine's stand-in. The usual fleet has 2 entries, 4 agents and 10 workspaces; one
of these is varied at a time. A line is fitted by least squares through the medians;
the smallest and largest sample of each size are in brackets. The bytes are those of
sealed messages, without the framing of websockets, TCP and IP, and were counted at the
entries. Fleets were of one host, so no latency between places is in them.

| role | measured | for each of | medians by size | at none | for each one |
| --- | --- | --- | --- | --- | --- |
"""
_INTERPRETERS_SECTION = """
## Memory of an idle interpreter with the daemon's imports

| role | MiB |
| --- | --- |
"""
_TAKEOVERS_SECTION = """
## A killed lease holder

3 entries, 3 agents, one group. Seconds from SIGKILL of the entry that held the group's
lease until another held it: {times}. Steps of a group don't wait for a holder.
"""
_STEPS_SECTION = """
## Steps of the cores

Mean processor time of one step, without input or output.

| core | step | links | µs |
| --- | --- | --- | --- |
"""
_REPORTS_SECTION = """
## Load reports

An idle agent sends {per_s:.2f} reports a second on each link, of {bytes_each} bytes
before sealing.

## Entries that see whole groups

380 entries with subsets of 48 of 890 agents of one service in 8 places; groups of 4
agents with names that follow each other. Of {groups} groups, {without} have no entry
that is linked to all their agents; least {least}, median {median} entries.
"""


@dataclasses.dataclass(slots=True)
class Measurements:
    """Results of one run of the command, filled in as it proceeds."""

    step_costs: list[steps.StepCost]
    reports: steps.ReportTraffic
    coverage: steps.Coverage
    interpreter_memory_mib: dict[str, float]
    fitted_slopes: list[slopes.Slope] = dataclasses.field(default_factory=list)
    takeover_times_s: list[float | None] | None = None


def render_page(measured: Measurements) -> str:
    """Returns the page as Markdown."""
    text = _HEADER + "".join(map(_render_slope, measured.fitted_slopes))
    text += _INTERPRETERS_SECTION
    for role, memory_mib in measured.interpreter_memory_mib.items():
        text += f"| {role} | {memory_mib:.1f} |\n"
    times = "not measured, the run was broken off"
    if measured.takeover_times_s is not None:
        times = ", ".join(map(_render_takeover, measured.takeover_times_s))
    text += _TAKEOVERS_SECTION.format(times=times) + _STEPS_SECTION
    for cost in measured.step_costs:
        text += f"| {cost.core} | {cost.step} | {cost.links} | {cost.cost_us:.1f} |\n"
    values = dataclasses.asdict(measured.reports) | dataclasses.asdict(
        measured.coverage
    )
    return text + _REPORTS_SECTION.format(**values)


def _render_slope(slope: slopes.Slope) -> str:
    sizes = ", ".join(
        f"{point.size:g}: {point.median:.3g} ({point.minimum:.3g}–{point.maximum:.3g})"
        for point in slope.points
    )
    return (
        f"| {slope.role} | {slope.quantity} | {slope.driver} | {sizes}"
        f" | {slope.intercept:.3g} | {slope.per_unit:.3g} |\n"
    )


def _render_takeover(seconds: float | None) -> str:
    return "not taken over in 40 s" if seconds is None else f"{seconds:.1f}"
