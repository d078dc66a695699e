"""Starts and stops single processes and checks what their callers see. In tests/: python3 -B -m soak.lifecycle --build ../build CASE"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from soak.cell import FRONT, GRACE_S, Place, end_with_parent, settings_of
from soak.run import SERVICE, free_net, seeds_of

START_S = 20.0
ANSWER_S = 3.0
LISTENER_S = 2.5  # from SIGTERM until the entry closes its listener
REQUEST = b"GET /q/none HTTP/1.1\r\nhost: soak.example\r\n\r\n"
CALLERS = 8


class Run:
    """One process, with nothing that it could connect to."""

    def __init__(self, program: Path, role: str, folder: Path, net: int) -> None:
        self.program, self.folder = program, folder
        self.place = Place(role, f"{role}-1", f"127.{net}.1.1", "west-a", f"127.{net}.0.1:20000")
        self.settings = folder / f"{role}.json"
        self.text = settings_of(self.place, seeds_of([self.place]), 6000, SERVICE)
        self.log = folder / f"{role}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> subprocess.Popen[bytes]:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen([self.program, "--cell", self.settings], stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=end_with_parent)
        return self.process

    def start_and_wait(self) -> subprocess.Popen[bytes]:
        self.settings.write_text(self.text)
        process = self.start()
        self.wait_until_listening()
        return process

    def wait_until_listening(self) -> None:
        end = time.monotonic() + START_S
        while "listening " not in self.log.read_text():
            assert self.process is not None
            code = self.process.poll()
            assert code is None, f"the starting {self.place.role} ended with {code}"
            assert time.monotonic() < end, f"the {self.place.role} did not listen in time"
            time.sleep(0.01)

    def connect(self) -> socket.socket:
        return socket.create_connection((self.place.ip, FRONT), ANSWER_S)


def answer(connection: socket.socket) -> tuple[str, bool]:
    """The head of a whole answer, and whether it was whole."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            part = connection.recv(65536)
            if not part:
                return data.decode(), False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        length = next(int(line.partition(":")[2]) for line in lines if line.startswith("content-length:"))
        while len(body) < length:
            part = connection.recv(65536)
            if not part:
                return head.decode(), False
            body += part
    except OSError:
        return data.decode(), False
    return head.decode().lower(), True


def check_ended_in_time(process: subprocess.Popen[bytes], stopped_at: float) -> None:
    code = process.wait(GRACE_S)
    took = time.monotonic() - stopped_at
    print(f"ended with {code} after {took:.2f} s")
    assert code == 0 and took < GRACE_S


def hangup_while_starting(run: Run) -> None:
    """Guards against LOST: a SIGHUP ends a process that is reading its settings."""
    os.mkfifo(run.settings)
    process = run.start()
    with run.settings.open("w") as settings:  # waits until the process reads
        later = run.folder / "later.json"
        later.write_text(run.text)
        later.rename(run.settings)  # for the next time that the process reads its settings
        process.send_signal(signal.SIGHUP)
        time.sleep(0.1)
        assert process.poll() is None, f"the starting {run.place.role} ended with {process.poll()}"
        settings.write(run.text)
    run.wait_until_listening()
    process.send_signal(signal.SIGTERM)
    check_ended_in_time(process, time.monotonic())


def kept_connections_are_told_to_close(run: Run) -> None:
    """Guards against LOST: callers keep using connections to an entry that is about to end."""
    process = run.start_and_wait()
    with run.connect() as connection:
        connection.sendall(REQUEST)
        head, is_whole = answer(connection)
        assert is_whole and "connection: close" not in head, head
        stopped_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        time.sleep(0.5)
        connection.sendall(REQUEST)
        head, is_whole = answer(connection)
        assert is_whole and "connection: close" in head, f"whole {is_whole}: {head}"
    check_ended_in_time(process, stopped_at)


def waiting_requests_are_answered(run: Run) -> None:
    """Guards against LOST: an entry that was held up ends without reading the requests that have waited meanwhile."""
    process = run.start_and_wait()
    stopped_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    time.sleep(LISTENER_S - 0.5)
    process.send_signal(signal.SIGSTOP)
    connections = [run.connect() for _ in range(CALLERS)]
    for connection in connections:
        connection.sendall(REQUEST)
    time.sleep(1)
    process.send_signal(signal.SIGCONT)
    answers = [answer(connection) for connection in connections]
    whole = sum(is_whole for _, is_whole in answers)
    for connection in connections:
        connection.close()
    check_ended_in_time(process, stopped_at)
    assert whole == CALLERS, f"{whole} of {CALLERS} requests got a whole answer"


CASES: dict[str, tuple[Callable[[Run], None], tuple[str, ...]]] = {
    "hangup-while-starting": (hangup_while_starting, ("entry", "agent")),
    "kept-connections": (kept_connections_are_told_to_close, ("entry",)),
    "waiting-requests": (waiting_requests_are_answered, ("entry",)),
}


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=Path, required=True, help="build directory with src/knapweedstaged")
    parser.add_argument("case", choices=list(CASES))
    options = parser.parse_args()
    check, roles = CASES[options.case]
    net, keeper = free_net()
    with keeper:
        for role in roles:
            with tempfile.TemporaryDirectory(prefix="lifecycle-") as folder:
                run = Run(options.build.resolve() / "src" / "knapweedstaged", role, Path(folder), net)
                try:
                    check(run)
                except AssertionError as failure:
                    print(f"{options.case}, {role}: {failure}", run.log.read_text(), sep="\n")
                    return 1
                finally:
                    if run.process is not None and run.process.poll() is None:
                        run.process.kill()
                        run.process.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
