"""States of the endpoints behind an entry's links, following the `endpoint` chart."""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.charts import interpreter

CHART = interpreter.load_chart("endpoint")


class EndpointStates:
    """Tracks the chart state of each endpoint by the instance name of its agent."""

    def __init__(self) -> None:
        self._states: dict[str, str] = {}
        self._ejected_until: dict[str, float] = {}

    def open_link(self, instance: str) -> None:
        """Sets an endpoint to the initial state when the link to its agent opens."""
        self._states[instance] = CHART.initial

    def close_link(self, instance: str) -> None:
        """Updates the state of an endpoint when the link to its agent closes."""
        self._advance(instance, "lose")

    def handle_report(
        self, instance: str, report: messages.LoadReport, now: float
    ) -> None:
        """Updates the state of an endpoint from its agent's load report."""
        if report.leaving:
            self._advance(instance, "drain")
        if now >= self._ejected_until.get(instance, now):
            self._advance(instance, "probe")
        if report.serving:
            self._advance(instance, "answer")

    def eject(self, instance: str, until: float) -> None:
        """Marks an endpoint as ejected until a monotonic time, in seconds."""
        self._ejected_until[instance] = until
        self._advance(instance, "eject")

    def get_state(self, instance: str) -> str:
        """Returns the state of an endpoint, or an empty string if it is unknown."""
        return self._states.get(instance, "")

    def _advance(self, instance: str, event: str) -> None:
        state = self._states.get(instance)
        if state is None:
            return
        outcome = interpreter.advance(CHART, state, event)
        if isinstance(outcome, interpreter.Advanced):
            self._states[instance] = outcome.state
