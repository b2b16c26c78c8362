"""Fits the linear growth of measured values with the size of the fleet."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import statistics

_MIN_SIZES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One value measured in a fleet of one size.

    Attributes:
        role: entry, agent, store or fleet.
        quantity: Name of the value, with its unit.
        driver: Dimension in which the fleet was varied.
        size: Size of the fleet in that dimension.
        value: The measured value.
    """

    role: str
    quantity: str
    driver: str
    size: float
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """Summary of the samples of one size."""

    size: float
    minimum: float
    median: float
    maximum: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A line through the samples of one quantity and one driver.

    Attributes:
        role: entry, agent, store or fleet.
        quantity: Name of the value, with its unit.
        driver: Dimension in which the fleet was varied.
        intercept: Value at size 0.
        per_unit: Growth per unit of the driver.
        points: Summaries of the samples by size.
    """

    role: str
    quantity: str
    driver: str
    intercept: float
    per_unit: float
    points: tuple[Point, ...]


def fit_slopes(samples: collections.abc.Iterable[Sample]) -> list[Slope]:
    """Fits a least-squares line through the medians of the sizes.

    A driver with fewer than two measured sizes gets no line.
    """
    groups: dict[tuple[str, str, str], list[Sample]] = collections.defaultdict(list)
    for sample in samples:
        groups[sample.role, sample.quantity, sample.driver].append(sample)
    slopes = []
    for (role, quantity, driver), group in groups.items():
        points = _summarise(group)
        if len(points) < _MIN_SIZES:
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
        Point(size, min(group), statistics.median(group), max(group))
        for size, group in sorted(values.items())
    )
