"""Guards the invariants of the replicated state, whoever proposes commands."""

import testtools
from returns.pipeline import is_successful

from tanagerpath.codecs.state import JsonStateCodec
from tanagerpath.core.model import (
    AcceleratorRun,
    Assignment,
    AttemptId,
    JobRequest,
    JobState,
    OrganisationTerms,
    ServiceDocument,
)
from tanagerpath.core.state import (
    AcceptJob,
    ApplyDocument,
    EndAttempt,
    ExpireJobs,
    FinishJob,
    RecordCheckpoint,
    RecordStart,
    RecordStartRefuted,
    RequestCancel,
    SystemState,
    make_job_id,
)

JOB = make_job_id("org", "sort", "key-1")
CODEC = JsonStateCodec()
ASSIGNMENT = Assignment((AcceleratorRun("u1", 0, 1),))
FIRST, SECOND = AttemptId(1, 1), AttemptId(1, 2)


def make_document(revision=1, owner="team", **changes):
    return ServiceDocument(
        "sort", revision, owner, (OrganisationTerms("org", 8),), **changes
    )


def apply_all(*commands):
    state = SystemState()
    results = [state.apply(i, command) for i, command in enumerate(commands, 1)]
    return state, results


def accept(idempotent=True, payload=""):
    request = JobRequest("org", "sort", "key-1", idempotent=idempotent, payload=payload)
    return AcceptJob(JOB, request, 100.0)


def finish(attempt, state=JobState.ANSWERED):
    return FinishJob(JOB, attempt, state, 900.0, answer="a", answer_sha256="d")


START = RecordStart(JOB, FIRST, ASSIGNMENT)


class TestDocuments(testtools.TestCase):
    CASES = [
        # name, documents in order, type of the failure of the last one or None
        ("first", [make_document(1)], None),
        ("first revision is not 1", [make_document(2)], "RevisionConflict"),
        ("next", [make_document(1), make_document(2)], None),
        ("gap", [make_document(1), make_document(3)], "RevisionConflict"),
        ("same change again", [make_document(1), make_document(1)], None),
        (
            "equal revision, other content",
            [make_document(1), make_document(1, owner="other")],
            "RevisionConflict",
        ),
        (
            "older change again",
            [make_document(1), make_document(2), make_document(1)],
            "RevisionConflict",
        ),
    ]

    def test_compare_and_set(self):
        for name, documents, refused in self.CASES:
            _, results = apply_all(*map(ApplyDocument, documents))
            got = results[-1]
            outcome = None if is_successful(got) else got.failure().type_name
            self.assertEqual(refused, outcome, name)

    def test_conflict_names_the_current_revision(self):
        _, results = apply_all(
            ApplyDocument(make_document(1)),
            ApplyDocument(make_document(2)),
            ApplyDocument(make_document(2, owner="other")),
        )
        self.assertEqual(2, results[-1].failure().current_revision)

    def test_resend_gets_the_same_answer(self):
        change = ApplyDocument(make_document(1))
        _, results = apply_all(change, accept(), change)
        self.assertEqual(results[0], results[2])


