"""Tests of the request types."""

from chicoryweir_policy import requests


def test_urgent_sorts_before_bulk() -> None:
    assert requests.PriorityClass.URGENT < requests.PriorityClass.BULK
