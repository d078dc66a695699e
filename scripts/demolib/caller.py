"""What a client account does: submits jobs and asks for them. Also the checks that the cases share."""

import json
from typing import Any

from .fleet import CONFIGURATION, Fleet, bearer
from .httpjson import Answer, request

KOTHARI = CONFIGURATION["accounts"]["kothari-fit"]["token"]
PARAGUAS = CONFIGURATION["accounts"]["paraguas-recovery"]["token"]


class WrongOutcome(Exception):
    """A case did not end as it must."""


def check(condition: bool, what: str) -> None:
    if not condition:
        raise WrongOutcome(what)


def job_body(**fields: Any) -> dict[str, Any]:
    return {"kind": "alteration-sheet", "memory_mib_per_task": 256, **fields}


def behaviour(**fields: Any) -> str:
    """Input that the endpoint's stand-in obeys."""
    return json.dumps(fields)


def submit(fleet: Fleet, body: Any, entry: int = 0, token: str | None = KOTHARI, headers: dict[str, str] | None = None) -> Answer:
    authorization = {} if token is None else bearer(token)
    return request(fleet.entries[entry].address, "POST", "/v1/jobs", body, {**authorization, **(headers or {})})


def ask(fleet: Fleet, path: str, entry: int = 0, token: str = KOTHARI, method: str = "GET") -> Answer:
    return request(fleet.entries[entry].address, method, path, None, bearer(token))


def check_completed(fleet: Fleet, answer: Answer, parts: int, output: str | None = None) -> str:
    """The job's id. The answer must be whole: every part with its output's length, and no part started twice."""
    check(answer.status == 200, f"{answer.status} {answer.text}")
    check(answer.get("outcome") == "completed", answer.text)
    results = answer.get("parts", [])
    check(len(results) == parts, f"{len(results)} parts instead of {parts}")
    for part in results:
        check(part["length"] == len(part["output"].encode()), f"length of {part}")
        check(len(part["digest"]) == 16, f"digest of {part}")
        check(output is None or part["output"] == output, f"output of {part}")
    job = answer.get("job")
    check(fleet.starts(job) == parts, f"{fleet.starts(job)} parts were started instead of {parts}")
    return job


def check_refused(fleet: Fleet, answer: Answer, status: int, names: str = "") -> str:
    """What the refusal says. It must be typed and say that nothing ran."""
    check(answer.status == status, f"{answer.status} instead of {status}: {answer.text}")
    check(bool(answer.get("error")), f"no error code: {answer.text}")
    check(names in answer.text, f"does not name {names}: {answer.text}")
    return f"{status} {answer.get('error')}"
