"""Commands for jobs: submit, cancel and explain."""

import argparse
import hashlib
import pathlib
import time
import urllib.parse
import uuid

import attrs
from returns.pipeline import is_successful
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.cli.client import EntryClient, EntryRequest
from tanagerpath.cli.command import ClientCommand
from tanagerpath.cli.failures import (
    AnswerNotReady,
    EndedWithoutAnswer,
    InvalidArgument,
)
from tanagerpath.codecs import encode_json
from tanagerpath.core.model import JobClass, JobRequest, JobState, check_job
from tanagerpath.core.protocol.callers import JobReply, SubmitRequest
from tanagerpath.core.protocol.internal import ExplainReply
from tanagerpath.errors import Failure

__all__ = ["CancelCommand", "ExplainCommand", "SubmitCommand", "find_mismatch"]

# Longest single poll for an answer, and thus the longest delay if its entry fails.
MAX_POLL_S = 5.0


def find_mismatch(reply: JobReply, key: str) -> str:
    """Return why a reply does not answer a request, or an empty string.

    Parameters
    ----------
    reply : JobReply
        Reply from an entry.
    key : str
        Key of the caller's own job.

    Returns
    -------
    str
        Description of the wrong key, length or digest.
    """
    if reply.key != key:
        return f"key {reply.key!r} instead of {key!r}"
    if reply.answer is None:
        return ""
    content = reply.answer.encode()
    if len(content) != reply.answer_length:
        return f"answer of {len(content)} bytes instead of {reply.answer_length}"
    if hashlib.sha256(content).hexdigest() != reply.answer_sha256:
        return "the digest of the answer does not match"
    return ""


def _compare_ids(got: str, asked: str) -> str:
    return "" if got == asked else f"job {got!r} instead of {asked!r}"


def _make_path(job_id: str, rest: str = "") -> str:
    return f"/v1/jobs/{urllib.parse.quote(job_id, safe='')}{rest}"


def _render_reply(reply: JobReply, as_json: bool) -> str:
    if as_json:
        return encode_json(reply)
    line = f"job {reply.job_id} {reply.state}"
    return line if reply.answer is None else f"{line}\n{reply.answer}"


@attrs.frozen
class _Submission:
    job: JobRequest
    wait_s: float
    as_json: bool


