"""Load of an agent's endpoint, as it is told to the entries."""

from __future__ import annotations

import dataclasses

from chicoryweir_policy import messages
from chicoryweir_policy import requests
from chicoryweir_policy.admission import queued
from chicoryweir_policy.cores import events
from chicoryweir_policy.cores.agent import attempts
from chicoryweir_policy.cores.agent import sessions

REPORT_PERIOD_S = 0.25
REFRESH_PERIOD_S = 1.0
DEFAULT_STEP_TIME_S = 0.02
MEAN_UPDATE_WEIGHT = 0.1
MIN_DURATION_S = 0.001


class LoadMeter:
    """What is known of the endpoint's life, speed and work."""

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
        """Takes the endpoint's own report; True when it came back or went."""
        was_serving = self.serving
        self.serving = bool(probe.incarnation)
        self.incarnation = probe.incarnation
        if self.serving:
            self._step_time_s = probe.step_time_s or self._step_time_s
            self._models = probe.models
        return self.serving != was_serving

    def mark_lost(self) -> None:
        """The endpoint's process is gone."""
        self.serving = False
        self.incarnation = ""

    def record_end(self, attempt: attempts.Attempt, now: float) -> float:
        """Takes the end of an attempt; returns its tokens beyond the estimate."""
        self._update_means(attempt.submit.cost_tokens, now - attempt.started_at)
        if attempt.submit.mode is requests.AnswerMode.EVENTS and attempt.payloads:
            prompt = attempt.submit.prompt_tokens
            return prompt + attempt.payloads - attempt.submit.cost_tokens
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
        """Estimated tokens that the endpoint works off in a second, all slots busy.

        Learnt from how long attempts ran against their estimates, so that estimates
        that are all too high cancel out.
        """
        if self._mean_duration_s == 0.0:
            return self._slots / self._step_time_s
        return self._slots * self._mean_cost_tokens / self._mean_duration_s

    def estimate_duration(self, cost_tokens: float) -> float:
        """Estimates how long an attempt runs, in seconds; 0 while nothing is known.

        An estimate above the usual is cut, since most answers end before the limit
        that their callers set.
        """
        if self._mean_duration_s == 0.0:
            return 0.0
        return self._mean_duration_s * min(
            1.0, cost_tokens / max(self._mean_cost_tokens, 1.0)
        )

    def is_report_due(self, now: float) -> bool:
        """Tells whether it is time for the next report."""
        return now - self._reported_at >= REPORT_PERIOD_S

    def record_report_time(self, now: float) -> None:
        """A report went out to every entry."""
        self._reported_at = now

    def make_report(
        self,
        session: sessions.Session,
        class_measures: tuple[queued.ClassMeasure, ...],
        running: int,
        running_tokens: float,
        draining: bool,
    ) -> messages.LoadReport:
        """Returns the next report for one entry; `record_sent_report` counts it as sent."""
        return messages.LoadReport(
            sequence=session.reports_sent + 1,
            acknowledged=session.acknowledged,
            running=running,
            waiting=sum(item.depth for item in class_measures),
            unfinished_tokens=sum(item.tokens for item in class_measures)
            + running_tokens,
            slots=self._slots,
            tokens_per_s=self.tokens_per_s,
            wait_s=tuple(item.newcomer_wait_s for item in class_measures),
            leaving=draining,
            serving=self.serving,
            endpoint_incarnation=self.incarnation,
            models=self._models,
        )


def is_report_needed(
    session: sessions.Session, report: messages.LoadReport, now: float
) -> bool:
    """Tells whether an entry has to be sent a report.

    One that says what the last one said is only sent to keep the entry from taking
    the endpoint's load as unknown.
    """
    last = session.last_report
    if last is None or now - session.last_report_at >= REFRESH_PERIOD_S:
        return True
    return dataclasses.replace(report, sequence=last.sequence) != last


def record_sent_report(
    session: sessions.Session, report: messages.LoadReport, now: float
) -> None:
    """Notes that a report was sent to an entry."""
    session.reports_sent = report.sequence
    session.last_report = report
    session.last_report_at = now
