"""Tests of plans to evacuate places."""

import typing

import pytest

from chicoryweir_policy.settings import evacuation
from chicoryweir_policy.settings import tree as trees
from chicoryweir_policy.settings import validation

Document = dict[str, typing.Any]
BASE: Document = {
    "operators": {"dato": {"keys_sha256": ["cd" * 32]}},
    "fleet": {"places": {"telavi": {"settings": {"drain_timeout_ms": 5}}}},
}
KNOWN = (
    evacuation.Place("telavi", True),
    evacuation.Place("gurjaani", True),
    evacuation.Place("office", False),
)


def make_document(**evacuated: bool) -> Document:
    places = {name: {"settings": {"evacuated": is_}} for name, is_ in evacuated.items()}
    return {**BASE, "fleet": {"places": places}}


@pytest.mark.parametrize("place", ["telavi", "gurjaani"])
def test_undo_restores_the_document(place: str) -> None:
    plan = evacuation.plan_change(BASE, place, True, KNOWN)
    assert isinstance(plan, evacuation.Changed)
    assert validation.find_faults(plan.document) == ()
    assert evacuation.is_evacuated(trees.parse_tree(plan.document), place)
    again = evacuation.plan_change(plan.document, place, True, KNOWN)
    assert again == evacuation.Unchanged()
    undone = evacuation.plan_change(plan.document, place, False, KNOWN)
    assert undone == evacuation.Changed(BASE)


def test_undo_below_an_evacuated_any_place_sets_the_value() -> None:
    document = {**BASE, "fleet": {"places": {"*": {"settings": {"evacuated": True}}}}}
    plan = evacuation.plan_change(document, "gurjaani", False, KNOWN)
    assert isinstance(plan, evacuation.Changed)
    tree = trees.parse_tree(plan.document)
    assert not evacuation.is_evacuated(tree, "gurjaani")
    assert evacuation.is_evacuated(tree, "telavi")


@pytest.mark.parametrize(
    ("document", "place", "known"),
    [
        (make_document(telavi=True), "gurjaani", KNOWN),
        (make_document(telavi=True, ghost=False), "gurjaani", KNOWN),
        (make_document(telavi=True, gurjaani=False), "gurjaani", ()),
    ],
)
def test_last_place_with_endpoints_is_refused(
    document: Document, place: str, known: tuple[evacuation.Place, ...]
) -> None:
    plan = evacuation.plan_change(document, place, True, known)
    assert plan == evacuation.LastPlace()


@pytest.mark.parametrize("place", ["nowhere", "*", ""])
def test_unknown_place_is_refused(place: str) -> None:
    plan = evacuation.plan_change(BASE, place, True, KNOWN)
    assert plan == evacuation.UnknownPlace(("gurjaani", "office", "telavi"))


@pytest.mark.parametrize(
    ("inner", "path"),
    [
        ({"settings": {"evacuated": True}}, ""),
        (
            {"places": {"*": {"services": {"*": {"settings": {"evacuated": False}}}}}},
            "/places/*/services/*",
        ),
        ({"places": {"telavi": {"settings": {"evacuated": 1}}}}, "/places/telavi"),
    ],
)
def test_value_elsewhere_or_of_another_type_is_a_fault(
    inner: Document, path: str
) -> None:
    (fault,) = validation.find_faults({**BASE, "fleet": inner})
    assert fault.path == f"/fleet{path}/settings/evacuated"
    assert "true or false, at places only" in fault.allowed
