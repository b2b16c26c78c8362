"""States of the endpoints that an entry has links to, by the chart `endpoint`."""

from __future__ import annotations

from chicoryweir_policy import messages
from chicoryweir_policy.charts import interpreter

CHART = interpreter.load_chart("endpoint")


class EndpointStates:
    """Follows the life of each endpoint, for those who ask how it is."""

    def __init__(self) -> None:
        self._states: dict[str, str] = {}
        self._ejected_until: dict[str, float] = {}

    def open_link(self, instance: str) -> None:
        """A link to its agent is up; its life is followed from the start."""
        self._states[instance] = CHART.initial

    def close_link(self, instance: str) -> None:
        """The link to its agent is gone."""
        self._advance(instance, "lose")

    def consume_report(
        self, instance: str, report: messages.LoadReport, now: float
    ) -> None:
        """Its agent told how it is."""
        if report.leaving:
            self._advance(instance, "drain")
        if now >= self._ejected_until.get(instance, now):
            self._advance(instance, "probe")
        if report.serving:
            self._advance(instance, "answer")

    def eject(self, instance: str, until: float) -> None:
        """It gets no work until a time, monotonic seconds."""
        self._ejected_until[instance] = until
        self._advance(instance, "eject")

    def get_state(self, instance: str) -> str:
        """Returns its state, or an empty string when it is not known."""
        return self._states.get(instance, "")

    def _advance(self, instance: str, event: str) -> None:
        state = self._states.get(instance)
        if state is None:
            return
        outcome = interpreter.advance(CHART, state, event)
        if isinstance(outcome, interpreter.Advanced):
            self._states[instance] = outcome.state
