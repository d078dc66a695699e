"""Cases of the operators' interface, of the command-line tool and of endpoints that come and go."""

import copy
import json
import subprocess
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from .caller import KOTHARI, ask, check, check_completed, check_refused, job_body, submit
from .fleet import ACCELERATORS, CONFIGURATION, OPERATOR_TOKEN, RACKS, STREAM, Fleet, bearer, start_entry
from .httpjson import Answer, request
from .jobcases import Case, gang_over_all_workers
from .waiting import wait_until

SPREAD_DEADLINE_S = 5.0
LEAVE_DEADLINE_S = 5.0
TOOL_TIMEOUT_S = 60.0


def changed(grace_ms: int) -> dict[str, Any]:
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["defaults"]["preemption_grace_ms"] = grace_ms
    return configuration


def put(fleet: Fleet, base: int, author: str, configuration: Any, entry: int = 0) -> Answer:
    return fleet.operator("PUT", "/v1/configuration", {"base_version": base, "author": author, "configuration": configuration}, entry)


def version(fleet: Fleet) -> int:
    return fleet.operator("GET", "/v1/configuration").get("version")


def configuration_change(fleet: Fleet) -> str:
    base = version(fleet)
    answer = put(fleet, base, "rota-a", changed(1500))
    check(answer.status == 200 and answer.get("version") == base + 1, answer.text)
    fleet.wait_for_version(base + 1, SPREAD_DEADLINE_S)
    for entry in range(len(fleet.entries)):
        in_force = fleet.operator("GET", "/v1/configuration", entry=entry)
        check(in_force.get("configuration")["defaults"]["preemption_grace_ms"] == 1500, f"entry {entry + 1}: {in_force.text}")
    return f"version {base + 1} in force at every entry"


def configuration_race(fleet: Fleet) -> str:
    base = version(fleet)
    authors = {"rota-a": 1600, "rota-b": 1700}
    with ThreadPoolExecutor() as pool:
        calls = {author: pool.submit(put, fleet, base, author, changed(grace), entry) for entry, (author, grace) in enumerate(authors.items())}
        answers = {author: call.result() for author, call in calls.items()}
    winners = [author for author, answer in answers.items() if answer.status == 200]
    losers = [author for author, answer in answers.items() if answer.status == 409]
    check(len(winners) == 1 and len(losers) == 1, str({author: answer.text for author, answer in answers.items()}))
    told = answers[losers[0]]
    check(told.get("version") == base + 1 and told.get("author") == winners[0], f"the loser was told {told.text}")
    fleet.wait_for_version(base + 1, SPREAD_DEADLINE_S)
    in_force = fleet.operator("GET", "/v1/configuration", entry=2)
    check(in_force.get("configuration")["defaults"]["preemption_grace_ms"] == authors[winners[0]], in_force.text)
    return "one winner, the loser told 409 and who won"


def stale_base(fleet: Fleet) -> str:
    return check_refused(fleet, put(fleet, 0, "rota-c", changed(1800)), 409)


def invalid_configuration(fleet: Fleet) -> str:
    before = version(fleet)
    said = check_refused(fleet, put(fleet, before, "rota-a", {"accounts": {}, "colour": 1}), 422, "colour")
    check(version(fleet) == before, "a refused configuration changed the version")
    return said


def operator_without_token(fleet: Fleet) -> str:
    return check_refused(fleet, request(fleet.entries[0].address, "GET", "/v1/configuration", headers={"Authorization": f"Bearer {KOTHARI}"}), 401)


def tool(fleet: Fleet, token: str, *arguments: str) -> subprocess.CompletedProcess:
    command = [str(fleet.build / "src" / "knapweedctl"), *arguments]
    environment = {"KNAPWEED_ENTRY": fleet.entries[1].address, "KNAPWEED_TOKEN": token}
    return subprocess.run(command, env=environment, capture_output=True, text=True, timeout=TOOL_TIMEOUT_S, check=False)


def job_by_tool(fleet: Fleet) -> str:
    ran = tool(fleet, KOTHARI, "submit", "--kind", "alteration-sheet", "--input", "by tool", "--json")
    check(ran.returncode == 0, f"exit {ran.returncode}: {ran.stderr or ran.stdout}")
    answer = json.loads(ran.stdout)
    check(answer["outcome"] == "completed" and answer["parts"][0]["output"] == "done:by tool", ran.stdout)
    refused = tool(fleet, KOTHARI, "submit", "--kind", "alteration-sheet", "--accelerators", str(ACCELERATORS + 1))
    check(refused.returncode in (1, 2), f"exit {refused.returncode}: {refused.stdout}{refused.stderr}")
    return f"completed with exit 0, refused with exit {refused.returncode}"


def configuration_by_tool(fleet: Fleet) -> str:
    base = version(fleet)
    read = tool(fleet, OPERATOR_TOKEN, "config", "get", "--json")
    check(read.returncode == 0 and json.loads(read.stdout)["version"] == base, read.stdout + read.stderr)
    folder = fleet.processes.folder / "changed.json"
    folder.write_text(json.dumps(changed(2100)))
    written = tool(fleet, OPERATOR_TOKEN, "config", "set", "--base", str(base), "--author", "rota-a", str(folder))
    check(written.returncode == 0, f"exit {written.returncode}: {written.stderr}")
    stale = tool(fleet, OPERATOR_TOKEN, "config", "set", "--base", str(base), "--author", "rota-b", str(folder))
    check(stale.returncode == 5, f"exit {stale.returncode} for a stale base: {stale.stderr}")
    history = tool(fleet, OPERATOR_TOKEN, "config", "history")
    check(history.returncode == 0 and "rota-a" in history.stdout, history.stdout + history.stderr)
    status = tool(fleet, OPERATOR_TOKEN, "status")
    check(status.returncode == 0 and "w1" in status.stdout, status.stdout + status.stderr)
    return "get, set, stale set with exit 5, history, status"


