"""Counts partial gangs and doubled runs from the journals of stand-in upstreams.

The definitions stand in the module `tanagerpath.emulator.upstream`.
"""

import collections
from collections.abc import Iterable, Mapping

import attrs

from tanagerpath.core.model import AttemptId
from tanagerpath.emulator.journal import JournalLine

__all__ = ["Evidence", "audit_journals"]

# Lease (6 s) plus clock margin (0.5 s) of the design page: after this, no rank may go
# on once another one has ended without being finished.
LEASE_AND_MARGIN_S = 6.5
# Journals carry the time of writing; a busy machine writes the last line late.
WRITE_DELAY_S = 0.5


@attrs.frozen
class Evidence:
    """What the journals show.

    Attributes
    ----------
    partial_gangs : tuple of str
        "job attempt" of each partial gang.
    doubled_runs : tuple of str
        Ids of non-idempotent jobs that ran more than once.
    started_at_unix_s : mapping of str to float
        First start of each payload, by the digest of the payload.
    """

    partial_gangs: tuple[str, ...]
    doubled_runs: tuple[str, ...]
    started_at_unix_s: Mapping[str, float]


@attrs.define
class _Run:
    upstream_id: str
    started_s: float
    ended_s: float
    event: str = "running"

    @property
    def ended_early(self) -> bool:
        return self.event not in ("running", "finished")


@attrs.define
class _Attempt:
    job_id: str
    attempt: AttemptId
    gang_size: int = 0
    payload_sha256: str = ""
    runs: dict[int, _Run] = attrs.field(factory=dict)
    repeated_start: bool = False

    def note(self, line: JournalLine, until_unix_s: float) -> None:
        self.gang_size = max(self.gang_size, line.gang_size)
        self.payload_sha256 = line.payload_sha256 or self.payload_sha256
        if line.event == "started":
            self.repeated_start |= line.rank in self.runs
            run = _Run(line.upstream_id, line.unix_s, until_unix_s)
            self.runs[line.rank] = run
        elif line.rank in self.runs:
            self.runs[line.rank].ended_s = line.unix_s
            self.runs[line.rank].event = line.event

    def note_kill(self, line: JournalLine) -> None:
        for run in self.runs.values():
            if run.upstream_id == line.upstream_id and run.event == "running":
                run.ended_s = line.unix_s
                run.event = line.event

    @property
    def partial(self) -> bool:
        bound_s = LEASE_AND_MARGIN_S + WRITE_DELAY_S
        runs = self.runs.values()
        if 0 < len(runs) < self.gang_size:
            finished = any(run.event == "finished" for run in runs)
            return finished or any(
                run.ended_s - run.started_s > bound_s for run in runs
            )
        early = [run.ended_s for run in runs if run.ended_early]
        return bool(early) and max(r.ended_s for r in runs) > min(early) + bound_s


def audit_journals(
    lines: Iterable[JournalLine], non_idempotent: set[str], until_unix_s: float
) -> Evidence:
    """Count what must never happen.

    Parameters
    ----------
    lines : iterable of JournalLine
        All journals in the order of time.
    non_idempotent : set of str
        Digests of the payloads of non-idempotent jobs.
    until_unix_s : float
        Instant in UTC seconds of the audit; what has no end ran until then.

    Returns
    -------
    Evidence
        Partial gangs and doubled runs by name.
    """
    attempts: dict[tuple[str, AttemptId], _Attempt] = {}
    started: dict[str, float] = {}
    for line in lines:
        if line.event == "killed":
            for attempt in attempts.values():
                attempt.note_kill(line)
            continue
        place = (line.job_id, line.attempt)
        attempt = attempts.setdefault(place, _Attempt(line.job_id, line.attempt))
        attempt.note(line, until_unix_s)
        if line.event == "started":
            started.setdefault(line.payload_sha256, line.unix_s)
    partial = tuple(
        f"{a.job_id} {a.attempt.term}.{a.attempt.counter}"
        for a in attempts.values()
        if a.partial
    )
    doubled = _find_doubled(attempts.values(), non_idempotent)
    return Evidence(partial, doubled, started)


def _find_doubled(
    attempts: Iterable[_Attempt], non_idempotent: set[str]
) -> tuple[str, ...]:
    runs: collections.Counter[str] = collections.Counter()
    for attempt in attempts:
        if attempt.runs and attempt.payload_sha256 in non_idempotent:
            runs[attempt.job_id] += 2 if attempt.repeated_start else 1
    return tuple(job_id for job_id, count in runs.items() if count > 1)
