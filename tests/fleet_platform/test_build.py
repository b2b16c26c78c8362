"""Guards against builds that processes can't start from.

Runs the `build` of deploy/system.toml in a copy of a checkout, with a stand-in of pip.
"""

import os
import pathlib
import shutil
import signal
import stat
import subprocess
import sys
import time
import tomllib

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 30.0
MODULES = ("first.py", "second.py", "third.py")
INSTALLER = """
import os, pathlib, sys, time
with open(os.environ["CALLS"], "a") as calls:
    calls.write("call\\n")
words = sys.argv[1:]
option = next(word for word in ("--target", "-t") if word in words)
folder = pathlib.Path(words[words.index(option) + 1])
folder.mkdir(parents=True, exist_ok=True)
(folder / "first.py").write_text("release = 1")
if os.environ["PLAN"] == "fail":
    sys.exit("ERROR: no such release")
if os.environ["PLAN"] == "hang":
    pathlib.Path(os.environ["CALLS"] + ".half").touch()
    time.sleep(60)
if os.environ["PLAN"] == "slow":
    time.sleep(1)
(folder / "second.py").write_text("release = 1")
(folder / "third.py").write_text("release = 1")
(folder / "__pycache__").mkdir(exist_ok=True)
(folder / "__pycache__" / "first.pyc").write_text("cache")
"""
INTERPRETER = """
import os, sys, sysconfig
if "ABI" in os.environ:
    sysconfig.get_config_vars()["SOABI"] = os.environ["ABI"]
if "VERSION" in os.environ:
    sys.version_info = tuple(map(int, os.environ["VERSION"].split(".")))
"""


