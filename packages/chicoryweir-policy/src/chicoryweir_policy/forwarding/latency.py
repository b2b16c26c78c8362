"""Predicts the time from sending a request to the first part of its answer.

In a burst, steps take longer, and so does the first part. A request whose latest start
was computed from the time at an idle endpoint would then miss its objective.
"""

from __future__ import annotations

import dataclasses

# Weights of a new sample in the mean and in the deviation. RFC 6298 uses 1/8 and 1/4
# for round-trip times; here a burst builds up within a second.
MEAN_WEIGHT = 0.1
DEVIATION_WEIGHT = 0.1
# Number of mean deviations that the prediction adds to the mean, to cover most samples.
DEVIATIONS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FirstPartLatency:
    """Moving average of the time to the first part of an answer.

    Attributes:
        mean_s: Moving average, in seconds; None before the first sample.
        deviation_s: Mean absolute deviation, in seconds.
    """

    mean_s: float | None = None
    deviation_s: float = 0.0

    def predict_s(self) -> float:
        """Returns the time that covers most requests; 0 before the first sample."""
        if self.mean_s is None:
            return 0.0
        return self.mean_s + DEVIATIONS * self.deviation_s


def record_sample(latency: FirstPartLatency, sample_s: float) -> FirstPartLatency:
    """Returns the averages updated with one measured time, in seconds."""
    if latency.mean_s is None:
        return FirstPartLatency(sample_s, sample_s / 4)
    error = sample_s - latency.mean_s
    deviation = latency.deviation_s + DEVIATION_WEIGHT * (
        abs(error) - latency.deviation_s
    )
    return FirstPartLatency(latency.mean_s + MEAN_WEIGHT * error, deviation)
