"""Payloads that tell a stand-in upstream what to do, and the answers it gives.

A payload that is a JSON object with only the fields of `TaskScript` is a script; any
other payload is echoed. The answer is JSON text with the job, the attempt and the
digest of the payload, so that a caller can check that it is whole and its own.
"""

import hashlib
import json

import attrs
from returns.pipeline import is_successful

from tanagerpath.codecs import decode_json
from tanagerpath.core.model import AttemptId

__all__ = ["TaskScript", "compose_answer", "digest_text", "verify_answer"]

FAIL_AT_START = "start"
FAIL_IN_RUN = "run"


def digest_text(text: str) -> str:
    """Return the hexadecimal SHA-256 digest of a text's UTF-8 bytes."""
    return hashlib.sha256(text.encode()).hexdigest()


@attrs.frozen
class TaskScript:
    """Behaviour of one task on a stand-in upstream.

    Attributes
    ----------
    run_ms : int
        Run time in milliseconds at full speed.
    echo : str
        Text that the answer repeats.
    answer_bytes : int
        Bytes of padding in the answer.
    fail : str or None
        "start" or "run" for a member that fails there.
    fail_ranks : tuple of int
        Ranks that fail; empty for all ranks.
    hang : bool
        Whether the task runs until it is stopped.
    """

    run_ms: int = 10
    echo: str = ""
    answer_bytes: int = 0
    fail: str | None = None
    fail_ranks: tuple[int, ...] = ()
    hang: bool = False

    @classmethod
    def from_payload(cls, payload: str) -> "TaskScript":
        """Read a script, or build one that echoes the payload."""
        result = decode_json(payload, cls)
        if is_successful(result):
            return result.unwrap()
        return cls(echo=payload)

    def fails(self, place: str, rank: int) -> bool:
        """Whether a rank fails at a place, "start" or "run"."""
        return self.fail == place and (not self.fail_ranks or rank in self.fail_ranks)


def compose_answer(job_id: str, attempt: AttemptId, payload: str) -> str:
    """Return the answer of a stand-in upstream to a payload."""
    script = TaskScript.from_payload(payload)
    return json.dumps(
        {
            "job_id": job_id,
            "attempt": f"{attempt.term}.{attempt.counter}",
            "payload_sha256": digest_text(payload),
            "echo": script.echo,
            "padding": "x" * script.answer_bytes,
        }
    )


def verify_answer(answer: str, job_id: str, payload: str) -> bool:
    """Whether an answer is whole and belongs to a job and its payload."""
    try:
        content = json.loads(answer)
    except ValueError:
        return False
    script = TaskScript.from_payload(payload)
    return (
        isinstance(content, dict)
        and content.get("job_id") == job_id
        and content.get("payload_sha256") == digest_text(payload)
        and content.get("echo") == script.echo
        and len(content.get("padding", "")) == script.answer_bytes
    )
