"""Guards against an interrupted `make setup` that the next one takes for finished.

Runs it in a copy of the files that it reads, with stand-ins of Python and pip.
"""

import os
import pathlib
import shutil
import subprocess

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[1]
TIMEOUT_S = 30.0
PYTHON = """#!/bin/sh
# Stands in for `python -m venv [--clear] FOLDER`.
for word; do folder=$word; done
case " $* " in *" --clear "*) rm -rf "$folder" ;; esac
mkdir -p "$folder/bin" && cp "$(dirname "$0")/pip" "$folder/bin/pip"
"""
PIP = """#!/bin/sh
# Leaves a half-installed package if it is to fail, and goes on past one as pip does.
echo call >> "$CALLS"
if [ -n "$FAIL" ]; then touch "$(dirname "$0")/../half-installed"; exit 1; fi
"""


class Checkout:
    """A checkout with what `make setup` reads."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.root = folder / "checkout"
        self.environment = self.root / ".venv"
        packages = [path.relative_to(ROOT) for path in ROOT.glob("packages/*/*.toml")]
        names = ("Makefile", "constraints.txt", "requirements-dev.txt")
        for name in (*map(pathlib.Path, names), *packages):
            (self.root / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, self.root / name)
        self._python = folder / "python"
        self._calls = folder / "calls"
        for path, text in ((self._python, PYTHON), (folder / "pip", PIP)):
            path.write_text(text)
            path.chmod(0o755)

    def set_up(self, *, fail: bool = False) -> int:
        return subprocess.run(
            ["make", "setup", f"PYTHON={self._python}"],
            cwd=self.root,
            env={
                "PATH": os.environ["PATH"],
                "CALLS": str(self._calls),
                "FAIL": "1" if fail else "",
            },
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        ).returncode

    def count_installs(self) -> int:
        return len(self._calls.read_text().splitlines())


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_finished_setup_is_not_repeated(checkout):
    assert checkout.set_up() == 0
    installs = checkout.count_installs()
    assert checkout.set_up() == 0
    assert checkout.count_installs() == installs


# pip takes a package whose files were copied in part for installed.
def test_interrupted_setup_starts_from_an_empty_environment(checkout):
    assert checkout.set_up(fail=True) != 0
    assert checkout.set_up() == 0
    assert not (checkout.environment / "half-installed").exists()


# An environment without a new tool was taken for finished.
@pytest.mark.parametrize("name", ["constraints.txt", "requirements-dev.txt"])
def test_changed_input_is_set_up_again(checkout, name):
    assert checkout.set_up() == 0
    installs = checkout.count_installs()
    ready = (checkout.environment / ".ready").stat().st_mtime
    os.utime(checkout.root / name, (ready + 60.0, ready + 60.0))
    assert checkout.set_up() == 0
    assert checkout.count_installs() > installs
