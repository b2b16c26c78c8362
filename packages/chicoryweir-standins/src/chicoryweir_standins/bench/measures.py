"""Measured values and their targets."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import enum
import statistics


class Bound(enum.Enum):
    """Whether a target is a lower or an upper bound."""

    AT_LEAST = "≥"
    AT_MOST = "≤"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A limit for a measured value.

    Attributes:
        name: Description of the value.
        unit: Unit of the value and of the limit.
        bound: Whether the limit is a lower or an upper bound.
        limit: The limit.
    """

    name: str
    unit: str
    bound: Bound
    limit: float

    def is_met(self, value: float) -> bool:
        """Returns whether a value meets the target."""
        if self.bound is Bound.AT_LEAST:
            return value >= self.limit
        return value <= self.limit

    def get_worst(self, values: collections.abc.Iterable[float]) -> float:
        """Returns the value furthest from meeting the target."""
        return min(values) if self.bound is Bound.AT_LEAST else max(values)


@dataclasses.dataclass(frozen=True, slots=True)
class Measure:
    """One measured value of one run.

    Attributes:
        deployment: Name of the deployment.
        experiment: Name of the experiment.
        seed: Seed of the run.
        target: Target of the value.
        value: The measured value.
    """

    deployment: str
    experiment: str
    seed: int
    target: Target
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Summary of the values of one target over all seeds.

    Attributes:
        deployment: Name of the deployment.
        experiment: Name of the experiment.
        target: Target of the values.
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
