"""Troubles of a stand-in while it serves a request. Troubles that overlap are all applied."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from soak.httplite import Request, Reset, Response, Silence


@dataclass
class Trouble:
    """Shares are probabilities of one request."""

    refused: float = 0.0  # 503, nothing is done
    reset: float = 0.0  # the connection is reset, before or after the request is carried out
    unheard: float = 0.0  # no answer, nothing is done
    lost: float = 0.0  # carried out, no answer
    late: float = 0.0  # no answer, carried out after a time within late_s
    late_s: tuple[float, float] = (2.0, 12.0)
    slow_s: float = 0.0  # the answer waits for up to this long
    closes: float = 0.0  # the connection ends after the answer


async def serve(troubles: list[Trouble], rng: random.Random, request: Request, execute: Callable[[bool], Response]) -> Response:
    """Carries out a request unless a trouble prevents it, and returns its answer unless a trouble withholds it. execute is told whether it runs late."""
    lost, slow = False, 0.0
    for trouble in troubles:
        if rng.random() < trouble.refused:
            return Response(503, {})
        if rng.random() < trouble.unheard:
            raise Silence
        if rng.random() < trouble.reset:
            if rng.random() < 0.5:
                execute(False)
            raise Reset
        if rng.random() < trouble.late:
            asyncio.get_running_loop().call_later(rng.uniform(*trouble.late_s), execute, True)
            raise Silence
        lost = lost or rng.random() < trouble.lost
        slow += rng.uniform(0, trouble.slow_s)
    response = execute(False)
    response.closes = any(rng.random() < trouble.closes for trouble in troubles)
    if lost:
        raise Silence
    if slow > 0:
        await asyncio.sleep(slow)
    return response
