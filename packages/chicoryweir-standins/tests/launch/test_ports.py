"""Tests of picking free ports."""

import pathlib

from chicoryweir_standins.launch import ports


def test_picked_ports_are_below_the_ephemeral_range() -> None:
    picked = ports.pick_ports(30)
    text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    assert len(set(picked)) == 30
    assert max(picked) < int(text.split()[0])
