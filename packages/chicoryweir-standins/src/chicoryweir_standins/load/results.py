"""Results of requests, and their totals."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import enum

from hdrh import histogram

_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3


class Ending(enum.Enum):
    """How a request ended for its caller.

    Attributes:
        IN_TIME: Complete, correct and within the deadline.
        LATE: Complete and correct, but after the deadline.
        REFUSED: Answered with an error status.
        CUT: Correct as far as received, but broken off or never begun.
        WRONG: The part received differs from the correct answer, or the stream ended
            cleanly before its end.
    """

    IN_TIME = "in_time"
    LATE = "late"
    REFUSED = "refused"
    CUT = "cut"
    WRONG = "wrong"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The result of one request.

    Attributes:
        workspace: Workspace that sent the request.
        priority: Priority class.
        ending: How it ended.
        status: HTTP status; 0 without one.
        outcome: Outcome that a problem names, or an empty string.
        first_token_s: Time from arrival to the first token; None without one.
        total_s: Time from arrival to the end of the answer.
        tokens: Tokens received.
        body_sha256: Digest of the body that was sent, in hex.
        arrived_at_s: Time of arrival, in seconds after the start of the run.
        detail: Description of the failure, for reports.
    """

    workspace: str
    priority: str
    ending: Ending
    status: int
    outcome: str
    first_token_s: float | None
    total_s: float
    tokens: int
    body_sha256: str = ""
    arrived_at_s: float = 0.0
    detail: str = ""


class Tally:
    """Totals of the results of one class or workspace."""

    def __init__(self) -> None:
        """Creates an empty tally."""
        self.endings: collections.Counter[Ending] = collections.Counter()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.tokens_on_time = 0
        self._first_token = histogram.HdrHistogram(
            1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )

    def add(self, result: Result) -> None:
        """Adds one result."""
        self.endings[result.ending] += 1
        self.statuses[result.status] += 1
        if result.ending is Ending.IN_TIME:
            self.tokens_on_time += result.tokens
        if result.first_token_s is not None:
            self._first_token.record_value(max(1, int(result.first_token_s * 1e6)))

    def count(self) -> int:
        """Returns the number of requests."""
        return sum(self.endings.values())

    def compute_on_time_share(self) -> float:
        """Returns the share answered on time (0 to 1); 1 without requests."""
        return self.endings[Ending.IN_TIME] / self.count() if self.count() else 1.0

    def compute_first_token_ms(self, percentile: float) -> float:
        """Returns a percentile (0 to 100) of the time to the first token."""
        value: float = self._first_token.get_value_at_percentile(percentile)
        return value / 1e3

    def describe(self) -> str:
        """Returns one line for a report."""
        endings = ", ".join(f"{e.value} {n}" for e, n in sort_endings(self.endings))
        return (
            f"{self.count()} requests: {endings}; first token p50 "
            f"{self.compute_first_token_ms(50):.1f} ms, p99 "
            f"{self.compute_first_token_ms(99):.1f} ms"
        )


def sort_endings(
    counter: collections.Counter[Ending],
) -> list[tuple[Ending, int]]:
    """Returns the endings and their counts, sorted by the ending's value."""
    return sorted(counter.items(), key=lambda item: item[0].value)


def tally_by_class(
    results: collections.abc.Iterable[Result],
) -> dict[str, Tally]:
    """Returns the tally of each priority class."""
    tallies: dict[str, Tally] = collections.defaultdict(Tally)
    for result in results:
        tallies[result.priority].add(result)
    return dict(tallies)


def tally_by_workspace(
    results: collections.abc.Iterable[Result],
) -> dict[str, Tally]:
    """Returns the tally of each workspace."""
    tallies: dict[str, Tally] = collections.defaultdict(Tally)
    for result in results:
        tallies[result.workspace].add(result)
    return dict(tallies)
