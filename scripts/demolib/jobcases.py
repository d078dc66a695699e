"""Cases of the callers' interface."""

from concurrent.futures import ThreadPoolExecutor
from typing import Callable

from .caller import KOTHARI, PARAGUAS, ask, behaviour, check, check_completed, check_refused, job_body, submit
from .fleet import ACCELERATORS, RACKS, Fleet
from .httpjson import request
from .waiting import wait_until

MAXIMUM_BODY_BYTES = 1 << 20


def small_job(fleet: Fleet) -> str:
    answer = submit(fleet, job_body(input="hem 3 cm"))
    check_completed(fleet, answer, 1, "done:hem 3 cm")
    return f"completed on {answer.get('parts')[0]['worker']}"


def gang(fleet: Fleet, tasks: int, accelerators: int, adjacency: str) -> list[str]:
    body = job_body(kind="pattern-rendering", tasks=tasks, accelerators_per_task=accelerators, adjacency=adjacency, input=behaviour(run_ms=20))
    answer = submit(fleet, body, entry=1)
    check_completed(fleet, answer, tasks)
    return [part["worker"] for part in answer.get("parts")]


def gang_over_all_workers(fleet: Fleet) -> str:
    workers = gang(fleet, len(RACKS), ACCELERATORS, "none")
    check(set(workers) == set(RACKS), f"ran on {workers}")
    return f"4 parts on {' '.join(sorted(workers))}"


