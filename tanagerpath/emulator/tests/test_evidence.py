"""Guards against partial gangs and doubled runs that the count passes over."""

import testtools

from tanagerpath.core.model import AttemptId
from tanagerpath.emulator.evidence import audit_journals
from tanagerpath.emulator.journal import JournalLine


def line(at_s, event, rank=0, attempt=1, job="j", size=2, upstream=None):
    return JournalLine(
        unix_s=at_s,
        upstream_id=upstream or f"u{rank}",
        event=event,
        job_id=job,
        attempt=AttemptId(1, attempt),
        rank=rank,
        gang_size=size,
        payload_sha256=f"digest of {job}",
    )


BOTH = [line(0, "started", 0), line(0, "started", 1)]
ONCE = [line(0, "started", size=1), line(1, "failed", size=1)]
AGAIN = [line(2, "started", attempt=2, size=1)]


class TestAudit(testtools.TestCase):
    """Each case: name, lines, partial gangs, doubled runs of a non-idempotent job."""

    CASES = [
        ("whole", [*BOTH, line(1, "finished", 0), line(1, "finished", 1)], 0, 0),
        ("one never started", [line(0, "started"), line(1, "finished")], 1, 0),
        ("stopped in time", [line(0, "started"), line(6, "stopped")], 0, 0),
        ("ran on alone", [line(0, "started"), line(9, "stopped")], 1, 0),
        ("still runs alone", [line(0, "started")], 1, 0),
        (
            "stopped with the failed one",
            [*BOTH, line(1, "failed", 0), line(7, "stopped", 1)],
            0,
            0,
        ),
        (
            "outlives the failed one",
            [*BOTH, line(1, "failed", 0), line(9, "finished", 1)],
            1,
            0,
        ),
        (
            "outlives a killed upstream",
            [*BOTH, line(1, "killed", job="", upstream="u0")],
            1,
            0,
        ),
        (
            "ends late after a finished one",
            [*BOTH, line(1, "finished", 0), line(19, "finished", 1)],
            0,
            0,
        ),
        ("second attempt", ONCE + AGAIN, 0, 1),
        ("same rank twice", [*ONCE, line(3, "started", size=1)], 0, 1),
        (
            "first attempt never started",
            [line(0, "failed_to_start", size=1), *AGAIN],
            0,
            0,
        ),
    ]

    def test_counts(self):
        for name, lines, partial, doubled in self.CASES:
            evidence = audit_journals(lines, {"digest of j"}, until_unix_s=20)
            counts = len(evidence.partial_gangs), len(evidence.doubled_runs)
            self.assertEqual((partial, doubled), counts, name)

    def test_an_idempotent_job_may_run_again(self):
        evidence = audit_journals(ONCE + AGAIN, set(), until_unix_s=20)
        self.assertEqual((), evidence.doubled_runs)
