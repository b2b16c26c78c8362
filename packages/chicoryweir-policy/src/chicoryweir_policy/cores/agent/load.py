"""Load of an agent's endpoint, as reported to the entries."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.admission import queued
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import attempts
from chicoryweir_policy.cores.agent import sessions

REPORT_PERIOD_S = 0.25
# Interval at which an unchanged report is sent again, so that entries don't treat it as
# stale.
REFRESH_PERIOD_S = 1.0
DEFAULT_STEP_TIME_S = 0.02
MEAN_UPDATE_WEIGHT = 0.1
MIN_DURATION_S = 0.001


class LoadMeter:
    """Tracks the state of the endpoint and estimates its speed."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._step_time_s = DEFAULT_STEP_TIME_S
        self._models: tuple[str, ...] = ()
        self._reported_at = float("-inf")
        self._mean_cost_tokens = 0.0
        self._mean_duration_s = 0.0
        self.incarnation = ""
        self.serving = False

    def record_probe(self, probe: events.EndpointProbed) -> bool:
        """Records the result of a probe; returns whether `serving` changed."""
        was_serving = self.serving
        self.serving = bool(probe.incarnation)
        self.incarnation = probe.incarnation
        if self.serving:
            self._step_time_s = probe.step_time_s or self._step_time_s
            self._models = probe.models
        return self.serving != was_serving

    def mark_lost(self) -> None:
        """Records that the endpoint's process was lost."""
        self.serving = False
        self.incarnation = ""

    def record_end(self, attempt: attempts.Attempt, now: float) -> float:
        """Updates the mean cost and duration with an ended attempt.

        Returns:
            Tokens used minus tokens estimated; 0 if the tokens used are unknown.
        """
        self._update_means(attempt.submit.cost_tokens, now - attempt.started_at)
        if attempt.submit.mode is requests.AnswerMode.EVENTS and attempt.payload_count:
            prompt = attempt.submit.prompt_tokens
            return prompt + attempt.payload_count - attempt.submit.cost_tokens
        return 0.0

    def _update_means(self, cost_tokens: float, duration_s: float) -> None:
        if self._mean_duration_s == 0.0:
            self._mean_cost_tokens = cost_tokens
            self._mean_duration_s = max(duration_s, MIN_DURATION_S)
            return
        self._mean_cost_tokens += MEAN_UPDATE_WEIGHT * (
            cost_tokens - self._mean_cost_tokens
        )
        self._mean_duration_s += MEAN_UPDATE_WEIGHT * (
            duration_s - self._mean_duration_s
        )
        self._mean_duration_s = max(self._mean_duration_s, MIN_DURATION_S)

    @property
    def tokens_per_s(self) -> float:
        """Estimated tokens processed per second with all slots busy.

        Counts estimated tokens, as `cost_tokens` does, so that a constant overestimate
        cancels out when a cost is divided by this speed.
        """
        if self._mean_duration_s == 0.0:
            return self._slots / self._step_time_s
        return self._slots * self._mean_cost_tokens / self._mean_duration_s

    def estimate_duration(self, cost_tokens: float) -> float:
        """Estimates the run time of an attempt, in seconds; 0 if none has ended yet.

        The result is capped at the mean, since most answers end before the token limit
        that their callers set.
        """
        if self._mean_duration_s == 0.0:
            return 0.0
        return self._mean_duration_s * min(
            1.0, cost_tokens / max(self._mean_cost_tokens, 1.0)
        )

    def is_report_due(self, now: float) -> bool:
        """Returns whether the report period has passed."""
        return now - self._reported_at >= REPORT_PERIOD_S

    def record_report_time(self, now: float) -> None:
        """Records when load reports were last made."""
        self._reported_at = now

    def make_report(
        self,
        session: sessions.Session,
        class_backlogs: tuple[queued.ClassBacklog, ...],
        running: int,
        running_tokens: float,
        draining: bool,
    ) -> messages.LoadReport:
        """Returns the next report for one entry, without recording it as sent."""
        return messages.LoadReport(
            sequence=session.reports_sent + 1,
            acknowledged=session.acknowledged,
            running=running,
            waiting=sum(item.depth for item in class_backlogs),
            unfinished_tokens=sum(item.tokens for item in class_backlogs)
            + running_tokens,
            slots=self._slots,
            tokens_per_s=self.tokens_per_s,
            wait_s=tuple(item.new_workspace_wait_s for item in class_backlogs),
            leaving=draining,
            serving=self.serving,
            endpoint_incarnation=self.incarnation,
            models=self._models,
        )


def is_report_needed(
    session: sessions.Session, report: messages.LoadReport, now: float
) -> bool:
    """Returns whether a report must be sent to an entry.

    A report that equals the last one is sent only every `REFRESH_PERIOD_S`, so that the
    entry doesn't treat the endpoint's load as unknown.
    """
    last_report = session.last_report
    if last_report is None or now - session.last_report_at >= REFRESH_PERIOD_S:
        return True
    return dataclasses.replace(report, sequence=last_report.sequence) != last_report


def record_sent_report(
    session: sessions.Session, report: messages.LoadReport, now: float
) -> None:
    """Records that a report was sent to an entry."""
    session.reports_sent = report.sequence
    session.last_report = report
    session.last_report_at = now
