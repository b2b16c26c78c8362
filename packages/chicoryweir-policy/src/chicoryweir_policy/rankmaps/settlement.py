"""Tells whether a group's ranks have a map change left unfinished."""

from __future__ import annotations

import collections.abc

from chicoryweir_policy.rankmaps import orders


def is_settled(reports: collections.abc.Sequence[orders.Report]) -> bool:
    """Returns whether no change is left unfinished, by the reports of all ranks.

    That is so if the group isn't held, and either no rank is armed, or all ranks have
    switched or will switch to the same map. They do so at the same step, since one
    change arms for one step only; to cancel that without a hold could leave some ranks
    switched and others not.
    """
    if any(report.held is not None for report in reports):
        return False
    armed = {
        (report.armed, report.armed_step)
        for report in reports
        if report.armed is not None
    }
    if not armed:
        return True
    versions = {version for version, _ in armed}
    return len(armed) == 1 and all(
        report.armed in versions or report.version in versions for report in reports
    )