def endpoint_leaves_and_returns(fleet: Fleet) -> str:
    leaving = "w1"
    others = set(RACKS) - {leaving}
    fleet.fault(fleet.endpoints[leaving], {"state": "leaving"})
    fleet.wait_for_workers(others, LEAVE_DEADLINE_S)
    before = fleet.counts(leaving)["total"]
    for number in range(20):
        check_completed(fleet, submit(fleet, job_body(input=f"n {number}"), entry=number % len(fleet.entries)), 1)
    check(fleet.counts(leaving)["total"] == before, "the leaving endpoint got new work")
    fleet.fault(fleet.endpoints[leaving], {"state": "ready"})
    fleet.wait_for_workers(set(RACKS))
    return f"20 jobs, none there; back: {gang_over_all_workers(fleet)}"


def endpoint_falls_silent(fleet: Fleet) -> str:
    silent = "w3"
    fleet.fault(fleet.endpoints[silent], {"stop_announcing": True})
    fleet.wait_for_workers(set(RACKS) - {silent}, 2 * LEAVE_DEADLINE_S)
    before = fleet.counts(silent)["total"]
    for number in range(10):
        check_completed(fleet, submit(fleet, job_body(input=f"s {number}"), entry=number % len(fleet.entries)), 1)
    check(fleet.counts(silent)["total"] == before, "the silent endpoint got new work")
    fleet.fault(fleet.endpoints[silent], {"stop_announcing": False})
    fleet.wait_for_workers(set(RACKS))
    return "announcement lapsed, no new work; announced again"


def whole_snapshots(fleet: Fleet, after: int) -> bool:
    """Whether the log holds every record of a snapshot that begins at this offset or later."""
    answer = request(fleet.log.address, "GET", f"/v1/streams/{STREAM}/records?from={after}&limit=100000")
    records = [json.loads(record["value"]) for record in answer.get("records", [])]
    parts: dict[str, set[int]] = {}
    for record in records:
        if record["type"] == "snapshot":
            parts.setdefault(record["snapshot"], set()).add(record["part"])
    return any(len(parts.get(record.get("snapshot", ""), ())) == record.get("parts") for record in records)


def fresh_entry_after_expiry(fleet: Fleet) -> str:
    accepted = submit(fleet, job_body(input=json.dumps({"run_ms": 600000})), headers={"Prefer": "respond-async"})
    check(accepted.status == 202, accepted.text)
    job = accepted.get("job")
    wait_until("the job runs", lambda: fleet.starts(job) == 1)
    end = request(fleet.log.address, "GET", f"/v1/streams/{STREAM}/records?from=0&limit=100000").get("next_offset")
    fleet.fault(fleet.log, {"retention_records": 1})
    fleet.fault(fleet.log, {"retention_records": 1000000})
    wait_until("a snapshot is written", lambda: whole_snapshots(fleet, end))
    fresh = start_entry(fleet, fleet.processes.folder, "entry-fresh", "west-4", [])
    wait_until("the fresh entry is ready", lambda: request(fresh.address, "GET", "/readyz").status == 200)
    found = request(fresh.address, "GET", "/v1/configuration", headers=bearer(OPERATOR_TOKEN))
    check(found.get("version") == version(fleet), f"configuration at the fresh entry: {found.text}")
    known = request(fresh.address, "GET", f"/v1/jobs/{job}", headers=bearer(KOTHARI))
    check(known.status == 200 and known.get("state") != "finished", f"the job at the fresh entry: {known.text}")
    fleet.processes.stop_one(fresh)
    ask(fleet, f"/v1/jobs/{job}", method="DELETE")
    check(ask(fleet, f"/v1/jobs/{job}?wait_ms=20000").get("outcome") == "cancelled", "the job was not cancelled")
    return f"configuration {found.get('version')} and the live job found without peers"


def open_pages(fleet: Fleet) -> str:
    for entry in fleet.entries:
        for path in ("/healthz", "/readyz", "/metrics"):
            answer = request(entry.address, "GET", path)
            check(answer.status == 200, f"{entry.name} {path}: {answer.status}")
        check("knapweedstage_" in answer.text, f"{entry.name} has no metrics")
    return "health, readiness and metrics at every entry"


OPERATOR_CASES: list[Case] = [
    ("configuration change", configuration_change),
    ("race of two changes", configuration_race),
    ("stale base version", stale_base),
    ("invalid configuration", invalid_configuration),
    ("operators' page with a caller's token", operator_without_token),
    ("job with knapweedctl", job_by_tool),
    ("configuration with knapweedctl", configuration_by_tool),
    ("endpoint leaves and comes back", endpoint_leaves_and_returns),
    ("endpoint falls silent and comes back", endpoint_falls_silent),
    ("fresh entry after records expired", fresh_entry_after_expiry),
    ("health, readiness, metrics", open_pages),
]
