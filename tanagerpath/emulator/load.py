"""Load tool: submits jobs to entries over HTTP and counts what becomes of them.

Jobs fall due at a fixed rate, whether or not earlier ones have ended, so that a slow
system does not hide its delays. As behind a balancer, each job goes to an entry whose
readiness probe passed. A caller whose exchange was lost sends the job again
with the same key through another entry. It counts as

- lost: accepted or uncertain, and without a last word by the end, or forgotten (status
  404) after it was accepted;
- refused as not run: the job's state says so, or every exchange was refused with
  `not_run` and none was uncertain;
- wrong: answered with an answer that is cut or belongs to another job;
- doubled: two exchanges gave the answers of two different attempts.
"""

import argparse
import json
import pathlib
import sys
import time
import uuid
from collections.abc import Sequence

import anyio
import attrs

from tanagerpath.codecs import encode_value
from tanagerpath.core.model import JobClass, JobRequest, JobState
from tanagerpath.core.protocol.callers import JobReply
from tanagerpath.emulator.caller import CallerClient, Outcome, ReadinessWatch
from tanagerpath.emulator.evidence import audit_journals
from tanagerpath.emulator.journal import read_journals
from tanagerpath.emulator.load_plan import (
    DEFAULT_MIX,
    JobKind,
    JobOutcome,
    LoadReport,
    Tally,
    Verdict,
    plan_jobs,
)
from tanagerpath.emulator.scripts import digest_text, verify_answer
from tanagerpath.runtime import Mailbox, Task

__all__ = ["LoadOptions", "LoadTask", "judge_load", "main"]

WAIT_S = 2.0
RETRY_INTERVAL_S = 0.1
RECHECK_EACH = 5
_VERDICTS = {
    JobState.REFUSED_NOT_RUN: Verdict.REFUSED_NOT_RUN,
    JobState.FAILED: Verdict.FAILED,
    JobState.UNKNOWN: Verdict.UNKNOWN,
    JobState.CANCELLED: Verdict.CANCELLED,
}


@attrs.frozen
class LoadOptions:
    """Bounds of a load.

    Attributes
    ----------
    entries : tuple of str
        "ip:port" of each entry.
    service : str
        Service of all jobs.
    organisations : tuple of str
        Organisations, chosen at random.
    jobs : int
        Number of jobs.
    rate_per_s : float
        Jobs that fall due each second.
    workers : int
        Jobs in flight at the same time.
    job_limit_s : float
        Seconds that a caller waits for the last word on its job.
    seed : int
        Seed of the mix.
    mix : tuple of JobKind
        Kinds of jobs.
    """

    entries: tuple[str, ...]
    service: str = "demo"
    organisations: tuple[str, ...] = ("red", "blue")
    jobs: int = 200
    rate_per_s: float = 50.0
    workers: int = 48
    job_limit_s: float = 20.0
    seed: int = 1
    mix: tuple[JobKind, ...] = DEFAULT_MIX


@attrs.frozen
class _DueJob:
    kind: JobKind
    job: JobRequest
    due_s: float
    entry: int
    rechecked: bool


@attrs.define
class _Progress:
    """What one caller knows about its job."""

    job_id: str = ""
    uncertain: bool = False
    resent: bool = False
    cut: bool = False
    detail: str = ""

    @property
    def unended_verdict(self) -> Verdict:
        unsure = self.job_id or self.uncertain
        return Verdict.LOST if unsure else Verdict.REFUSED_NOT_RUN


class _Worker(Task):
    """One caller at a time: takes due jobs and brings each to its last word."""

    def __init__(self, options: LoadOptions, due: Mailbox, done: Mailbox) -> None:
        self._options = options
        self._due = due
        self._done = done
        self._client = CallerClient(options.entries)

    async def run(self) -> None:
        try:
            while (due := await self._due.receive()) is not None:
                self._done.post(await self._carry(due))
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close()

    async def _carry(self, due: _DueJob) -> JobOutcome:
        progress = _Progress()
        self._client.use(due.entry)
        limit_s = due.due_s + self._options.job_limit_s
        reply = None
        while reply is None and anyio.current_time() < limit_s:
            outcome = await self._ask(due.job, progress)
            reply = await self._weigh(outcome, progress)
            if progress.job_id and outcome.status == 404:
                break
        latency_ms = (anyio.current_time() - due.due_s) * 1000
        verdict = progress.unended_verdict if reply is None else _judge(due.job, reply)
        doubled = verdict is Verdict.ANSWERED and await self._recheck(due, reply)
        return JobOutcome(
            kind=due.kind,
            job=due.job,
            verdict=verdict,
            latency_ms=latency_ms,
            doubled=doubled,
            resent=progress.resent,
            cut=progress.cut,
            detail="" if verdict is Verdict.ANSWERED else progress.detail,
        )

    async def _ask(self, job: JobRequest, progress: _Progress) -> Outcome:
        if progress.job_id and not progress.uncertain:
            return await self._client.poll(progress.job_id, WAIT_S)
        return await self._client.submit(job, WAIT_S, retry=progress.uncertain)

    async def _weigh(self, outcome: Outcome, progress: _Progress) -> JobReply | None:
        """Return the last word on the job, or None if it must be asked for again."""
        if isinstance(outcome.value, JobReply):
            progress.job_id = outcome.value.job_id
            progress.uncertain = False
            if outcome.value.state.is_final:
                if outcome.value.error is not None:
                    progress.detail = outcome.value.error.type
                return outcome.value
            return None
        await self._note_refusal(outcome, progress)
        return None

    async def _note_refusal(self, outcome: Outcome, progress: _Progress) -> None:
        error = outcome.error
        if error is not None:
            progress.detail = error.type
            progress.uncertain |= not error.not_run
        elif outcome.sent:
            progress.detail = f"no reply (status {outcome.status})"
            progress.uncertain = True
            progress.resent = True
            progress.cut |= outcome.cut
        self._client.move_on()
        wait_s = RETRY_INTERVAL_S
        if error is not None and error.retry_at_unix_s is not None:
            wait_s = min(1.0, max(wait_s, error.retry_at_unix_s - time.time()))
        await anyio.sleep(wait_s)

    async def _recheck(self, due: _DueJob, first: JobReply) -> bool:
        """Submit some ended jobs again; True if another attempt's answer comes back."""
        if not due.rechecked:
            return False
        self._client.move_on()
        again = (await self._client.submit(due.job, WAIT_S, retry=True)).value
        if not isinstance(again, JobReply) or again.answer is None:
            return False
        return again.answer != first.answer


