"""Fits how a value grows with the size of the fleet."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What one daemon spent in a fleet of one size.

    Attributes:
        role: entry or agent.
        quantity: What was measured, with its unit.
        driver: What was varied.
        size: How much of it there was.
        value: What was measured.
    """

    role: str
    quantity: str
    driver: str
    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A line through the samples of one quantity and one driver.

    Attributes:
        role: entry or agent.
        quantity: What was measured, with its unit.
        driver: What was varied.
        base: Value at size 0.
        each: Growth by each one of the driver.
        samples: Number of samples.
    """

    role: str
    quantity: str
    driver: str
    base: float
    each: float
    samples: int


def fit_slopes(samples: collections.abc.Iterable[Sample]) -> list[Slope]:
    """Fits a line by least squares for each role, quantity and driver."""
    groups: dict[tuple[str, str, str], list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        groups[sample.role, sample.quantity, sample.driver].append(sample)
    slopes = []
    for (role, quantity, driver), group in groups.items():
        fit = statistics.linear_regression(
            [sample.size for sample in group], [sample.value for sample in group]
        )
        slopes.append(
            Slope(role, quantity, driver, fit.intercept, fit.slope, len(group))
        )
    return slopes
