"""Tests of the limits in the configuration file of a daemon."""

import json

import pytest

from chicoryweir_daemon import configuration
from chicoryweir_policy.membership import instances


def _load(path, limits):
    address = {"ip": "127.0.0.1", "port": 1}
    document = {"instance": "e", "place": "dc", "link": address, "listen": address}
    document |= {"platform_url": "http://127.0.0.1:1", "cluster_secret": "secret"}
    path.write_text(json.dumps(document | {"limits": limits}))
    return configuration.load_configuration(path, instances.Role.ENTRY).limits


def test_missing_limits_have_defaults(tmp_path):
    loaded = _load(tmp_path / "c", {"memory_mb": 152, "idle_timeout_ms": 5_500})
    timeouts = configuration.CallerTimeouts(idle_s=5.5)
    assert loaded == configuration.CallerLimits(152, None, timeouts)


# Guards against limits that stop an entry from serving, and are taken nevertheless.
@pytest.mark.parametrize(
    ("key", "value"),
    [("memory_mb", 1), ("max_connections", 0), ("head_timeout_ms", 0.5)],
)
def test_limit_out_of_range_is_a_fault(tmp_path, key, value):
    with pytest.raises(configuration.ConfigurationError) as caught:
        _load(tmp_path / "c", {key: value})
    assert f"limits.{key}: expected a whole number" in str(caught.value)
