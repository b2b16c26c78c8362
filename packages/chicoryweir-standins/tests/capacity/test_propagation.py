"""Tests of finding the adoption of a settings version in a log."""

import json
import pathlib

from chicoryweir_policy import catalogue
from chicoryweir_standins.capacity import propagation


def test_finds_adoption_time_of_the_requested_version(tmp_path: pathlib.Path) -> None:
    log = tmp_path / "agent-1.log"
    lines = [
        {
            "event_id": catalogue.SETTINGS_ADOPTED,
            "detail": str(version),
            "timestamp": f"1970-01-01T00:00:0{version}Z",
        }
        for version in (2, 3)
    ]
    log.write_text("not an event\n" + "\n".join(map(json.dumps, lines)))
    assert propagation.find_adoption_time(log, 3) == 3.0
    assert propagation.find_adoption_time(log, 4) is None