def gang_in_worker(fleet: Fleet) -> str:
    workers = gang(fleet, 2, ACCELERATORS // 2, "worker")
    check(len(set(workers)) == 1, f"ran on {workers}")
    return f"2 parts on {workers[0]}"


def gang_in_rack(fleet: Fleet) -> str:
    workers = gang(fleet, 2, ACCELERATORS, "rack")
    check(len(set(workers)) == 2 and len({RACKS[worker] for worker in workers}) == 1, f"ran on {workers}")
    return f"2 parts in {RACKS[workers[0]]}: {' '.join(sorted(workers))}"


def same_key_twice(fleet: Fleet) -> str:
    body = job_body(input=behaviour(run_ms=100, output_bytes=20))
    with ThreadPoolExecutor() as pool:
        calls = [pool.submit(submit, fleet, body, entry, KOTHARI, {"Idempotency-Key": "sleeve-17"}) for entry in (0, 1)]
        answers = [call.result() for call in calls]
    jobs = {check_completed(fleet, answer, 1, "x" * 20) for answer in answers}
    check(len(jobs) == 1, f"two jobs: {jobs}")
    later = submit(fleet, body, 2, KOTHARI, {"Idempotency-Key": "sleeve-17"})
    check(check_completed(fleet, later, 1) in jobs, "a later retry became another job")
    return "3 requests, 1 job, 1 start"


def same_key_other_request(fleet: Fleet) -> str:
    answer = submit(fleet, job_body(input="another request"), 1, KOTHARI, {"Idempotency-Key": "sleeve-17"})
    return check_refused(fleet, answer, 409)


def not_repeatable(fleet: Fleet) -> str:
    answer = submit(fleet, job_body(repeatable=False, input="cut once"), entry=2)
    check_completed(fleet, answer, 1, "done:cut once")
    return "completed, 1 start"


def failed_job(fleet: Fleet) -> str:
    answer = submit(fleet, job_body(repeatable=False, input=behaviour(fail=True)))
    check(answer.get("outcome") == "failed", answer.text)
    check(fleet.starts(answer.get("job")) == 1, "not started once")
    return "failed, said so, 1 start"


def cancelled_job(fleet: Fleet) -> str:
    accepted = submit(fleet, job_body(input=behaviour(run_ms=600000)), headers={"Prefer": "respond-async"})
    check(accepted.status == 202, accepted.text)
    job = accepted.get("job")
    wait_until("the job runs", lambda: fleet.starts(job) == 1)
    ask(fleet, f"/v1/jobs/{job}", method="DELETE")
    ended = ask(fleet, f"/v1/jobs/{job}?wait_ms=20000")
    check(ended.get("state") == "finished" and ended.get("outcome") == "cancelled", ended.text)
    wait_until("every slot is free", lambda: not any(running_parts(fleet, worker) for worker in RACKS))
    return "was running, then cancelled and stopped"


def running_parts(fleet: Fleet, worker: str) -> list:
    return request(fleet.endpoints[worker].address, "GET", "/v1/parts").get("parts")


def asynchronous_job(fleet: Fleet) -> str:
    accepted = submit(fleet, job_body(input=behaviour(run_ms=200, output_bytes=5)), headers={"Prefer": "respond-async"})
    check(accepted.status == 202, accepted.text)
    location = accepted.headers.get("location", "")
    check(location == f"/v1/jobs/{accepted.get('job')}", f"Location is {location!r}")
    check_completed(fleet, ask(fleet, f"{location}?wait_ms=20000"), 1, "xxxxx")
    from_other_entry = ask(fleet, f"{location}?wait_ms=20000", entry=1)
    check(from_other_entry.get("outcome") == "completed", f"from another entry: {from_other_entry.text}")
    return "202, Location, then completed from two entries"


def never_placeable(fleet: Fleet) -> str:
    answer = submit(fleet, job_body(accelerators_per_task=ACCELERATORS + 1))
    said = check_refused(fleet, answer, 422)
    check(answer.get("outcome") == "not_run" and bool(answer.get("detail")), answer.text)
    return f"{said}, not_run with the reason"


def unknown_token(fleet: Fleet) -> str:
    for token in (None, "token-of-nobody"):
        said = check_refused(fleet, submit(fleet, job_body(), token=token), 401)
    return said


def other_accounts_job(fleet: Fleet) -> str:
    job = submit(fleet, job_body(input="private")).get("job")
    check(ask(fleet, f"/v1/jobs/{job}").status == 200, "its own account must see it")
    check_refused(fleet, ask(fleet, f"/v1/jobs/{job}", token=PARAGUAS, method="DELETE"), 404)
    return check_refused(fleet, ask(fleet, f"/v1/jobs/{job}", token=PARAGUAS), 404)


def malformed_json(fleet: Fleet) -> str:
    return check_refused(fleet, submit(fleet, '{"kind":'), 400)


def unknown_field(fleet: Fleet) -> str:
    return check_refused(fleet, submit(fleet, job_body(colour="navy")), 400, "colour")


def wrong_type(fleet: Fleet) -> str:
    return check_refused(fleet, submit(fleet, job_body(tasks="two")), 400, "tasks")


def missing_field(fleet: Fleet) -> str:
    return check_refused(fleet, submit(fleet, {"tasks": 1}), 400, "kind")


def oversized_body(fleet: Fleet) -> str:
    said = check_refused(fleet, submit(fleet, job_body(input="x" * (MAXIMUM_BODY_BYTES + 1))), 413)
    check_completed(fleet, submit(fleet, job_body(input="after it")), 1, "done:after it")
    return said


Case = tuple[str, Callable[[Fleet], str]]

JOB_CASES: list[Case] = [
    ("small job", small_job),
    ("gang over all workers", gang_over_all_workers),
    ("gang, adjacency worker", gang_in_worker),
    ("gang, adjacency rack", gang_in_rack),
    ("same Idempotency-Key through two entries", same_key_twice),
    ("same key, other request", same_key_other_request),
    ("not repeatable", not_repeatable),
    ("job that fails", failed_job),
    ("cancelled job", cancelled_job),
    ("asynchronous job", asynchronous_job),
    ("can never run", never_placeable),
    ("no token, unknown token", unknown_token),
    ("other account's job", other_accounts_job),
    ("malformed JSON", malformed_json),
    ("unknown field", unknown_field),
    ("wrong type", wrong_type),
    ("missing field", missing_field),
    ("oversized body", oversized_body),
]
