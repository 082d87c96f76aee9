"""Guards against unclear errors, wrong exit statuses and duplicate or mixed-up jobs."""

import contextlib
import hashlib
import io
import json
import pathlib
import tempfile

import testtools

from tanagerpath.cli import main
from tanagerpath.cli.documents import read_document
from tanagerpath.cli.tests.fakes import FakeEntry
from tanagerpath.codecs import decode_json, encode_json
from tanagerpath.core.model import JobState
from tanagerpath.core.protocol.callers import (
    DocumentReply,
    DocumentRequest,
    ErrorBody,
    ErrorReply,
    JobReply,
    SubmitRequest,
)
from tanagerpath.core.protocol.internal import (
    ExplainReply,
    OrganisationStatus,
    StatusReply,
    UpstreamStatus,
)

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
SUBMIT = ["submit", "--organisation", "depot", "--service", "sort", "--key", "k1"]
COMMANDS = ["entry", "control", "apply", "submit", "status", "cancel", "explain"]
CLOSED = "127.0.0.1:1"


def run(*argv, entries=(CLOSED,)):
    output, errors = io.StringIO(), io.StringIO()
    environment = {
        "TANAGERPATH_ENTRIES": ",".join(entries),
        "TANAGERPATH_CLIENT_TIMEOUT_S": "1.0",
        "TANAGERPATH_CLIENT_PAUSE_S": "0",
    }
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        try:
            status = main([str(item) for item in argv], environment)
        except SystemExit as ended:
            status = ended.code
    return status, output.getvalue(), errors.getvalue()


def make_reply(state=JobState.ACCEPTED, answer=None, **changes):
    digest = "" if answer is None else hashlib.sha256(answer.encode()).hexdigest()
    length = 0 if answer is None else len(answer.encode())
    fields = {"job_id": "j1", "key": "k1", "state": state, "answer": answer}
    fields |= {"answer_length": length, "answer_sha256": digest}
    return 200, encode_json(JobReply(**(fields | changes)))


def make_refusal(status, name="KeyConflict", not_run=True):
    body = ErrorBody(type=name, message="the reason", not_run=not_run)
    return status, encode_json(ErrorReply(body))


class TestWrongInput(testtools.TestCase):
    CASES = [
        # arguments, texts that the error line must contain
        (["submit"], ["--organisation"]),
        ([*SUBMIT, "--accelerators", "0"], ["accelerators", "0", "1 to 1024"]),
        ([*SUBMIT, "--accelerators", "two"], ["--accelerators", "two"]),
        ([*SUBMIT, "--class", "now"], ["now", "urgent"]),
        ([*SUBMIT, "--expected-run-s", "nan"], ["expected_run_s", "nan"]),
        ([*SUBMIT, "--wait-s", "-1"], ["--wait-s", "-1"]),
        ([*SUBMIT, "--payload-file", "/nonexistent"], ["--payload-file"]),
        ([*SUBMIT, "--key", "k" * 129], ["key", "1 to 128"]),
        (["status", "--entries", "here"], ["entries", "here", "ip:port"]),
        (["status", "--client-timeout-s", "0"], ["client_timeout_s", "0", "0.1"]),
        (["explain", ""], ["JOB"]),
        (["apply", "/nonexistent"], ["/nonexistent", "readable"]),
        (["entry", "--no-such"], ["--no-such"]),
        (["control", "--vm-id", "c 1"], ["availability_zone"]),
        (["start"], ["start"]),
    ]

    def test_one_line_names_the_fault_and_nothing_is_sent(self):
        for argv, texts in self.CASES:
            status, output, errors = run(*argv)
            self.assertEqual((2, "", 1), (status, output, errors.count("\n")), argv)
            for text in texts:
                self.assertIn(text, errors)

    def test_invalid_document_is_rejected_before_any_exchange(self):
        good = (EXAMPLES / "skinback.toml").read_text(encoding="utf-8")
        cases = [
            ("revision = 1", "revision = 0", "revision"),
            ("revision = 1", 'revision = "1"', "revision"),
            ("max_attempts = 4", "max_atempts = 4", "max_atempts"),
            ("revision = 1", "revison = 1", "missing"),
            ("revision = 1", "revision = ", "TOML"),
            ('name = "planning"', 'name = "couriers"', "organisations[3].name"),
            ("quota_accelerators = 60", "quota_accelerators = -1", "[3].quota"),
            ("{ accelerators = 16,", "{ accelerators = 12,", "guarantees[0]"),
            ("accelerators = 16, count = 2", "accelerators = 16, count = 9", "120"),
        ]
        with tempfile.TemporaryDirectory() as folder, FakeEntry([]) as entry:
            path = pathlib.Path(folder, "document.toml")
            for old, new, text in cases:
                path.write_text(good.replace(old, new, 1), encoding="utf-8")
                status, output, errors = run("apply", path, entries=[entry.address])
                self.assertEqual((2, "", 1), (status, output, errors.count("\n")), new)
                self.assertIn(text, errors)
            self.assertEqual([], entry.requests)

    def test_every_command_has_help(self):
        for name in COMMANDS:
            status, output, _ = run(name, "--help")
            self.assertEqual(0, status, name)
            self.assertIn(f"tanagerpath {name}", output)


