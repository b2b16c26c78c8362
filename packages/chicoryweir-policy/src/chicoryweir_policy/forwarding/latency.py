"""Expected time from sending a request to the first part of its answer.

The load it answers: in a burst the time grows with the steps, and a request that starts
just before the time that an idle endpoint needs would miss its objective.
"""

from __future__ import annotations

import dataclasses

# Weight of a new sample in the mean and in the deviation (RFC 6298 uses 1/8 and 1/4
# for round trips; a burst builds up within a second, so a new sample weighs more).
MEAN_WEIGHT = 0.1
DEVIATION_WEIGHT = 0.1
# Deviations above the mean within which most samples lie.
DEVIATIONS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FirstPartLatency:
    """Time to the first part of an answer, in seconds.

    Attributes:
        mean_s: Mean, over the latest samples; None before any.
        deviation_s: Mean deviation from it.
    """

    mean_s: float | None = None
    deviation_s: float = 0.0

    def predict_s(self) -> float:
        """Returns the time that most requests need; 0 before any was measured."""
        if self.mean_s is None:
            return 0.0
        return self.mean_s + DEVIATIONS * self.deviation_s


def record_sample(known: FirstPartLatency, sample_s: float) -> FirstPartLatency:
    """Takes the time that one request needed, in seconds."""
    if known.mean_s is None:
        return FirstPartLatency(sample_s, sample_s / 4)
    error = sample_s - known.mean_s
    deviation = known.deviation_s + DEVIATION_WEIGHT * (abs(error) - known.deviation_s)
    return FirstPartLatency(known.mean_s + MEAN_WEIGHT * error, deviation)
