"""Measured values beside their targets."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import enum
import statistics


class Bound(enum.Enum):
    """On which side of its target a value has to lie."""

    AT_LEAST = "≥"
    AT_MOST = "≤"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What a value has to reach.

    Attributes:
        name: What is measured.
        unit: Unit of the value and of the limit.
        bound: On which side of the limit it has to lie.
        limit: The limit.
    """

    name: str
    unit: str
    bound: Bound
    limit: float

    def is_met(self, value: float) -> bool:
        """Tells whether a value meets the target."""
        if self.bound is Bound.AT_LEAST:
            return value >= self.limit
        return value <= self.limit

    def get_worst(self, values: collections.abc.Iterable[float]) -> float:
        """Returns the value that is furthest from meeting the target."""
        return min(values) if self.bound is Bound.AT_LEAST else max(values)


@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """One value of one run.

    Attributes:
        deployment: Deployment that was measured.
        experiment: Experiment that gave it.
        seed: Seed of the run.
        target: What it has to reach.
        value: What was measured.
    """

    deployment: str
    experiment: str
    seed: int
    target: Target
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The values of one target over all seeds.

    Attributes:
        deployment: Deployment that was measured.
        experiment: Experiment that gave them.
        target: What they have to reach.
        seeds: Number of runs.
        median: Median value.
        worst: Value furthest from meeting the target.
    """

    deployment: str
    experiment: str
    target: Target
    seeds: int
    median: float
    worst: float


def summarise(measures: collections.abc.Iterable[Measure]) -> list[Summary]:
    """Returns the median and the worst value of each target."""
    groups: dict[tuple[str, str, Target], list[float]] = collections.defaultdict(list)
    for measure in measures:
        key = (measure.deployment, measure.experiment, measure.target)
        groups[key].append(measure.value)
    return [
        Summary(
            deployment,
            experiment,
            target,
            len(values),
            statistics.median(values),
            target.get_worst(values),
        )
        for (deployment, experiment, target), values in groups.items()
    ]