class TestServers(testtools.TestCase):
    def test_process_that_cannot_start_names_the_setting(self):
        with FakeEntry([]) as taken, tempfile.TemporaryDirectory() as folder:
            # Not even root can create a directory below a file.
            blocked = pathlib.Path(folder, "file", "data")
            blocked.parent.touch()
            for name, listen, data_dir, setting, value in [
                ("entry", taken.address, folder, "listen", taken.address),
                ("control", taken.address, folder, "listen", taken.address),
                ("control", "127.0.0.1:0", blocked, "data_dir", str(blocked)),
            ]:
                argv = [name, "--vm-id=c1", "--availability-zone=a"]
                argv += [f"--listen={listen}", "--control-addresses=c1=127.0.0.1:1"]
                if name == "control":
                    argv.append(f"--data-dir={data_dir}")
                status, output, errors = run(*argv)
                case = (name, setting)
                self.assertEqual((2, "", 1), (status, output, errors.count("\n")), case)
                self.assertIn(f"setting {setting}: got {value!r}", errors)


class TestSubmit(testtools.TestCase):
    def test_failed_exchange_is_retried_with_the_same_key_on_the_next_entry(self):
        short = make_reply(JobState.ANSWERED, "half", answer_length=8)
        for lost in (
            "cut",
            "silent",
            (200, '{"job_id":"j1","ke'),
            make_reply(key="other"),
            short,
            make_refusal(503, "EntryStale"),
        ):
            with FakeEntry([lost]) as first, FakeEntry([make_reply()]) as second:
                entries = [CLOSED, first.address, second.address]
                status, output, errors = run(*SUBMIT, entries=entries)
            self.assertEqual((0, "job j1 accepted\n"), (status, output), errors)
            bodies = [entry.requests[0][2] for entry in (first, second)]
            sent = [decode_json(body, SubmitRequest).unwrap() for body in bodies]
            self.assertEqual(sent[0].job, sent[1].job)
            self.assertEqual("k1", sent[1].job.key)
            # Only a rejection with `not_run` proves that the first try had no effect.
            refused = not isinstance(lost, str) and "EntryStale" in lost[1]
            self.assertEqual([False, not refused], [one.retry for one in sent])

    def test_answer_is_polled_from_another_entry_and_verified(self):
        wrong = make_reply(JobState.ANSWERED, "hálf", answer_sha256="0" * 64)
        whole = make_reply(JobState.ANSWERED, "whole é")
        with (
            FakeEntry([make_reply(), "cut"]) as first,
            FakeEntry([wrong]) as second,
            FakeEntry([whole]) as third,
        ):
            entries = [entry.address for entry in (first, second, third)]
            status, output, _ = run(*SUBMIT, "--wait-s", "3", entries=entries)
        self.assertEqual((0, "job j1 answered\nwhole é\n"), (status, output))
        self.assertIn("/v1/jobs/j1/answer?wait_ms=", third.requests[0][1])

    def test_exit_status_and_error_line_for_each_outcome(self):
        failed = make_reply(JobState.FAILED, error=ErrorBody("Broken", "too warm"))
        refused = make_reply(
            JobState.REFUSED_NOT_RUN, error=ErrorBody("NoFit", "large")
        )
        cases = [
            ([(422, refused[1])], [], 3, "refused_not_run: NoFit: large"),
            ([make_refusal(409)], [], 3, "KeyConflict: the reason; not run"),
            ([make_refusal(429, "Overloaded")], [], 3, "Overloaded"),
            ([make_refusal(503, "EntryStale")] * 5, [], 3, "EntryStale"),
            ([failed], [], 3, "failed: Broken: too warm"),
            ([make_reply()] * 9, ["--wait-s", "0.001"], 5, "accepted"),
            (["cut"] * 5, [], 4, "may have arrived"),
        ]
        for script, more, expected, text in cases:
            with FakeEntry(script) as entry:
                status, output, errors = run(*SUBMIT, *more, entries=[entry.address])
            self.assertEqual((expected, ""), (status, output), errors)
            self.assertEqual(1, errors.count("\n"))
            self.assertIn(text, errors)

    def test_unreachable_entries_give_status_4_and_one_line(self):
        status, _, errors = run(*SUBMIT)
        self.assertEqual((4, 1), (status, errors.count("\n")))
        self.assertIn("never sent", errors)


