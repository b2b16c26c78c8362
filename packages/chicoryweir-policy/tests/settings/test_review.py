"""Tests of the warnings about valid documents."""

import copy
import json
import typing

import pytest

from chicoryweir_policy.settings import evacuation
from chicoryweir_policy.settings import review
from chicoryweir_policy.settings import validation

Document = dict[str, typing.Any]
GROUP = {"service": "desk", "ranks": 4, "experts": 8, "slots_per_rank": 2}
BASE: Document = {
    "workspaces": {"relay": {}, "clerks": {}},
    "operators": {"dato": {"keys_sha256": ["ab" * 32]}},
    "services": {
        "desk": {"kind": "model", "models": ["m1"]},
        "ledger": {"kind": "plain"},
    },
    "groups": {"g": GROUP},
    "fleet": {"settings": {"max_attempts": 3}, "places": {"telavi": {}}},
}
NODES = {
    "TELAVI": "/fleet/places/telavi",
    "ANY": "/fleet/places/*",
    "DESK": "/fleet/places/*/services/desk",
    "LEDGER": "/fleet/places/*/services/ledger",
    "RELAY": "/fleet/places/*/services/ledger/workspaces/relay",
}
# Values to set, path of the warning (that of the first value if empty), words in it.
WARNINGS = """
RELAY/settings/floor_share=0.1 | | name no workspace
RELAY/settings/drain_timeout_ms=60000 | | name no workspace
RELAY/classes/bulk/settings/hedge_after_ms=9 | | class urgent
LEDGER/workspaces/*/classes/urgent/settings/map_keep_s=5 | | class standard
/fleet/settings/queue_limit=9 | | does not read it
DESK/settings/max_request_bytes=99999 | | before the model is known
LEDGER/settings/map_keep_s=9 | | have a group
RELAY/classes/*/settings/weight=2 RELAY/classes/urgent/settings/weight=3 \
RELAY/classes/standard/settings/weight=3 RELAY/classes/bulk/settings/weight=3 | | all classes set
/operators/mariam={} | /operators/mariam | without a key
/services/desk/models=[] | /services/desk/models | without models
/services/b={"kind":"model","models":["m1"]} | /services/b/models/0 | go to /services/desk
/groups/g/service="ledger" | | model service
/groups/g/experts=9 | /groups/g/slots_per_rank | do not fit
ANY/settings/max_request_bytes=16383 | | shorter than
/fleet/settings/burst_tokens=9 | | without a rate
RELAY/settings/retry_ratio=0.2 /fleet/settings/max_attempts=1 | | one attempt
RELAY/settings/spill_wait_ms=10000 | | nothing spills
/fleet/settings/drain_timeout_ms=9999 | | a drain ends
TELAVI/settings/hedge_after_ms=751 \
LEDGER/workspaces/*/classes/urgent/settings/deadline_ms=1000 | | no request is hedged
TELAVI/settings/evacuated=true | /fleet/places | name are
ANY/settings/evacuated=true | /fleet/places | no request runs
"""  # noqa: E501 - one line for each case
CLEAN = """
RELAY/classes/urgent/settings/hedge_after_ms=7500
LEDGER/workspaces/*/settings/floor_share=0.1
/fleet/settings/max_attempts=1
DESK/workspaces/*/classes/*/settings/map_keep_s=9
RELAY/settings/rate_tokens_per_s=5 RELAY/settings/burst_tokens=9
TELAVI/settings/evacuated=true /fleet/places/gurjaani/settings/evacuated=false
"""


def list_lines(table: str) -> list[str]:
    return table.replace("\\\n", "").strip().splitlines()


def resolve_path(path: str) -> str:
    alias = path.partition("/")[0]
    return NODES.get(alias, alias) + path[len(alias) :]


def make_document(values: str) -> Document:
    """Returns the valid base with PATH=JSON set for each word."""
    document = copy.deepcopy(BASE)
    for path, _, value in (word.partition("=") for word in values.split()):
        target: typing.Any = document
        *keys, last = resolve_path(path).split("/")[1:]
        for key in keys:
            target = target.setdefault(key, {})
        target[last] = json.loads(value)
    assert validation.find_faults(document) == ()
    return document


@pytest.mark.parametrize("line", list_lines(WARNINGS))
def test_warning_names_the_entry(line: str) -> None:
    values, path, words = (part.strip() for part in line.split("|"))
    (warning,) = review.find_warnings(make_document(values))
    assert warning.path == (path or resolve_path(values.partition("=")[0]))
    assert words in warning.problem + warning.allowed


@pytest.mark.parametrize("values", ["", *list_lines(CLEAN)])
def test_entries_with_an_effect_give_no_warning(values: str) -> None:
    assert review.find_warnings(make_document(values)) == ()


def test_known_places_decide_about_names_and_evacuations() -> None:
    document = make_document("TELAVI/settings/evacuated=true")
    telavi, office = evacuation.Place("telavi", True), evacuation.Place("office", False)
    (warning,) = review.find_warnings(document, [telavi, office])
    assert "with endpoints are evacuated" in warning.problem
    other = evacuation.Place("gurjaani", True)
    assert review.find_warnings(document, [telavi, other]) == ()
    (warning,) = review.find_warnings(document, [other])
    assert (warning.path, warning.is_key_fault) == ("/fleet/places/telavi", True)
