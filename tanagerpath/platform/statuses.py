"""HTTP responses for typed failures."""

import json
import math
import time
from typing import Any

from starlette.responses import Response

from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.errors import Failure

__all__ = ["make_error_response", "make_json_response"]

# Only 429 and 503 tell a client that its request took no effect.
_STATUSES = {
    "EntryDraining": 503,
    "EvacuationSuperseded": 503,
    "InvalidConfiguration": 400,
    "InvalidUpstreamReport": 400,
    "InvalidWorkload": 400,
    "MailboxFull": 503,
    "MalformedMessage": 400,
    "NoCapacity": 429,
    "NoLeader": 503,
    "NotConfigured": 503,
    "OutcomeUncertain": 504,
    "TooManyCancellations": 429,
    "TooManyWorkloads": 429,
    "UnknownKey": 401,
    "UnknownQueue": 404,
    "UnknownWave": 404,
    "UnknownWorkload": 410,
    "UnknownZone": 404,
}
_UNCERTAIN = 504
_RETRY_STATUSES = (429, 503)
DEFAULT_RETRY_AFTER_S = 1


def make_json_response(content: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    text = json.dumps(content, separators=(",", ":"))
    return Response(text, status, media_type="application/json")


def make_error_response(failure: Failure | ErrorBody) -> Response:
    """Return the response for a failure, with `Retry-After` for 429 and 503."""
    body = failure
    if isinstance(failure, Failure):
        body = ErrorBody.from_failure(failure)
    status = _STATUSES.get(body.type, _UNCERTAIN)
    if status == _UNCERTAIN and body.not_run:
        status = _RETRY_STATUSES[1]
    response = make_json_response({"error": body.message, "type": body.type}, status)
    if status in _RETRY_STATUSES:
        response.headers["retry-after"] = str(_find_retry_after_s(body))
    return response


def _find_retry_after_s(body: ErrorBody) -> int:
    if body.retry_at_unix_s is None:
        return DEFAULT_RETRY_AFTER_S
    return max(math.ceil(body.retry_at_unix_s - time.time()), 0)