class TestOtherCommands(testtools.TestCase):
    def test_apply_sends_the_example_documents(self):
        for path in sorted(EXAMPLES.glob("*.toml")):
            document = read_document(path).unwrap()
            reply = 200, encode_json(DocumentReply(document, 7))
            with FakeEntry(["cut", reply]) as entry:
                status, output, errors = run("apply", path, entries=[entry.address])
            self.assertEqual(0, status, errors)
            self.assertIn(f"service {document.service} revision 1", output)
            method, target, body = entry.requests[1]
            self.assertEqual(
                ("PUT", f"/v1/services/{document.service}/document"), (method, target)
            )
            self.assertEqual(
                document, decode_json(body, DocumentRequest).unwrap().document
            )

    def test_cancel_and_explain(self):
        explanation = 200, encode_json(ExplainReply("j1", "waits for 8 accelerators"))
        crossed = 200, encode_json(ExplainReply("j2", "runs"))
        cases = [
            ("cancel", [make_reply(JobState.CANCELLED)], 0, "job j1 cancelled\n"),
            (
                "cancel",
                [make_reply(JobState.START_RECORDED)],
                0,
                "job j1 will be cancelled once all members are stopped\n",
            ),
            ("cancel", [make_refusal(404, "UnknownJob", False)], 3, ""),
            ("explain", [crossed, explanation], 0, "waits for 8 accelerators\n"),
        ]
        for command, script, expected, text in cases:
            with FakeEntry(script) as entry:
                status, output, errors = run(command, "j1", entries=[entry.address])
            self.assertEqual((expected, text), (status, output), errors)

    def test_status_as_table_and_as_json(self):
        reply = StatusReply(
            leader_id="c1",
            term=3,
            log_index=40,
            voters=("c1", "c2"),
            queued_jobs=5,
            running_jobs=6,
            upstreams=(UpstreamStatus("u1", "a", 0, 1, "healthy", 8, 4),),
            organisations=(OrganisationStatus("depot", 64, 4, 5, 0),),
            refusals=(("Overloaded", 2),),
        )
        script = [(200, encode_json(reply))] * 2
        with FakeEntry(script) as entry:
            _, table, _ = run("status", entries=[entry.address])
            _, text, _ = run("status", "--json", entries=[entry.address])
        self.assertIn("leader     c1 (term 3)", table)
        self.assertIn("depot         64     4     5       0", table)
        self.assertEqual("c1", json.loads(text)["leader_id"])
