"""Guards against a second run of work that had ended as done.

The end of a run is concluded, without a list that names it, after a time of silence or
because a list lacks the run. The upstream may have run it to its end all the same.
"""

import testtools

from tanagerpath.core.coordination import UpstreamReplied
from tanagerpath.core.workloads.runs import StopCause
from tanagerpath.core.workloads.tests.rig import Rig
from tanagerpath.core.workloads.tests.silence import (
    LEASE_S,
    WHOLE,
    cut,
    find_host,
    join,
    list_runs,
    make_step,
)


class TestSilence(testtools.TestCase):
    def test_run_listed_as_done_after_its_lease_does_not_start_again(self):
        rig = Rig(upstreams=1)
        rig.submit("w", make_step(3))
        rig.run(0.5)
        cut(rig, "u0")
        rig.run(LEASE_S + 2.0)
        join(rig, "u0")
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual([1, 1, 1], list_runs(rig, "w"))

    def test_gang_listed_as_done_after_its_lease_does_not_start_again(self):
        rig = Rig(upstreams=2)
        rig.submit("gang", make_step(2, WHOLE, gang=True), queue="batch")
        rig.run(0.5)
        cut(rig, "u0", "u1")
        rig.run(LEASE_S + 2.0)
        join(rig, "u0", "u1")
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("gang"))
        self.assertEqual([1, 1], list_runs(rig, "gang"))

    def test_upstream_back_at_the_end_of_the_lease_is_asked_before_a_later_run(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, _ = find_host(rig)
        cut(rig, host)
        # It replies again before the first call that can fail after the lease has.
        rig.run(LEASE_S - 0.8)
        join(rig, host)
        rig.run(3.0)
        self.assertEqual([1], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))

    def test_new_leader_asks_the_upstream_of_a_lapsed_run_before_a_later_run(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, other = find_host(rig)
        cut(rig, host, other)
        rig.run(LEASE_S + 2.0)
        join(rig, host, other)
        rig.reply_delays_s[host] = 0.4
        rig.start_term(2)
        rig.run(3.0)
        self.assertEqual([1], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))

    def test_upstream_that_replies_slowly_to_a_new_leader_is_heard(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, _ = find_host(rig)
        rig.reply_delays_s[host] = 1.2
        rig.start_term(2)
        rig.run(LEASE_S + 4.0)
        self.assertEqual([1], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))

    def test_silent_upstream_delays_a_later_run_by_one_call_at_most(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, other = find_host(rig)
        cut(rig, host, other)
        rig.run(LEASE_S + 2.0)
        join(rig, other)
        rig.start_term(2)
        rig.run(1.3)
        self.assertEqual([1, 2], list_runs(rig, "w"))

    def test_later_run_is_stopped_when_an_earlier_one_is_listed_as_done(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=7.0)
        # The lease of a first start is short; the next renewal extends it.
        rig.run(2.0)
        host, other = find_host(rig)
        cut(rig, host)
        rig.run(LEASE_S + 4.0)
        self.assertEqual([1, 2], list_runs(rig, "w"))
        join(rig, host)
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual({}, rig.upstreams[other].runs)

    def test_failure_listed_after_the_lease_counts_as_an_attempt(self):
        rig = Rig(upstreams=1)
        rig.submit("w", make_step())
        rig.failing_workloads.add("w")
        rig.run(0.1)
        cut(rig, "u0")
        rig.run(LEASE_S + 2.0)
        join(rig, "u0")
        rig.run(5.0)
        self.assertEqual("failed", rig.find_state("w"))
        self.assertEqual([1, 2, 3], list_runs(rig, "w"))


class TestStalls(testtools.TestCase):
    def test_call_that_failed_during_a_stall_of_the_leader_shows_no_silence(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, _ = find_host(rig)
        cut(rig, host)
        rig.run(LEASE_S - 0.6)
        # The calls of this time fail, as their replies are not read.
        rig.now_s += 2.0
        join(rig, host)
        rig.run(3.0)
        self.assertEqual([1], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))

    def test_leader_that_is_always_late_still_ends_lapsed_runs(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.5)
        host, _ = find_host(rig)
        cut(rig, host)
        for _ in range(50):
            rig.now_s += 0.35
            rig.run(0.05)
        self.assertEqual([1, 2], list_runs(rig, "w"))


class TestLists(testtools.TestCase):
    def test_ends_in_the_reply_to_an_earlier_renewal_count(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step())
        rig.run(0.9)
        host, _ = find_host(rig)
        session = rig.dispatcher.context.sessions[host]
        fake = rig.upstreams[host]
        earlier = session.hold.request
        cut(rig, host)
        session.request_list(rig.now_s)
        rig.run(0.3)
        self.assertIsNot(earlier, session.hold.request)
        reply = fake.handle(earlier)
        incarnation = fake.record.incarnation
        rig._handle(UpstreamReplied(host, incarnation, earlier, reply))
        rig.run(LEASE_S + 2.0)
        self.assertEqual([1], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))

    def test_incomplete_list_does_not_show_that_a_run_is_over(self):
        rig = Rig(upstreams=1)
        rig.submit("w", make_step(), work_s=3.0)
        rig.run(0.5)
        rig.upstreams["u0"].lists_nothing = True
        rig.run(1.5)
        rig.upstreams["u0"].lists_nothing = False
        rig.run(3.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual([1], list_runs(rig, "w"))

    def test_stopped_run_that_had_begun_is_over_only_with_its_end(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=3.0)
        rig.run(0.5)
        host, _ = find_host(rig)
        fake = rig.upstreams[host]
        # A slow upstream takes longer for a stop than it should.
        fake.hides_stopping = True
        fake.stop_s = 0.8
        session = rig.dispatcher.context.sessions[host]
        view = next(iter(session.runs.values()))
        rig.dispatcher._driver.stop(session, view, "a test", StopCause.PREEMPTION)
        for _ in range(7):
            rig.run(0.1)
            session.request_list(rig.now_s)
        self.assertEqual([1], list_runs(rig, "w"))
        rig.run(6.0)
        self.assertEqual([1, 2], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))

    def test_run_that_an_earlier_leader_stops_is_over_only_with_its_end(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=3.0)
        rig.run(0.5)
        host, _ = find_host(rig)
        fake = rig.upstreams[host]
        fake.hides_stopping = True
        fake.stop_s = 0.8
        session = rig.dispatcher.context.sessions[host]
        view = next(iter(session.runs.values()))
        rig.dispatcher._driver.stop(session, view, "a test", StopCause.PREEMPTION)
        rig.run(0.1)
        rig.start_term(2)
        rig.run(6.0)
        self.assertEqual([1, 2], list_runs(rig, "w"))
        self.assertEqual("completed", rig.find_state("w"))

    def test_run_that_vanished_without_an_end_starts_again_soon(self):
        rig = Rig(upstreams=2)
        rig.submit("w", make_step(), work_s=3.0)
        rig.run(0.5)
        host, _ = find_host(rig)
        rig.upstreams[host].runs.clear()
        rig.run(4.5)
        self.assertEqual([1, 2], list_runs(rig, "w"))
