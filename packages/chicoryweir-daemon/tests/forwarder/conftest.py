"""Fixtures of the forwarder's tests."""

import pytest

from chicoryweir_daemon.forwarder import process


@pytest.fixture
def settings():
    """Settings of an entry that serves nothing."""
    listener = process.Listener("127.0.0.1", 1)
    return process.Settings(
        name="front-1",
        host="127.0.0.1",
        data_centre="dc",
        callers=listener,
        readiness=None,
        resolution=None,
        peer_port=1,
        metrics_port=2,
        seeds=(),
        store=listener,
        heartbeat_s=1.2,
        bounds=process.Bounds(8.0, 0.2, 90.0, 10.0, 1.5, 5.0),
    )
