"""Writes the settings files of entries and agents, whole or not."""

import dataclasses
import enum

GRACE_S = 8.0
# Required keys of an entry up to the store's address, in the platform's order.
COMMON_FIELDS = {
    "region": "kakheti",
    "bootstrap": "true",
    "limits.cpu_share": "0.5",
    "limits.cores": "2",
    "limits.link_mbps": "1000.0",
    "heartbeat_ms": "1200",
    "bounds.grace_s": f"{GRACE_S:g}",
    "bounds.budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_slack": "90",
    "bounds.stall_ms": "1500",
    "bounds.ttl_max_s": "5",
}


class Content(enum.Enum):
    """What a settings file holds."""

    WHOLE = "whole"
    MISSING = "missing"
    CUT = "cut"
    CUT_PORT = "cut within the port of another program"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True)
class Ports:
    """Ports of every machine of a run, in the order of `as_tuple`."""

    peer: int
    metrics: int
    front: int
    ready: int
    directory: int


@dataclasses.dataclass
class SettingsText:
    """Settings of one machine.

    Attributes:
        role: `entry` or `agent`.
        host: Loopback address of the machine.
        ports: Ports of all machines.
        store_port: Port of the store at 127.0.0.1.
        seeds: Hosts of other entries.
        rank_port: Port of an agent's rank at 127.0.0.1.
        budget_slack: A field that may change without a restart.
    """

    role: str
    host: str
    ports: Ports
    store_port: int
    seeds: tuple[str, ...] = ()
    rank_port: int = 0
    budget_slack: int = 90

    def build(self):
        """Returns the whole text."""
        ports, host = self.ports, self.host
        fields = {"node_name": f"{self.role}-{host}", "ip": host, "zone": "z"}
        if self.role == "entry":
            fields |= {
                "listen.front": f"{host}:{ports.front}",
                "listen.ready": f"{host}:{ports.ready}",
                "listen.directory": f"{host}:{ports.directory}",
            }
        fields["internal_ports"] = f"{ports.peer},{ports.metrics}"
        fields["seeds"] = ",".join(f"{seed}:{ports.peer}" for seed in self.seeds)
        fields |= COMMON_FIELDS
        fields["bounds.budget_slack"] = str(self.budget_slack)
        if self.role == "agent":
            fields["app"] = f"127.0.0.1:{self.rank_port}"
        fields["platform.address"] = f"127.0.0.1:{self.store_port}"
        fields["platform.form"] = "table"
        return "".join(f"{key}={value}\n" for key, value in fields.items())

    def write(self, path, content, kept_share=1.0):
        """Writes the file; a cut one keeps `kept_share` of its bytes."""
        text = self.build()
        match content:
            case Content.MISSING:
                path.unlink(missing_ok=True)
            case Content.CUT:
                path.write_text(text[: int(len(text) * kept_share)])
            case Content.CUT_PORT:
                key = "platform.address" if self.role == "entry" else "app"
                begins_at = text.index(f"\n{key}=") + 1
                path.write_text(text[: text.index("\n", begins_at) - 1])
            case Content.INVALID:
                path.write_text(
                    text.replace("ip=", "ip=\nx=").replace("grace_s=", "grace_s=?")
                )
            case Content.WHOLE:
                path.write_text(text)
