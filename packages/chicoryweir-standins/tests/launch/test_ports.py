"""Ports for processes that bind them a moment later."""

import pathlib

from chicoryweir_standins.launch import ports


def test_outgoing_connections_can_not_take_a_picked_port() -> None:
    picked = ports.pick_ports(30)
    text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    assert len(set(picked)) == 30
    assert max(picked) < int(text.split()[0])
