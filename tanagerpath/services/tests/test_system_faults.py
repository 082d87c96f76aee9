"""Guards against lost and stuck jobs while processes stop, fail or are lost."""

import concurrent.futures as futures
import time

import testtools

from tanagerpath.services.tests.job_bodies import (
    document_path,
    make_document,
    make_job,
    submit_once_ready,
)
from tanagerpath.services.tests.loopback import LoopbackSystem


class TestStops(testtools.TestCase):
    """Guards against requests that a stop interrupts, and against stale entries."""

    def test_drained_entry_and_lost_control(self):
        with LoopbackSystem(staleness_bound_s=1.2) as system:
            system.ask("PUT", document_path("sort"), make_document())
            ends = make_job("ends", payload='{"run_ms":600}')
            hangs = make_job("hangs", payload='{"hang":true}')
            for job in (ends, hangs):
                submit_once_ready(system, job)
                job["wait_until_unix_s"] = time.time() + 20.0
            ended = self._check_drain(system, ends, hangs)
            system.stop("c1")
            self._check_staleness(system)
            system.start_control()
            self._await(system, 200)
            reply = system.ask("GET", f"/v1/jobs/{ended['job_id']}", None, 1)
            self.assertEqual((200, ended), reply)

    def _check_drain(self, system, ends, hangs):
        with futures.ThreadPoolExecutor() as callers:
            calls = [
                callers.submit(system.ask, "POST", "/v1/jobs", job)
                for job in (ends, hangs)
            ]
            time.sleep(0.4)
            system.stop("e1")
            replies = [call.result() for call in calls]
        self.assertEqual([200, 202], [status for status, _ in replies])
        self.assertEqual("answered", replies[0][1]["state"])
        self.assertRaises(OSError, system.ask, "GET", "/healthz")
        return replies[0][1]

    def _check_staleness(self, system):
        self._await(system, 503)
        status, body = system.ask("POST", "/v1/jobs", make_job("stale"), 1)
        error = body["error"]
        expected = (503, "EntryStale", True)
        self.assertEqual(expected, (status, error["type"], error["not_run"]))
        self.assertEqual(200, system.ask("GET", "/healthz", None, 1)[0])

    def _await(self, system, readiness):
        until_s = time.monotonic() + 10.0
        while system.ask("GET", "/readyz", None, 1)[0] != readiness:
            self.assertTrue(time.monotonic() < until_s, readiness)
            time.sleep(0.02)


class TestSmallFleet(testtools.TestCase):
    def test_job_that_fails_on_every_upstream_ends_and_blocks_no_other(self):
        """Guards against a failed job that blocks the head of the queue forever."""
        with LoopbackSystem(entries=1) as system:
            system.ask("PUT", document_path("sort"), make_document())
            bad = make_job("bad", payload='{"fail":"run"}')
            submit_once_ready(system, bad)
            time.sleep(1.0)
            good = make_job("good") | {"wait_until_unix_s": time.time() + 5.0}
            self.assertEqual(200, system.ask("POST", "/v1/jobs", good)[0])
            bad["wait_until_unix_s"] = time.time() + 15.0
            status, body = system.ask("POST", "/v1/jobs", bad)
        self.assertEqual((200, "failed"), (status, body["state"]))


class TestReplacedUpstream(testtools.TestCase):
    def test_lost_upstream_hides_no_working_one_at_the_same_location(self):
        """Guards against a replaced VM whose old ID occupies its location forever."""
        with LoopbackSystem(entries=1) as system:
            system.ask("PUT", document_path("sort"), make_document())
            location = {"availability_zone": "a", "rack": 0, "position": 0}
            body = {"address": "127.0.0.1:9", "incarnation": "old"}
            body["capacity"] = {"upstream_id": "zz-old", "location": location}
            body["capacity"]["services"] = ["sort"]
            reply = system.ask("POST", "/v1/upstreams/announce", body)
            self.assertEqual(200, reply[0], reply)
            gang = make_job("gang", accelerators=16)
            submit_once_ready(system, gang)
            gang["wait_until_unix_s"] = time.time() + 10.0
            status, body = system.ask("POST", "/v1/jobs", gang)
        self.assertEqual((200, "answered"), (status, body["state"]))


class TestProposalLimit(testtools.TestCase):
    def test_leader_accepts_more_once_its_proposals_are_committed(self):
        """Guards against a limit that stays reached after a burst."""
        with LoopbackSystem(1, 0, max_proposals_in_flight=1) as system:
            for revision in (1, 2, 3):
                body = make_document(revision=revision)
                reply = system.ask("PUT", document_path("sort"), body)
                self.assertEqual(200, reply[0], reply)