class SubmitCommand(ClientCommand):
    """`tanagerpath submit`."""

    name = "submit"
    summary = "submit a job, and wait for its answer if asked to"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the fields of a job."""
        super().add_arguments(parser)
        parser.add_argument("--organisation", required=True)
        parser.add_argument("--service", required=True)
        parser.add_argument(
            "--key",
            help="the same key always means the same job (default: a new one)",
        )
        parser.add_argument(
            "--class",
            dest="job_class",
            choices=[str(item) for item in JobClass],
            default=str(JobClass.STANDARD),
        )
        parser.add_argument("--accelerators", type=int, default=1)
        payload = parser.add_mutually_exclusive_group()
        payload.add_argument("--payload", default="", help="input for the service")
        payload.add_argument("--payload-file", help="file with the input")
        parser.add_argument("--not-idempotent", action="store_true")
        parser.add_argument("--checkpointable", action="store_true")
        parser.add_argument("--guaranteed", action="store_true")
        parser.add_argument(
            "--deadline-unix-s", type=float, help="the answer is of no use afterwards"
        )
        parser.add_argument("--expected-run-s", type=float, default=60.0)
        parser.add_argument("--cores", type=int, default=1, help="for each member")
        parser.add_argument(
            "--memory-bytes", type=int, default=10**9, help="for each member"
        )
        parser.add_argument(
            "--wait-s", type=float, default=0.0, help="seconds to wait for the answer"
        )
        parser.add_argument("--json", action="store_true", help="print the reply")

    def prepare(self, arguments: argparse.Namespace) -> Result[_Submission, Failure]:
        """Read the payload and validate the job."""
        if not 0 <= arguments.wait_s <= 86_400:
            return ResultFailure(
                InvalidArgument(
                    field="--wait-s",
                    value=str(arguments.wait_s),
                    expected="a number of seconds from 0 to 86400",
                )
            )
        return (
            _read_payload(arguments)
            .bind(lambda payload: check_job(_make_job(arguments, payload)))
            .map(lambda job: _Submission(job, arguments.wait_s, arguments.json))
        )

    async def execute(
        self, client: EntryClient, prepared: _Submission
    ) -> Result[str, Failure]:
        """Submit the job, then poll any entry for its answer."""
        job = prepared.job
        wait_until_s = time.monotonic() + prepared.wait_s
        outcome = await client.ask(
            EntryRequest(
                "POST",
                "/v1/jobs",
                JobReply,
                encode_json(SubmitRequest(job)),
                lambda reply: find_mismatch(reply, job.key),
                retry_body=encode_json(SubmitRequest(job, retry=True)),
            )
        )
        while is_successful(outcome) and not outcome.unwrap().state.is_final:
            remaining_s = wait_until_s - time.monotonic()
            if remaining_s <= 0:
                break
            outcome = await _poll(
                client, outcome.unwrap(), min(remaining_s, MAX_POLL_S)
            )
        return outcome.bind(lambda reply: _evaluate_reply(reply, prepared))


def _read_payload(arguments: argparse.Namespace) -> Result[str, Failure]:
    if arguments.payload_file is None:
        return Success(arguments.payload)
    path = pathlib.Path(arguments.payload_file)
    try:
        return Success(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return ResultFailure(
            InvalidArgument(
                field="--payload-file",
                value=arguments.payload_file,
                expected=f"a readable UTF-8 file ({error})",
            )
        )


def _make_job(arguments: argparse.Namespace, payload: str) -> JobRequest:
    key = uuid.uuid4().hex if arguments.key is None else arguments.key
    return JobRequest(
        organisation=arguments.organisation,
        service=arguments.service,
        key=key,
        job_class=JobClass(arguments.job_class),
        accelerators=arguments.accelerators,
        payload=payload,
        idempotent=not arguments.not_idempotent,
        checkpointable=arguments.checkpointable,
        guaranteed=arguments.guaranteed,
        deadline_unix_s=arguments.deadline_unix_s,
        expected_run_s=arguments.expected_run_s,
        cores=arguments.cores,
        memory_bytes=arguments.memory_bytes,
    )


async def _poll(
    client: EntryClient, last: JobReply, hold_s: float
) -> Result[JobReply, Failure]:
    hold_ms = max(1, round(hold_s * 1000))
    return await client.ask(
        EntryRequest(
            "GET",
            _make_path(last.job_id, f"/answer?wait_ms={hold_ms}"),
            JobReply,
            find_mismatch=lambda reply: (
                _compare_ids(reply.job_id, last.job_id)
                or find_mismatch(reply, last.key)
            ),
            extra_timeout_s=hold_s,
        )
    )


def _evaluate_reply(reply: JobReply, submission: _Submission) -> Result[str, Failure]:
    if reply.state.is_final and reply.state is not JobState.ANSWERED:
        return ResultFailure(
            EndedWithoutAnswer(
                job_id=reply.job_id, state=str(reply.state), error=reply.error
            )
        )
    if submission.wait_s > 0 and not reply.state.is_final:
        return ResultFailure(
            AnswerNotReady(job_id=reply.job_id, state=str(reply.state))
        )
    return Success(_render_reply(reply, submission.as_json))


def _render_cancel(reply: JobReply, as_json: bool) -> str:
    if as_json or reply.state.is_final:
        return _render_reply(reply, as_json)
    return f"job {reply.job_id} will be cancelled once all members are stopped"


class JobCommand(ClientCommand):
    """A command for the job given as its argument."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the job id."""
        super().add_arguments(parser)
        parser.add_argument("job", metavar="JOB", help="job id")

    def prepare(
        self, arguments: argparse.Namespace
    ) -> Result[argparse.Namespace, Failure]:
        """Validate the job id."""
        if arguments.job and arguments.job.isascii() and arguments.job.isprintable():
            return Success(arguments)
        return ResultFailure(
            InvalidArgument(field="JOB", value=arguments.job, expected="a job id")
        )


class CancelCommand(JobCommand):
    """`tanagerpath cancel`."""

    name = "cancel"
    summary = "cancel a job"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the job id and the output format."""
        super().add_arguments(parser)
        parser.add_argument("--json", action="store_true", help="print the reply")

    async def execute(
        self, client: EntryClient, prepared: argparse.Namespace
    ) -> Result[str, Failure]:
        """Cancel the job."""
        request = EntryRequest(
            "DELETE",
            _make_path(prepared.job),
            JobReply,
            find_mismatch=lambda reply: _compare_ids(reply.job_id, prepared.job),
        )
        outcome = await client.ask(request)
        return outcome.map(lambda reply: _render_cancel(reply, prepared.json))


class ExplainCommand(JobCommand):
    """`tanagerpath explain`."""

    name = "explain"
    summary = "say why a job waits, where it runs or how it ended"

    async def execute(
        self, client: EntryClient, prepared: argparse.Namespace
    ) -> Result[str, Failure]:
        """Request the explanation."""
        request = EntryRequest(
            "GET",
            _make_path(prepared.job, "/explanation"),
            ExplainReply,
            find_mismatch=lambda reply: _compare_ids(reply.job_id, prepared.job),
        )
        outcome = await client.ask(request)
        return outcome.map(lambda reply: reply.explanation)
