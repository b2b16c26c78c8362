"""Tests of the warnings about valid documents."""

import copy
import typing

import pytest

from chicoryweir_policy.settings import evacuation
from chicoryweir_policy.settings import review
from chicoryweir_policy.settings import validation

Document = dict[str, typing.Any]
KEY = "ab" * 32
BASE: Document = {
    "workspaces": {"relay": {}, "clerks": {}},
    "operators": {"dato": {"keys_sha256": [KEY]}},
    "services": {
        "desk": {"kind": "model", "models": ["m1"]},
        "ledger": {"kind": "plain"},
    },
    "groups": {"g": {"service": "desk", "ranks": 4, "experts": 8, "slots_per_rank": 2}},
    "fleet": {"settings": {"max_attempts": 3}, "places": {"telavi": {}}},
}
PLACE = "/fleet/places/*"
DESK = f"{PLACE}/services/desk"
LEDGER = f"{PLACE}/services/ledger"
RELAY = f"{LEDGER}/workspaces/relay"


def make_document(values: dict[str, typing.Any]) -> Document:
    """Returns the base with values set at JSON pointers."""
    document = copy.deepcopy(BASE)
    for path, value in values.items():
        target: typing.Any = document
        keys = path.split("/")[1:]
        for key in keys[:-1]:
            target = target.setdefault(key, {})
        target[keys[-1]] = value
    return document


def at(node: str, name: str, value: typing.Any) -> dict[str, typing.Any]:
    return {f"{node}/settings/{name}": value}


@pytest.mark.parametrize(
    ("values", "path", "words"),
    [
        (at(RELAY, "floor_share", 0.1), None, "name no workspace"),
        (at(RELAY, "drain_timeout_ms", 60_000), None, "name no workspace"),
        (
            at(f"{RELAY}/classes/bulk", "hedge_after_ms", 9),
            None,
            "class urgent",
        ),
        (
            at(f"{LEDGER}/workspaces/*/classes/urgent", "max_ejected_share", 0.5),
            None,
            "class standard",
        ),
        (at("/fleet", "queue_limit", 9), None, "does not read it"),
        (at(DESK, "max_request_bytes", 99_999), None, "before the model is known"),
        (at(LEDGER, "map_keep_s", 9), None, "have a group"),
        (
            {
                **at(f"{RELAY}/classes/*", "weight", 2),
                **at(f"{RELAY}/classes/urgent", "weight", 3),
                **at(f"{RELAY}/classes/standard", "weight", 3),
                **at(f"{RELAY}/classes/bulk", "weight", 3),
            },
            f"{RELAY}/classes/*/settings/weight",
            "all classes set",
        ),
        ({"/operators/mariam": {}}, "/operators/mariam", "without a key"),
        ({"/services/desk/models": []}, "/services/desk/models", "without models"),
        (
            {"/services/other": {"kind": "model", "models": ["m1"]}},
            "/services/other/models/0",
            "go to /services/desk",
        ),
        ({"/groups/g/service": "ledger"}, "/groups/g/service", "model service"),
        ({"/groups/g/experts": 9}, "/groups/g/slots_per_rank", "do not fit"),
        (at(PLACE, "max_request_bytes", 16_383), None, "shorter than"),
        (at("/fleet", "burst_tokens", 9), None, "without a rate"),
        (
            {**at("/fleet", "max_attempts", 1), **at(RELAY, "retry_ratio", 0.2)},
            f"{RELAY}/settings/retry_ratio",
            "one attempt",
        ),
        (at(RELAY, "spill_wait_ms", 10_000), None, "nothing spills"),
        (at("/fleet", "drain_timeout_ms", 9_999), None, "a drain ends"),
        (
            {
                **at(f"{LEDGER}/workspaces/*/classes/urgent", "deadline_ms", 1000),
                **at("/fleet/places/telavi", "hedge_after_ms", 751),
            },
            "/fleet/places/telavi/settings/hedge_after_ms",
            "no request is hedged",
        ),
        (at("/fleet/places/telavi", "evacuated", True), "/fleet/places", "name are"),
        (at(PLACE, "evacuated", True), "/fleet/places", "no request runs"),
    ],
)
def test_warning_names_the_entry(
    values: dict[str, typing.Any], path: str | None, words: str
) -> None:
    document = make_document(values)
    assert validation.find_faults(document) == ()
    (warning,) = review.find_warnings(document)
    assert warning.path == (path or next(iter(values)))
    assert words in warning.problem + warning.allowed


@pytest.mark.parametrize(
    "values",
    [
        {},
        at(f"{RELAY}/classes/urgent", "hedge_after_ms", 7_500),
        at(f"{LEDGER}/workspaces/*", "floor_share", 0.1),
        at("/fleet", "max_attempts", 1),
        at(f"{DESK}/workspaces/*/classes/*", "map_keep_s", 9),
        {**at(RELAY, "rate_tokens_per_s", 5), **at(RELAY, "burst_tokens", 9)},
        {
            **at("/fleet/places/telavi", "evacuated", True),
            **at("/fleet/places/gurjaani", "evacuated", False),
        },
    ],
)
def test_entries_with_an_effect_give_no_warning(values: dict[str, typing.Any]) -> None:
    document = make_document(values)
    assert validation.find_faults(document) == ()
    assert review.find_warnings(document) == ()


def test_known_places_decide_about_names_and_evacuations() -> None:
    document = make_document(at("/fleet/places/telavi", "evacuated", True))
    telavi, office = evacuation.Place("telavi", True), evacuation.Place("office", False)
    (warning,) = review.find_warnings(document, [telavi, office])
    assert "with endpoints are evacuated" in warning.problem
    other = evacuation.Place("gurjaani", True)
    assert review.find_warnings(document, [telavi, other]) == ()
    (warning,) = review.find_warnings(document, [other])
    assert (warning.path, warning.is_key_fault) == ("/fleet/places/telavi", True)