def _judge(job: JobRequest, reply: JobReply) -> Verdict:
    if reply.state in _VERDICTS:
        return _VERDICTS[reply.state]
    answer = reply.answer or ""
    whole = (
        reply.key == job.key
        and reply.answer_length == len(answer.encode())
        and reply.answer_sha256 == digest_text(answer)
        and verify_answer(answer, reply.job_id, job.payload)
    )
    return Verdict.ANSWERED if whole else Verdict.WRONG


class LoadTask(Task):
    """Submits the jobs of a load and counts their outcomes.

    Parameters
    ----------
    options : LoadOptions
        Bounds of the load.
    """

    def __init__(self, options: LoadOptions) -> None:
        self.tally = Tally()
        self._options = options
        self._due: Mailbox = Mailbox("due jobs")
        self._done: Mailbox = Mailbox("outcomes")
        self._ready: Mailbox = Mailbox("ready entries")

    async def run(self) -> None:
        """Run until each job has its last word or was given up."""
        async with anyio.create_task_group() as workers:
            for _ in range(self._options.workers):
                worker = _Worker(self._options, self._due, self._done)
                workers.start_soon(worker.run)
            workers.start_soon(ReadinessWatch(self._options.entries, self._ready).run)
            workers.start_soon(self._feed)
            for _ in range(self._options.jobs):
                self.tally.add(await self._done.receive())
            workers.cancel_scope.cancel()

    async def _feed(self) -> None:
        options = self._options
        prefix = uuid.uuid4().hex[:12]
        jobs = plan_jobs(
            options.mix, options.organisations, options.service, prefix, options.seed
        )
        start_s = anyio.current_time()
        ready = tuple(range(len(options.entries)))
        for number in range(options.jobs):
            due_s = start_s + number / options.rate_per_s
            await anyio.sleep_until(due_s)
            for seen in self._ready.take_waiting():
                ready = seen or ready
            kind, job = next(jobs)
            entry = ready[number % len(ready)]
            rechecked = number % RECHECK_EACH == 0
            self._due.post(_DueJob(kind, job, due_s, entry, rechecked))


def judge_load(
    tallies: Sequence[Tally],
    journals: pathlib.Path | None,
    leading_class: JobClass = JobClass.URGENT,
) -> LoadReport:
    """Join the counts of loads with the journals of a folder."""
    total = Tally()
    for tally in tallies:
        for outcome in tally.outcomes:
            total.add(outcome)
    lines = read_journals(journals) if journals is not None else []
    evidence = audit_journals(lines, total.non_idempotent, time.time())
    return total.report(evidence, leading_class)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m tanagerpath.emulator.load",
        description="Submit jobs to entries and count what becomes of them.",
    )
    add = parser.add_argument
    add("--entries", required=True, help="comma-separated ip:port")
    add("--service", default="demo")
    add("--organisations", default="red,blue", help="comma-separated names")
    add("--jobs", type=int, default=200)
    add("--rate-per-s", type=float, default=50.0)
    add("--workers", type=int, default=48)
    add("--job-limit-s", type=float, default=20.0)
    add("--seed", type=int, default=1)
    add("--kinds", default="check,gang,batch,once", help="kinds of jobs in the mix")
    add("--journals", type=pathlib.Path, help="folder of the upstreams' journals")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run a load and print the report as one JSON line."""
    flags = make_parser().parse_args(arguments)
    kinds = flags.kinds.split(",")
    options = LoadOptions(
        entries=tuple(flags.entries.split(",")),
        service=flags.service,
        organisations=tuple(flags.organisations.split(",")),
        jobs=flags.jobs,
        rate_per_s=flags.rate_per_s,
        workers=flags.workers,
        job_limit_s=flags.job_limit_s,
        seed=flags.seed,
        mix=tuple(kind for kind in DEFAULT_MIX if kind.name in kinds),
    )
    load = LoadTask(options)
    anyio.run(load.run)
    report = judge_load([load.tally], flags.journals)
    print(json.dumps(encode_value(report)))
    return 0 if report.sound else 1


if __name__ == "__main__":
    sys.exit(main())
