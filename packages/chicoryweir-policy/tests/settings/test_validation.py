"""Tests that validation lists all faults, with their paths and allowed values."""

import copy
import typing

import hypothesis
from hypothesis import strategies as st
import pytest

from chicoryweir_policy.settings import validation

VALID: dict[str, typing.Any] = {
    "workspaces": {"relay": {"keys_sha256": ["ab" * 32]}},
    "operators": {"dato": {"keys_sha256": ["cd" * 32]}},
    "services": {"model-desk": {"kind": "model", "models": ["kakheti-1"]}},
    "fleet": {
        "places": {
            "telavi": {"services": {"model-desk": {"workspaces": {"relay": {}}}}}
        }
    },
}


RELAY_NODE = "/fleet/places/telavi/services/model-desk/workspaces/relay"


def test_valid_document_has_no_faults() -> None:
    assert validation.find_faults(VALID) == ()


def test_all_faults_are_reported() -> None:
    document = copy.deepcopy(VALID)
    document["fleet"]["settings"] = {"deadline_m": 1, "weight": -1, "max_attempts": "x"}
    document["fleet"]["places"]["bad name"] = {}
    document["services"]["ledger"] = {"kind": "odd"}
    found = {fault.path: fault for fault in validation.find_faults(document)}
    assert set(found) == {
        "/fleet/places/bad name",
        "/fleet/settings/deadline_m",
        "/fleet/settings/max_attempts",
        "/fleet/settings/weight",
        "/services/ledger/kind",
    }
    assert "deadline_ms" in found["/fleet/settings/deadline_m"].problem
    assert found["/fleet/settings/deadline_m"].is_key_fault
    assert "from 0.001 to 1000" in found["/fleet/settings/weight"].allowed
    assert found["/services/ledger/kind"].allowed == "one of model, plain"


@pytest.mark.parametrize(
    ("path", "value", "fault_path"),
    [
        (["services", "model-desk", "kind"], "plain", "/services/model-desk/models"),
        (["operators"], {}, "/operators"),
        (
            ["operators", "dato", "keys_sha256"],
            ["AB" * 32],
            "/operators/dato/keys_sha256/0",
        ),
        (["workspaces"], {}, RELAY_NODE),
        (["fleet", "settings"], {"floor_share": 0.4}, "/fleet/settings/floor_share"),
    ],
)
def test_inconsistent_parts_are_reported(
    path: list[str], value: object, fault_path: str
) -> None:
    document = copy.deepcopy(VALID)
    target = document
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    assert [fault.path for fault in validation.find_faults(document)] == [fault_path]


nodes = st.fixed_dictionaries(
    {},
    optional={
        "settings": st.dictionaries(
            st.sampled_from(["weight", "queue_limit", "odd"]),
            st.sampled_from([0, 1, 1.0, True, None, "x"]),
            max_size=2,
        ),
        "services": st.dictionaries(
            st.sampled_from(["*", "model-desk", "b~/d"]),
            st.sampled_from([{}, {"settings": {"weight": 1}}, {"settings": 1}, 1]),
            max_size=2,
        ),
    },
)
fleets = st.fixed_dictionaries(
    {"places": st.dictionaries(st.sampled_from(["*", "telavi", " "]), nodes)}
)


@hypothesis.given(fleets, fleets, st.sampled_from(["model", "odd", None, 1]))
def test_validation_with_valid_base_finds_the_same_faults(
    base_fleet: object, fleet: object, kind: object
) -> None:
    base = {**VALID, "fleet": base_fleet}
    services = {**VALID["services"], "ledger": {"kind": kind}}
    document: typing.Any = {**VALID, "fleet": fleet, "services": services}
    if validation.find_faults(base):
        base = VALID
    assert validation.find_faults(document, base) == validation.find_faults(document)