class TestJobs(testtools.TestCase):
    """Checks whether the last command of each case has an effect."""

    DOCUMENT = ApplyDocument(make_document(1))
    CASES = [
        ("second start of the same attempt", [START, START], "AttemptSuperseded"),
        (
            "non-idempotent job that may have run starts again",
            [
                START,
                EndAttempt(JOB, FIRST, True),
                RecordStart(JOB, SECOND, ASSIGNMENT),
            ],
            "NonIdempotentRerun",
        ),
        (
            "non-idempotent job that certainly did not run starts again",
            [
                START,
                RecordStartRefuted(JOB, FIRST),
                RecordStart(JOB, SECOND, ASSIGNMENT),
            ],
            None,
        ),
        (
            "refuted attempt is recorded again by an old leader",
            [START, RecordStartRefuted(JOB, FIRST), START],
            "AttemptSuperseded",
        ),
        ("answer of the current attempt", [START, finish(FIRST)], None),
        ("answer of another attempt", [START, finish(SECOND)], "AttemptSuperseded"),
        ("second answer", [START, finish(FIRST), finish(FIRST)], "JobAlreadyFinal"),
        (
            "answer after the attempt was refuted",
            [START, RecordStartRefuted(JOB, FIRST), finish(FIRST)],
            "AttemptSuperseded",
        ),
        (
            "start after a cancel",
            [RequestCancel((JOB,), 900.0), START],
            "JobAlreadyFinal",
        ),
    ]

    def test_effects(self):
        for name, commands, refused in self.CASES:
            _, results = apply_all(self.DOCUMENT, accept(idempotent=False), *commands)
            got = results[-1]
            outcome = None if is_successful(got) else got.failure().type_name
            self.assertEqual(refused, outcome, name)

    def test_refuted_attempt_after_a_preempted_one_leaves_the_job_possibly_run(self):
        state, _ = apply_all(
            self.DOCUMENT,
            accept(),
            START,
            EndAttempt(JOB, FIRST, counts=False),
            RecordStart(JOB, SECOND, ASSIGNMENT),
            RecordStartRefuted(JOB, SECOND),
            RequestCancel((JOB,), 900.0),
        )
        self.assertEqual(JobState.CANCELLED, state.jobs[JOB].state)
        self.assertFalse(state.jobs[JOB].error.not_run)

    def test_job_cancelled_before_any_start_is_not_run(self):
        state, _ = apply_all(self.DOCUMENT, accept(), RequestCancel((JOB,), 900.0))
        self.assertTrue(state.jobs[JOB].error.not_run)

    def test_cancel_after_a_start_only_marks_the_job(self):
        state, _ = apply_all(
            self.DOCUMENT, accept(), START, RequestCancel((JOB,), 900.0)
        )
        self.assertEqual(JobState.START_RECORDED, state.jobs[JOB].state)
        self.assertTrue(state.jobs[JOB].cancel_requested)

    def test_same_key_finds_the_same_job_and_other_content_is_refused(self):
        _, results = apply_all(
            self.DOCUMENT, accept(), accept(), accept(payload="other")
        )
        self.assertEqual(results[1], results[2])
        self.assertEqual("KeyConflict", results[3].failure().type_name)

    def test_queue_bound_counts_waiting_jobs_only(self):
        document = ApplyDocument(make_document(1, max_queued_jobs=1))
        other = AcceptJob("other", JobRequest("org", "sort", "key-2"), 1.0)
        _, results = apply_all(document, accept(), other, START, other)
        outcomes = [is_successful(result) for result in results]
        self.assertEqual([True, True, False, True, True], outcomes)

    def test_checkpoints_are_kept_for_the_next_attempt(self):
        state, _ = apply_all(
            self.DOCUMENT, accept(), START, RecordCheckpoint(JOB, FIRST, ("c1",))
        )
        self.assertEqual(("c1",), state.jobs[JOB].checkpoints)
        self.assertEqual(0, state.jobs[JOB].counted_attempts)

    def test_ended_jobs_expire(self):
        state, _ = apply_all(
            self.DOCUMENT, accept(), START, finish(FIRST), ExpireJobs(900.0)
        )
        self.assertEqual({}, dict(state.jobs))


class TestFeedAndSnapshot(testtools.TestCase):
    COMMANDS = (ApplyDocument(make_document(1)), accept(), START, finish(FIRST))

    def test_feed_lists_only_what_changed(self):
        state, _ = apply_all(*self.COMMANDS)
        new = state.collect_changes(0)
        self.assertTrue(new.complete)
        self.assertEqual(1, len(new.documents))
        later = state.collect_changes(2)
        self.assertEqual((), later.documents)
        self.assertEqual([JOB], [change.job_id for change in later.jobs])
        self.assertFalse(state.has_changes_after(4))

    def test_document_changes_are_seen_by_held_polls(self):
        # Guards against an entry that never gets a document after a leader change.
        other = ServiceDocument("weigh", 1, "team")
        state, _ = apply_all(ApplyDocument(other), ApplyDocument(make_document()))
        text = CODEC.encode_snapshot(state.make_snapshot())
        restored = SystemState.from_snapshot(CODEC.decode_snapshot(text))
        for held in (state, restored):
            self.assertTrue(held.has_changes_after(1))
            self.assertFalse(held.has_changes_after(2))
            held.apply(3, ApplyDocument(make_document(revision=2)))
            self.assertTrue(held.has_changes_after(2))

    def test_snapshot_restores_the_complete_state(self):
        state, _ = apply_all(*self.COMMANDS)
        text = CODEC.encode_snapshot(state.make_snapshot())
        restored = SystemState.from_snapshot(CODEC.decode_snapshot(text))
        self.assertEqual(state.make_snapshot(), restored.make_snapshot())
        self.assertTrue(restored.collect_changes(2).complete)

    def test_commands_are_unchanged_by_encoding_and_decoding(self):
        for command in self.COMMANDS:
            text = CODEC.encode_command(command)
            self.assertEqual(command, CODEC.decode_command(text))