class Checkout:
    """A clean checkout in a folder with a space in its name.

    Attributes:
        root: Its folder.
        deps: Where the build puts the packages.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.root = folder / "a checkout"
        self.deps = self.root / "target" / "deps"
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        for name in ("requirements.txt", "constraints.txt"):
            shutil.copy2(ROOT / name, self.root / name)
        programs = folder / "programs"
        (programs / "pip").mkdir(parents=True)
        (programs / "pip" / "__init__.py").touch()
        (programs / "pip" / "__main__.py").write_text(INSTALLER)
        (programs / "sitecustomize.py").write_text(INTERPRETER)
        python = programs / "python3"
        python.write_text(f'#!/bin/sh\nexec "{sys.executable}" "$@"\n')
        python.chmod(0o755)
        self._calls = folder / "calls"
        self._environment = {
            "PATH": f"{programs}:{os.defpath}",
            "PYTHONPATH": str(programs),
            "CALLS": str(self._calls),
        }
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._command = tomllib.load(file)["build"]

    def start(self, plan="pass", umask=0o022, **variables):
        return subprocess.Popen(
            ["/bin/sh", "-c", self._command],
            cwd=self.root,
            env={**self._environment, "PLAN": plan, **variables},
            stderr=subprocess.PIPE,
            text=True,
            umask=umask,
            start_new_session=True,
            # A test run in the background has SIGINT ignored.
            preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
        )

    def build(self, plan="pass", **options):
        """Returns the exit code and the lines on standard error."""
        process = self.start(plan, **options)
        _, errors = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, errors.splitlines()

    def interrupt_build(self, number=signal.SIGKILL):
        """Ends a build within its install; returns the exit code and lines."""
        process = self.start("hang")
        half = self._calls.with_name("calls.half")
        while not half.exists():
            assert process.poll() is None
            time.sleep(0.01)
        os.killpg(process.pid, number)
        _, errors = process.communicate(timeout=TIMEOUT_S)
        return process.returncode, errors.splitlines()

    def count_installs(self) -> int:
        return len(self._calls.read_text().splitlines()) if self._calls.exists() else 0

    def is_complete(self) -> bool:
        return all((self.deps / name).is_file() for name in MODULES)


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_clean_checkout_is_built_once(checkout):
    assert checkout.build()[0] == 0
    assert checkout.is_complete()
    assert checkout.build() == (0, [])
    assert checkout.count_installs() == 1


def test_build_places_everything_under_target(checkout):
    before = {path.name for path in checkout.root.iterdir()}
    assert checkout.build()[0] == 0
    assert {path.name for path in checkout.root.iterdir()} == before | {"target"}


# An interrupted build was taken for finished, and every process ended at its imports.
def test_interrupted_build_is_built_again(checkout):
    checkout.interrupt_build()
    assert checkout.build()[0] == 0
    assert checkout.is_complete()
    left = {path.name for path in (checkout.root / "target").iterdir()}
    assert left <= {"deps", "build.lock"}


# A build replaced the folder file by file under processes that started from it.
def test_interrupted_build_leaves_previous_folder_complete(checkout):
    assert checkout.build()[0] == 0
    (checkout.root / "requirements.txt").write_text("another\n")
    (checkout.deps / "first.py").write_text("release = 0")
    checkout.interrupt_build()
    assert checkout.is_complete()
    assert (checkout.deps / "first.py").read_text() == "release = 0"


# A build that was killed between its two renames left no folder at all.
def test_folder_is_put_back_if_its_replacement_was_interrupted(checkout):
    assert checkout.build()[0] == 0
    checkout.deps.rename(checkout.deps.with_name("deps-replaced"))
    assert checkout.build("fail") == (0, [])
    assert checkout.is_complete()


# An interrupted build wrote a stack, or nothing.
@pytest.mark.parametrize("name", ["SIGHUP", "SIGINT", "SIGTERM"])
def test_interrupted_build_names_the_signal(checkout, name):
    code, lines = checkout.interrupt_build(signal.Signals[name])
    assert code != 0
    assert lines[-1].startswith("build: failed")
    assert name in lines[-1]
    assert {path.name for path in checkout.deps.parent.iterdir()} == {"build.lock"}


# A failed install left a folder that the next build took for finished.
def test_failed_build_says_so_and_leaves_nothing(checkout):
    code, lines = checkout.build("fail")
    assert code != 0
    assert lines[-1].startswith("build: failed")
    assert not checkout.deps.exists()
    assert checkout.build()[0] == 0
    assert checkout.is_complete()


def test_failed_build_leaves_previous_folder_complete(checkout):
    assert checkout.build()[0] == 0
    with (checkout.root / "constraints.txt").open("a") as file:
        file.write("another==1\n")
    (checkout.deps / "first.py").write_text("release = 0")
    code, lines = checkout.build("fail")
    assert code != 0
    assert lines[-1].startswith("build: failed")
    assert checkout.is_complete()
    assert (checkout.deps / "first.py").read_text() == "release = 0"


# A folder of another machine or Python version was taken for finished by its time.
@pytest.mark.parametrize(
    "abi", ["cpython-311-x86_64-linux-other", "cpython-399-aarch64-linux-gnu"]
)
def test_folder_of_another_interpreter_is_built_again(checkout, abi):
    assert checkout.build(ABI=abi)[0] == 0
    code, lines = checkout.build()
    assert code == 0
    assert checkout.count_installs() == 2
    assert abi in lines[0]


# A folder of older constraints, or of requirements with an older time, was taken for
# finished.
@pytest.mark.parametrize("name", ["requirements.txt", "constraints.txt"])
def test_changed_input_is_built_again_whatever_its_time(checkout, name):
    assert checkout.build()[0] == 0
    path = checkout.root / name
    path.write_text(path.read_text() + "# changed\n")
    os.utime(path, (1.0, 1.0))
    assert checkout.build()[0] == 0
    assert checkout.count_installs() == 2


# Git sets the time of each file at a checkout; the packages stay as they are.
def test_unchanged_input_with_a_later_time_is_not_built_again(checkout):
    assert checkout.build()[0] == 0
    modified = checkout.deps.stat().st_mtime + 60.0
    os.utime(checkout.root / "requirements.txt", (modified, modified))
    assert checkout.build() == (0, [])
    assert checkout.count_installs() == 1


# A folder that was copied in part, or emptied, was taken for finished.
@pytest.mark.parametrize("content", [None, "", "release = 0"])
def test_missing_or_damaged_file_is_built_again(checkout, content):
    assert checkout.build()[0] == 0
    (checkout.deps / "third.py").unlink()
    if content is not None:
        (checkout.deps / "third.py").write_text(content)
    code, lines = checkout.build()
    assert code == 0
    assert "third.py" in lines[0]
    assert (checkout.deps / "third.py").read_text() == "release = 1"


def test_rewritten_cache_is_not_built_again(checkout):
    assert checkout.build()[0] == 0
    (checkout.deps / "__pycache__" / "first.pyc").write_text("another cache")
    assert checkout.build() == (0, [])


# A dangling link or a file in place of the folder ended the build or stayed there.
@pytest.mark.parametrize("kind", ["link", "file", "empty folder"])
def test_other_thing_in_place_of_folder_is_replaced(checkout, kind):
    checkout.deps.parent.mkdir()
    match kind:
        case "link":
            checkout.deps.symlink_to("missing")
        case "file":
            checkout.deps.touch()
        case _:
            checkout.deps.mkdir()
    assert checkout.build()[0] == 0
    assert checkout.is_complete()


# Two builds at once wrote to one folder.
def test_builds_at_once_install_once(checkout):
    builds = [checkout.start("slow") for _ in range(3)]
    for process in builds:
        process.communicate(timeout=TIMEOUT_S)
    assert [process.returncode for process in builds] == [0, 0, 0]
    assert checkout.is_complete()
    assert checkout.count_installs() == 1


# Under umask 077 processes of another user couldn't read the packages.
def test_folder_is_readable_by_other_users(checkout):
    assert checkout.build(umask=0o077)[0] == 0
    for path in (checkout.deps.parent, checkout.deps, *checkout.deps.rglob("*")):
        needed = stat.S_IROTH | (stat.S_IXOTH if path.is_dir() else 0)
        assert path.stat().st_mode & needed == needed, path


# The packages were installed for an interpreter that can't run the product.
def test_older_interpreter_is_refused(checkout):
    code, lines = checkout.build(VERSION="3.10.0")
    assert code != 0
    assert "Python 3.11 or later" in lines[-1]
    assert checkout.count_installs() == 0
