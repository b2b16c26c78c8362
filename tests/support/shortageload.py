"""Loads of two deployments whose groups can't run all requests in time."""

from __future__ import annotations

import collections.abc
import dataclasses

import groupload

from chicoryweir_policy.forwarding import configuration

URGENT, STANDARD, PATIENT = range(3)
# Twice the interval of an entry, which halves the time of a simulation.
TICK_S = 0.06
ENGINE_1 = configuration.Engine(
    slots=5,
    memory_tokens=116_666,
    step_s=0.00455,
    sequence_s=0.00218,
    context_s=4.4e-8,
    read_tokens_per_s=61_400.0,
    steps_per_event=5,
    usual_prompt_tokens=800.0,
    usual_answer_tokens=95.0,
    link_bytes_per_s=22.5e9,
    experts=None,
)
ENGINE_2 = dataclasses.replace(
    ENGINE_1,
    step_s=0.00585,
    sequence_s=0.0028,
    steps_per_event=6,
    usual_answer_tokens=138.0,
)
PATIENT_BURST = groupload.Burst(PATIENT, 1.0, 7.0, 2.5)
URGENT_BURST = groupload.Burst(URGENT, 1.0, 5.0, 1.8)


def build_customer_1(**changes: object) -> groupload.Scenario:
    """Returns three classes before one group of 63 ranks."""
    kinds = tuple(
        groupload.Kind(
            _build_route(priority, objective_s, 0.15), per_s, worth, late, prompt, 19.0
        )
        for priority, objective_s, per_s, worth, late, prompt in (
            (URGENT, 0.5, 44.0, 3.0, 0.1, 674.0),
            (STANDARD, 0.5, 57.2, 1.6, 0.26, 960.0),
            (PATIENT, 1.0, 19.8, 0.8, 0.375, 787.0),
        )
    )
    base = groupload.Scenario(
        ENGINE_1, 63, 38, kinds, length_s=8.0, hints=True, returns=2, tick_s=TICK_S
    )
    return dataclasses.replace(base, **changes)


def build_customer_2(**changes: object) -> groupload.Scenario:
    """Returns three kinds of one class before three groups of 24 ranks.

    With even load on the experts, the default way has about as large a share of late
    and rejected streams as was measured (22 %).
    """
    kinds = tuple(
        groupload.Kind(
            _build_route(0, objective_s, 0.12), 130.0 / 3, 2.0, 0.25, 800.0, 23.0
        )
        for objective_s in (0.4, 0.5, 0.4)
    )
    base = groupload.Scenario(
        ENGINE_2,
        72,
        48,
        kinds,
        length_s=13.0,
        shifted_skew=1.0,
        skew=1.0,
        groups=3,
        hints=True,
        tick_s=TICK_S,
    )
    return dataclasses.replace(base, **changes)


def build_loads() -> dict[str, groupload.Scenario]:
    """Returns the loads by name."""
    urgent = dataclasses.replace(URGENT_BURST, begin_s=7.0, end_s=11.0)
    small, _, _ = build_customer_2().kinds
    return {
        "patient burst": build_customer_1(bursts=(PATIENT_BURST,)),
        "urgent burst": build_customer_1(bursts=(URGENT_BURST,)),
        "both bursts at once": build_customer_1(bursts=(PATIENT_BURST, URGENT_BURST)),
        "both bursts in turn": build_customer_1(
            bursts=(PATIENT_BURST, urgent), length_s=12.0
        ),
        "wave": build_customer_2(wave=0.55, data_centres=3),
        "hot workspace": build_customer_1(
            bursts=(PATIENT_BURST, URGENT_BURST), hot_share=0.4
        ),
        "large among small": build_customer_2(
            kinds=(
                dataclasses.replace(small, per_s=140.0, events=15.0),
                dataclasses.replace(
                    small, per_s=20.0, events=60.0, prompt_tokens=2000.0
                ),
            ),
            length_s=6.0,
        ),
        "early returns": build_customer_2(early_share=0.3, returns=9, length_s=6.0),
    }


@dataclasses.dataclass(frozen=True)
class Group:
    """Outcomes of a group of calls, as shares of them."""

    calls: int
    on_time: float
    late: float
    rejected: float

    @property
    def answered(self) -> float:
        """Share that was answered, on time or late."""
        return self.on_time + self.late


def measure(calls: collections.abc.Iterable[groupload.Call]) -> Group:
    """Returns the outcomes of some calls."""
    outcomes = [call.outcome for call in calls]
    shares = [
        outcomes.count(outcome) / max(1, len(outcomes))
        for outcome in ("on time", "late", "refused")
    ]
    return Group(len(outcomes), *shares)


def _build_route(
    priority: int, objective_s: float, max_gap_s: float
) -> configuration.Route:
    return configuration.Route(
        name=f"r{priority}",
        host="h.example",
        prefix="/a/",
        kind=configuration.RouteKind.STREAM,
        resumable=True,
        timeout_s=8.1,
        objective_s=objective_s,
        max_gap_s=max_gap_s,
        priority=priority,
        max_attempts=2,
        public=False,
        shares=(configuration.ServiceShare("model", 1.0),),
    )
