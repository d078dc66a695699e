"""HTTP requests with JSON bodies."""

import http.client
import json
from dataclasses import dataclass, field
from typing import Any

TIMEOUT_S = 60.0


@dataclass
class Answer:
    """An HTTP answer; body is None when it is not JSON."""

    status: int
    headers: dict[str, str]
    text: str
    body: Any = field(default=None)

    def get(self, name: str, otherwise: Any = None) -> Any:
        """A member of the body, when the body is a JSON object."""
        return self.body.get(name, otherwise) if isinstance(self.body, dict) else otherwise


def parse_json(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return None


def request(address: str, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None, timeout_s: float = TIMEOUT_S) -> Answer:
    """Sends one request on a connection of its own. A body that is text or bytes is sent as it is, any other as JSON."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    payload = body if body is None or isinstance(body, (str, bytes)) else json.dumps(body)
    try:
        connection.request(method, path, payload, {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        text = response.read().decode("utf-8", "replace")
        answer_headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, answer_headers, text, parse_json(text))
    finally:
        connection.close()
