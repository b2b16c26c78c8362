"""Tests of the lagging instance list."""

from chicoryweir_standins.platform import listing


def test_readers_see_changes_after_the_lag() -> None:
    listed = listing.InstanceListing(lag_s=2.0)
    listed.put("entry-1", {"state": "live"}, now=0.0)
    listed.remove("entry-1", now=1.0)
    assert listed.list_instances(1.9) == []
    assert [e["instance"] for e in listed.list_instances(2.5)] == ["entry-1"]
    assert listed.list_instances(3.0) == []
