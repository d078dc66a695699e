"""Starts processes, waits until they serve, and stops exactly those."""

import os
import select
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

START_DEADLINE_S = 20.0
STOP_DEADLINE_S = 40.0


class StartError(Exception):
    """A process did not come up."""


@dataclass
class Process:
    name: str
    address: str
    child: subprocess.Popen
    log: Path


class Processes:
    """The processes that this run has started."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: list[Process] = []

    def start(self, name: str, command: list[str]) -> Process:
        """Starts a process and waits for its line "listening ADDRESS"."""
        log = self.folder / f"{name}.log"
        with log.open("wb") as errors:
            child = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=errors)
        process = Process(name, "", child, log)
        self.running.append(process)
        process.address = self._read_address(process)
        return process

    def _read_address(self, process: Process) -> str:
        assert process.child.stdout is not None
        output = b""
        end = time.monotonic() + START_DEADLINE_S
        while not output.endswith(b"\n"):
            ready, _, _ = select.select([process.child.stdout], [], [], max(0.0, end - time.monotonic()))
            chunk = os.read(process.child.stdout.fileno(), 4096) if ready else b""
            if not chunk:
                raise StartError(f"{process.name} does not serve: {self.last_lines(process)}")
            output += chunk
        word, _, address = output.decode().partition("\n")[0].partition(" ")
        if word != "listening":
            raise StartError(f"{process.name} printed {output!r}")
        return address

    def dead(self) -> list[str]:
        """Names of processes that have ended by themselves."""
        return [f"{process.name} ({process.child.returncode})" for process in self.running if process.child.poll() is not None]

    def stop(self) -> list[str]:
        """Stops the newest first, by their ids. Returns the names of those that did not end well."""
        unclean = []
        for process in reversed(list(self.running)):
            if self.stop_one(process) != 0:
                unclean.append(f"{process.name} ({process.child.returncode})")
        return unclean

    def stop_one(self, process: Process) -> int:
        """Ends one process by its id and returns its exit code."""
        if process.child.poll() is None:
            process.child.terminate()
            try:
                process.child.wait(STOP_DEADLINE_S)
            except subprocess.TimeoutExpired:
                process.child.kill()
                process.child.wait()
        if process.child.stdout is not None:
            process.child.stdout.close()
        self.running.remove(process)
        return process.child.returncode

    @staticmethod
    def last_lines(process: Process, count: int = 5) -> str:
        return "\n".join(process.log.read_text(errors="replace").splitlines()[-count:])
