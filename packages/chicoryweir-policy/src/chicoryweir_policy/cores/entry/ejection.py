"""Ejects endpoints that are far slower or fail more often than their peers."""

from __future__ import annotations

from chicoryweir_policy import catalogue
from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.cores import commands
from chicoryweir_policy.cores.entry import state as entry_state

DETECTION_PERIOD_S = 1.0


class OutlierEjector:
    """Updates the outlier detector and ejects the outliers that it finds."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state = state
        self._due_at = float("-inf")

    def handle_report(
        self, instance: str, report: messages.LoadReport, now: float
    ) -> None:
        """Records the time per token of an endpoint that is running attempts."""
        view = self._state.loads.get_view(instance)
        if report.running and view is not None and view.token_time_s is not None:
            self._state.outlier_detector.record_token_time(
                instance, view.token_time_s, now
            )

    def tick(self, now: float, out: entry_state.Commands) -> None:
        """Ejects outliers of each service, every `DETECTION_PERIOD_S`."""
        if now < self._due_at:
            return
        self._due_at = now + DETECTION_PERIOD_S
        services: dict[str, list[str]] = {}
        for link in self._state.agent_links.values():
            view = self._state.loads.get_view(link.instance)
            if view is not None and view.evacuated:
                continue
            services.setdefault(link.service, []).append(link.instance)
        for service, members in services.items():
            self._eject(service, sorted(members), now, out)

    def _eject(
        self, service: str, members: list[str], now: float, out: entry_state.Commands
    ) -> None:
        effective = self._state.settings.resolve(
            self._state.config.data_centre, service, "", requests.PriorityClass.STANDARD
        )
        outliers = self._state.outlier_detector.eject(
            members, now, effective.max_ejected_share
        )
        for ejected in outliers:
            self._state.loads.record_ejection(ejected.instance, ejected.until)
            self._state.endpoints.eject(ejected.instance, ejected.until)
            detail = (
                f"pace {ejected.token_time_s:.4f} s,"
                f" median {ejected.median_token_time_s:.4f} s,"
                f" failing {ejected.failure_share:.2f}"
            )
            event_number = catalogue.ENDPOINT_EJECTED
            out.append(commands.LogEvent(event_number, "", ejected.instance, detail))
