"""Installs the packages that requirements.txt names into target/deps.

The folder is replaced only by a complete one, which holds a stamp of what it was built
from and of its files. It is built again if the stamp or a file differs, since its age
doesn't tell whether it is complete or made for this machine.

Usage: build.py
"""

from __future__ import annotations

import contextlib
import dataclasses
import fcntl
import hashlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import sysconfig
import tempfile
import types
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
INPUTS = ("requirements.txt", "constraints.txt")
STAMP = "build-stamp.json"
# Prefix of folders in target/ that are being installed.
UNFINISHED = "deps-unfinished-"
# Name in target/ of the folder that is being replaced.
REPLACED = "deps-replaced"
OLDEST_PYTHON = (3, 11)
FOLDER_MODE = 0o755


class BuildError(Exception):
    """The packages can't be installed; the message is one line."""


@dataclasses.dataclass(frozen=True)
class Stamp:
    """What a folder was built from and holds.

    Attributes:
        inputs: Digests of the files that name the packages, by name.
        abi: Interpreter, version, machine and C library that its modules are made for.
        files: Digests of its files, by path in the folder.
    """

    inputs: dict[str, str]
    abi: str
    files: dict[str, str]


def compute_digest(path: pathlib.Path) -> str:
    """Returns the SHA-256 of a file, in hexadecimal digits."""
    return hashlib.sha256(path.read_bytes()).hexdigest()


def describe_abi() -> str:
    """Returns which extension modules this interpreter loads."""
    return str(sysconfig.get_config_var("SOABI") or sysconfig.get_platform())


def compute_stamp(folder: pathlib.Path) -> Stamp:
    """Returns the stamp of a folder that was installed just now."""
    files = {
        path.relative_to(folder).as_posix(): compute_digest(path)
        for path in sorted(folder.rglob("*"))
        # Interpreters rewrite their caches.
        if path.is_file() and path.suffix != ".pyc"
    }
    inputs = {name: compute_digest(ROOT / name) for name in INPUTS}
    return Stamp(inputs, describe_abi(), files)


def load_stamp(folder: pathlib.Path) -> Stamp | None:
    """Returns the stamp in a folder, or None if there is no readable one."""
    try:
        return Stamp(**json.loads((folder / STAMP).read_bytes()))
    except (OSError, ValueError, TypeError):
        return None


def find_reason(folder: pathlib.Path) -> str | None:
    """Returns why the folder must be built, or None if it is complete and current."""
    if not folder.is_dir():
        return "it is missing" if not os.path.lexists(folder) else "it isn't a folder"
    stamp = load_stamp(folder)
    if stamp is None:
        return "it has no stamp of a complete build"
    for name in INPUTS:
        if stamp.inputs.get(name) != compute_digest(ROOT / name):
            return f"{name} has changed"
    if stamp.abi != describe_abi():
        return f"it was built for {stamp.abi}, this is {describe_abi()}"
    for name, digest in stamp.files.items():
        path = folder / name
        if not path.is_file() or compute_digest(path) != digest:
            return f"{name} is missing or damaged"
    return None


def install(folder: pathlib.Path) -> None:
    """Installs the packages into an empty folder and adds the stamp.

    Raises:
        BuildError: The installer failed.
    """
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--disable-pip-version-check", "--no-input"]
    command += [
        "--target",
        str(folder),
        "--requirement",
        str(ROOT / "requirements.txt"),
    ]
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    if code != 0:
        raise BuildError(f"pip ended with code {code}; its lines above say why")
    stamp = compute_stamp(folder)
    (folder / STAMP).write_text(json.dumps(dataclasses.asdict(stamp), indent=1) + "\n")


def remove(path: pathlib.Path) -> None:
    """Removes a folder, a file or a link, as far as permissions allow."""
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path, ignore_errors=True)
    else:
        with contextlib.suppress(OSError):
            path.unlink()


def replace(folder: pathlib.Path, installed: pathlib.Path) -> None:
    """Moves the installed folder to `folder`, which stays as it is if that fails."""
    replaced = folder.with_name(REPLACED)
    if os.path.lexists(folder):
        folder.rename(replaced)
    try:
        installed.rename(folder)
    except (OSError, BuildError):
        restore(folder)
        raise
    remove(replaced)


def restore(folder: pathlib.Path) -> None:
    """Puts back a folder that was moved away and not replaced."""
    replaced = folder.with_name(REPLACED)
    if os.path.lexists(replaced) and not os.path.lexists(folder):
        replaced.rename(folder)
    remove(replaced)


def interrupt(number: int, _: types.FrameType | None) -> None:
    """Ends the build at a signal, with the installer that it runs."""
    raise BuildError(f"interrupted by {signal.Signals(number).name}")


@contextlib.contextmanager
def lock(target: pathlib.Path) -> typing.Iterator[None]:
    """Keeps other builds of this checkout waiting, until the process ends at most."""
    with (target / "build.lock").open("w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def build(target: pathlib.Path) -> None:
    """Builds target/deps unless it is complete and current.

    Raises:
        BuildError: The packages can't be installed; target/deps is as it was.
        OSError: A file or folder can't be read, written or moved; likewise.
    """
    if sys.version_info < OLDEST_PYTHON:
        needed = ".".join(map(str, OLDEST_PYTHON))
        raise BuildError(f"Python {needed} or later is needed, this is {sys.version}")
    # The processes may run as another user than the build.
    os.umask(0o022)
    target.mkdir(exist_ok=True)
    with lock(target):
        restore(target / "deps")
        for path in target.glob(f"{UNFINISHED}*"):
            remove(path)
        reason = find_reason(target / "deps")
        if reason is None:
            return
        print(f"build: installing target/deps: {reason}", file=sys.stderr, flush=True)
        installed = pathlib.Path(tempfile.mkdtemp(prefix=UNFINISHED, dir=target))
        try:
            install(installed)
            installed.chmod(FOLDER_MODE)
            replace(target / "deps", installed)
        finally:
            remove(installed)


def main() -> int:
    """Builds and tells why it failed; returns the exit code."""
    for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
        # nohup has SIGHUP ignored.
        if signal.getsignal(number) is not signal.SIG_IGN:
            signal.signal(number, interrupt)
    try:
        build(ROOT / "target")
    except (BuildError, OSError) as error:
        message = " ".join(str(error).split())
        print(f"build: failed, target/deps is unchanged: {message}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
