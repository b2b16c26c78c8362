"""Fits how a value grows with the size of the fleet."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import statistics

_MIN_POINTS = 2


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
class Point:
    """The samples of one size."""

    size: float
    minimum: float
    median: float
    maximum: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A line through the samples of one quantity and one driver.

    Attributes:
        role: entry or agent.
        quantity: What was measured, with its unit.
        driver: What was varied.
        base: Value at size 0.
        each: Growth by each one of the driver.
        points: The samples by size.
    """

    role: str
    quantity: str
    driver: str
    intercept: float
    per_unit: float
    points: tuple[Point, ...]


def fit_slopes(samples: collections.abc.Iterable[Sample]) -> list[Slope]:
    """Fits a line by least squares through the medians of each size.

    A driver of which fewer than two sizes were measured is left out.
    """
    groups: dict[tuple[str, str, str], list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        groups[sample.role, sample.quantity, sample.driver].append(sample)
    slopes = []
    for (role, quantity, driver), group in groups.items():
        points = _summarise(group)
        if len(points) < _MIN_POINTS:
            continue
        fit = statistics.linear_regression(
            [point.size for point in points], [point.median for point in points]
        )
        slopes.append(Slope(role, quantity, driver, fit.intercept, fit.slope, points))
    return slopes


def _summarise(samples: list[Sample]) -> tuple[Point, ...]:
    values: dict[float, list[float]] = collections.defaultdict(list)
    for sample in samples:
        values[sample.size].append(sample.value)
    return tuple(
        Point(size, min(found), statistics.median(found), max(found))
        for size, found in sorted(values.items())
    )
