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
DURATION_DECAY = 0.1
MIN_DURATION_S = 0.001


class LoadMeter:
    """What is known of the endpoint's life, speed and work."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._step_time_s = DEFAULT_STEP_TIME_S
        self._models: tuple[str, ...] = ()
        self._reported_at = float("-inf")
        self._cost_tokens = 0.0
        self._duration_s = 0.0
        self.incarnation = ""
        self.serving = False

    def note_probe(self, probe: events.EndpointProbed) -> bool:
        """Takes the endpoint's own report; True when it came back or went."""
        was_serving = self.serving
        self.serving = bool(probe.incarnation)
        self.incarnation = probe.incarnation
        if self.serving:
            self._step_time_s = probe.step_time_s or self._step_time_s
            self._models = probe.models
        return self.serving != was_serving

    def note_lost(self) -> None:
        """The endpoint's process is gone."""
        self.serving = False
        self.incarnation = ""

    def note_end(self, attempt: attempts.Attempt, now: float) -> float:
        """Takes the end of an attempt; returns its tokens beyond the estimate."""
        self._learn(attempt.submit.cost_tokens, now - attempt.started_at)
        if attempt.submit.mode is requests.AnswerMode.EVENTS and attempt.payloads:
            prompt = attempt.submit.prompt_tokens
            return prompt + attempt.payloads - attempt.submit.cost_tokens
        return 0.0

    def _learn(self, cost_tokens: float, duration_s: float) -> None:
        if self._duration_s == 0.0:
            self._cost_tokens = cost_tokens
            self._duration_s = max(duration_s, MIN_DURATION_S)
            return
        self._cost_tokens += DURATION_DECAY * (cost_tokens - self._cost_tokens)
        self._duration_s += DURATION_DECAY * (duration_s - self._duration_s)
        self._duration_s = max(self._duration_s, MIN_DURATION_S)

    @property
    def tokens_per_s(self) -> float:
        """Estimated tokens that the endpoint works off in a second, all slots busy.

        Learnt from how long attempts ran against their estimates, so that estimates
        that are all too high cancel out.
        """
        if self._duration_s == 0.0:
            return self._slots / self._step_time_s
        return self._slots * self._cost_tokens / self._duration_s

    def estimate_run(self, cost_tokens: float) -> float:
        """Estimates how long an attempt runs, in seconds; 0 while nothing is known.

        An estimate above the usual is cut, since most answers end before the limit
        that their callers set.
        """
        if self._duration_s == 0.0:
            return 0.0
        return self._duration_s * min(1.0, cost_tokens / max(self._cost_tokens, 1.0))

    def is_report_due(self, now: float) -> bool:
        """Tells whether it is time for the next report."""
        return now - self._reported_at >= REPORT_PERIOD_S

    def note_reported(self, now: float) -> None:
        """A report went out to every entry."""
        self._reported_at = now

    def make_report(
        self,
        session: sessions.Session,
        measure: tuple[queued.ClassBacklog, ...],
        running: int,
        running_tokens: float,
        leaving: bool,
    ) -> messages.LoadReport:
        """Returns the next report for one entry; `note_told` counts it as sent."""
        return messages.LoadReport(
            sequence=session.reports + 1,
            acknowledged=session.acknowledged,
            running=running,
            waiting=sum(item.depth for item in measure),
            unfinished_tokens=sum(item.tokens for item in measure) + running_tokens,
            slots=self._slots,
            tokens_per_s=self.tokens_per_s,
            wait_s=tuple(item.new_workspace_wait_s for item in measure),
            leaving=leaving,
            serving=self.serving,
            endpoint_incarnation=self.incarnation,
            models=self._models,
        )


def is_news(session: sessions.Session, report: messages.LoadReport, now: float) -> bool:
    """Tells whether an entry has to be sent a report.

    One that says what the last one said is only sent to keep the entry from taking
    the endpoint's load as unknown.
    """
    told = session.told
    if told is None or now - session.told_at >= REFRESH_PERIOD_S:
        return True
    return dataclasses.replace(report, sequence=told.sequence) != told


def note_told(
    session: sessions.Session, report: messages.LoadReport, now: float
) -> None:
    """Notes that a report was sent to an entry."""
    session.reports = report.sequence
    session.told = report
    session.told_at = now
