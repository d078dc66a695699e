"""Checks what the endpoints run against the rules: one run of a task at a time, none after an end that was taken note of, capacities, and the shown states."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, TextIO

from soak.evacuations import Evacuations
from soak.planned import History

if TYPE_CHECKING:
    from soak.endpoint import Boot, Run

SHOWN_GRACE_S = 1.0
VISIBLE_S = 3.0  # after the acknowledgement of a submission, the time in which its job may be unknown
CANCEL_S = 3.0  # after the acknowledgement of a cancel, the time in which tasks may still start
FINAL_STATES = ("succeeded", "failed", "cancelled")
CRASHES_TO_GIVE_UP = 2  # of endpoints under one task, after which its job may be shown as failed


def clock_text(at: float | None = None) -> str:
    at = time.time() if at is None else at
    return time.strftime("%H:%M:%S", time.gmtime(at)) + f".{int(at * 1000) % 1000:03d}"


@dataclass
class Job:
    """A submitted job: what the endpoints need to run its tasks, and what its caller was told."""

    id: str
    count: int
    work_s: float
    needs: dict[str, int]
    gang: bool
    one_rack: bool
    checkpoints: bool
    is_accepted: bool = False
    is_refused: bool = False  # all attempts to submit it were refused
    is_started: bool = False
    accepted_at: float = 0.0
    succeeded_at: float | None = None  # when it was first shown so
    state: str = ""
    is_gone: bool = False  # answered 410 after its caller had cancelled it
    is_lasting: bool = False  # runs until it is cancelled
    is_cancel_sent: bool = False
    cancelled_at: float | None = None  # when its cancel was acknowledged
    cancel_answer: str = ""  # the acknowledgement, with the entry that sent it


@dataclass
class DoneEnd:
    run: Run
    boot: Boot
    lapses: int
    noted_at: float | None = None
    later: list[Run] = field(default_factory=list)  # started since, while the end was neither acknowledged nor void


@dataclass
class Violation:
    rule: str
    text: str
    task: str
    agents: list[str]
    endpoints: list[str]
    at: float


class Judge:
    def __init__(self, folder: Path) -> None:
        self.jobs: dict[str, Job] = {}
        self.active: dict[str, list[Run]] = {}  # by task
        self.done: dict[str, list[DoneEnd]] = {}  # by task
        self.crashed: dict[str, set[int]] = {}  # by task: its runs under which an endpoint has crashed
        self.violations: list[Violation] = []
        self.findings: list[str] = []  # broken promises that are no matter of safety
        self.starts = 0
        self.history = History()
        self.evacuations = Evacuations(self.history)
        self.log: TextIO = (folder / "runs.log").open("w")

    def note(self, text: str) -> None:
        self.log.write(f"{clock_text()} {text}\n")
        self.log.flush()

    def violated(self, rule: str, task: str, text: str, runs: list[Run]) -> None:
        agents, endpoints = [run.boot.machine.name for run in runs], [run.boot.id for run in runs]
        self.violations.append(Violation(rule, text, task, agents, endpoints, time.time()))
        line = f"VIOLATION {rule} job={task.partition('.')[0]} task={task} {text} " + " while ".join(f"[{run.describe()}]" for run in runs)
        self.note(line)
        print(f"{clock_text()} {line}", flush=True)

    def started(self, run: Run) -> None:
        self.starts += 1
        run.job.is_started = True
        self.note(f"start {run.describe()}")
        others = self.active.setdefault(run.task, [])
        for other in list(others):
            other.boot.advance()  # its lease may have run out since its timers last ran
        for other in others:
            self.violated("TWICE", run.task, "two runs at once", [run, other])
        others.append(run)
        for end in self.done.get(run.task, []):
            if end.noted_at is not None:
                self.violated("TWICE", run.task, "started after a noted end", [run, end.run])
            elif end.boot.is_up and end.lapses == end.boot.lapses:
                end.later.append(run)
        shown = run.job.succeeded_at
        if shown is not None and time.time() - shown > SHOWN_GRACE_S and not run.is_late:
            self.violated("TWICE", run.task, "started after the job was shown as succeeded", [run])
        cancelled = run.job.cancelled_at
        if cancelled is not None and time.time() - cancelled > CANCEL_S and not run.is_late:
            text = f"started {time.time() - cancelled:.1f} s after its cancel was acknowledged ({run.job.cancel_answer})"
            self.violated("UNASKED", run.task, text, [run])
        machine = run.boot.machine
        broken = self.evacuations.broken(machine.zone, machine.name, run.is_late)
        if broken is not None:
            self.violated("EVAC", run.task, broken, [run])
        if run.job.is_refused:
            self.violated("REFUSED", run.task, "all attempts to submit the job were refused", [run])
        used = {name: sum(other.job.needs[name] for other in run.boot.runs.values()) + run.job.needs[name] for name in run.job.needs}
        if any(used[name] > run.boot.machine.capacity[name] for name in used):
            self.violated("LIMIT", run.task, f"over capacity {used}", [run])

    def ended(self, run: Run, how: str) -> None:
        """Also for runs that vanish with their endpoint, with how = "vanished"."""
        self.active[run.task].remove(run)
        self.note(f"end {how} {run.describe()}")
        if how == "vanished" and run.boot.leaves_at is None:
            self.crashed.setdefault(run.task, set()).add(run.run)
        if how == "done":
            self.done.setdefault(run.task, []).append(DoneEnd(run, run.boot, run.boot.lapses))

    def noted(self, boot: Boot, run: Run) -> None:
        """An end has been acknowledged at the endpoint."""
        for end in self.done.get(run.task, []):
            if end.run is run and end.lapses == boot.lapses and end.noted_at is None:
                end.noted_at = time.time()
                self.note(f"noted {run.describe()}")
                for later in end.later:
                    self.violated("TWICE", run.task, "started after an end that was noted later", [later, run])

    def cancelled(self, job: Job, status: int, entry: str) -> None:
        """The cancel of a job has been acknowledged."""
        if job.cancelled_at is None:
            job.cancelled_at = time.time()
            job.cancel_answer = f"{status} by {entry} at {clock_text(job.cancelled_at)}"
            self.note(f"cancelled job={job.id} acknowledged with {job.cancel_answer}")

    def missing(self, job: Job, entry: str) -> None:
        """A query for an accepted job was answered 410."""
        self.note(f"missing job={job.id} by {entry}")
        if job.is_cancel_sent:
            job.is_gone = True
        elif time.time() - job.accepted_at > VISIBLE_S:
            self.violated("LOST", self.tasks(job)[0], f"answered 410 by {entry} {time.time() - job.accepted_at:.1f} s after it was accepted", [])

    def shown(self, job: Job, state: str, entry: str) -> None:
        is_new = state != job.state
        if is_new:
            self.note(f"shown job={job.id} state={state} by {entry}")
        if is_new and (job.state in FINAL_STATES or (job.state, state) == ("running", "pending")):
            self.violated("STATE", self.tasks(job)[0], f"was shown as {job.state}, then as {state} by {entry}", [])
        job.state = state
        if state == "succeeded" and job.succeeded_at is None:
            job.succeeded_at = time.time()
            units = [[task for task in self.tasks(job)]] if job.gang else [[task] for task in self.tasks(job)]
            if any(all(not self.done.get(task) for task in unit) for unit in units):
                self.violated("MIXED", self.tasks(job)[0], "shown as succeeded before all tasks were done", [])
        if is_new and state == "failed" and self.most_crashes(job) >= CRASHES_TO_GIVE_UP:
            self.findings.append(f"GIVEN UP job={job.id} after {self.most_crashes(job)} crashes under one task")
        elif is_new and (state == "failed" or (state == "cancelled" and not job.is_cancel_sent)):
            self.violated("LOST", self.tasks(job)[0], f"shown as {state} without cause, {self.most_crashes(job)} crashes under one task", [])

    def most_crashes(self, job: Job) -> int:
        return max(len(self.crashed.get(task, ())) for task in self.tasks(job))

    def check_cuts(self) -> None:
        for cut, work in self.history.broken():
            self.violated("LOST", self.tasks(self.jobs[cut.job])[0], f"{cut.text}, beside {work} and no unplanned impairment", [])

    def check_cancelled(self) -> None:
        """Long after the last fault, no run of a cancelled job is left."""
        for job in self.jobs.values():
            left = [run for task in self.tasks(job) for run in self.active.get(task, [])]
            if job.cancelled_at is not None and left:
                self.violated("UNASKED", left[0].task, f"still runs {time.time() - job.cancelled_at:.1f} s after its cancel was acknowledged ({job.cancel_answer})", left)

    @staticmethod
    def tasks(job: Job) -> list[str]:
        return [f"{job.id}.0.0.{index}" for index in range(job.count)]
