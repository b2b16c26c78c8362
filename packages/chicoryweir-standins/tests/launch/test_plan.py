"""Tests of the plan of a fleet."""

import pytest

from chicoryweir_standins.launch import plan

KEYS = plan.Keys("caller", "operator", "cluster")


@pytest.fixture(scope="module")
def planned() -> plan.FleetPlan:
    return plan.plan_fleet(plan.FleetSize(), KEYS, ("clerks",))


def list_by_kind(planned: plan.FleetPlan, kind: str) -> list[plan.Process]:
    return [process for process in planned.processes if process.kind == kind]


def test_seeds_contain_the_link_ports_of_all_daemons(planned: plan.FleetPlan) -> None:
    daemons = list_by_kind(planned, "agent") + list_by_kind(planned, "entry")
    link_ports = {p.name: p.config["link"]["port"] for p in daemons}
    for daemon in daemons:
        seeds = {s["instance"]: s["link_port"] for s in daemon.config["seeds"]}
        assert seeds == link_ports


def test_each_endpoint_has_one_agent(planned: plan.FleetPlan) -> None:
    endpoints = list_by_kind(planned, "engine") + list_by_kind(planned, "service")
    ports = [p.config["port"] for p in endpoints]
    urls = [p.config["endpoint"]["url"] for p in list_by_kind(planned, "agent")]
    assert urls == [f"http://127.0.0.1:{port}" for port in ports]


def test_settings_contain_digests_but_no_keys(planned: plan.FleetPlan) -> None:
    text = str(planned.settings)
    assert "'caller'" not in text
    assert list(planned.settings["workspaces"]) == ["relay", "clerks"]
