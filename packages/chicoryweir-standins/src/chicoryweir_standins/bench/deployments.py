"""The measured deployments, scaled down to one machine."""

from __future__ import annotations

import dataclasses

from chicoryweir_standins.launch import plan

ANSWER_TOKENS = 16
STEP_TIME_MS = 40.0

_ENTRIES = 3
_ENGINES = 6
_SLOTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment to measure.

    Attributes:
        name: Name of the deployment.
        size: Size of the scaled-down fleet.
        client_one_way_s: One-way latency between clients and entries.
        scale: Text that compares the size with that of the real deployment.
    """

    name: str
    size: plan.FleetSize
    client_one_way_s: float
    scale: str

    def compute_capacity(self) -> float:
        """Returns the nominal capacity of the engines, in tokens per second."""
        slots = self.size.engines * self.size.slots
        return slots * 1000.0 / self.size.step_time_ms


def _make_deployment(
    name: str,
    places: tuple[str, ...],
    model_service: str,
    plain_service: str,
    one_way_s: float,
) -> Deployment:
    size = plan.FleetSize(
        entries=_ENTRIES,
        engines=_ENGINES,
        services=1,
        slots=_SLOTS,
        step_time_ms=STEP_TIME_MS,
        has_group=False,
        data_centres=places,
        model_service=model_service,
        plain_service=plain_service,
    )
    scale = (
        f"{_ENGINES} model workers of {_SLOTS} slots for 16, {_ENTRIES} entries for 7, "
        f"1 plain worker for 3; {one_way_s * 1e3:g} ms one way between clients and "
        "entries, none between data centres"
    )
    return Deployment(name, size, one_way_s, scale)


PROCUREMENT = _make_deployment(
    "procurement",
    ("telavi", "gurjaani", "sighnaghi"),
    "model-desk",
    "purchase-ledger",
    0.003,
)
DIVISION = _make_deployment(
    "division",
    ("cr-central-a", "cr-central-b", "cr-central-c"),
    "rayo-llm",
    "conteo-app",
    0.001,
)
DEPLOYMENTS = {d.name: d for d in (PROCUREMENT, DIVISION)}

RELAY_SIZE = plan.FleetSize(
    entries=1, engines=3, services=1, slots=64, step_time_ms=5.0, has_group=False
)
