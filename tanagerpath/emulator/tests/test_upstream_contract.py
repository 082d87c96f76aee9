"""Contract of upstreams as tables: what an upstream must answer, faults included."""

import math

import testtools

from tanagerpath.core.model import AttemptId, UpstreamCapacity, UpstreamLocation
from tanagerpath.core.protocol.upstreams import (
    CheckpointRequest,
    RenewRequest,
    ReserveRequest,
    StartRequest,
    StopRequest,
    TaskPhase,
    ThrottleRequest,
)
from tanagerpath.emulator.faults import Faults
from tanagerpath.emulator.scripts import verify_answer
from tanagerpath.emulator.tasks_table import MemberKey, StaleTerm, TasksTable

LEASE_MS = 6000


def make_table(**faults):
    location = UpstreamLocation("a", 0, 0)
    table = TasksTable(UpstreamCapacity("u1", location, slots=4), "i1")
    table.faults = Faults(**faults)
    return table


def renew(basis, term=1, incarnation="i1"):
    return ("renew", RenewRequest(term, incarnation, basis, LEASE_MS))


def reserve(attempt=1, first=0, count=2, term=1, rank=0, job="j", incarnation="i1"):
    fencing = AttemptId(1, attempt)
    return (
        "reserve",
        ReserveRequest(term, job, fencing, rank, first, count, 1, 1, 3000, incarnation),
    )


def start(attempt=1, term=1, rank=0, job="j", payload='{"run_ms":50}', saved=""):
    fencing = AttemptId(1, attempt)
    return ("start", StartRequest(term, job, fencing, rank, 1, "demo", payload, saved))


def stop(attempt=1, term=1, rank=0, job="j"):
    return ("stop", StopRequest(term, job, AttemptId(1, attempt), rank))


def checkpoint(attempt=1, term=1):
    return ("checkpoint", CheckpointRequest(term, "j", AttemptId(1, attempt), 0, 2000))


def throttle(share, attempt=1):
    return ("throttle", ThrottleRequest(1, "j", AttemptId(1, attempt), 0, share))


def play(table, steps):
    """Carry out (clock_ms, step) pairs; return the last reply."""
    reply = None
    for clock_ms, step in steps:
        table.advance(clock_ms)
        if step is not None:
            name, request = step
            reply = getattr(table, name)(request, clock_ms)
    return reply


LEASED = [(1000, renew(0)), (1000, renew(1000))]
RUNNING = [*LEASED, (1001, reserve()), (1002, start())]


class TestReplies(testtools.TestCase):
    """Each case: name, faults, steps, expected fields of the last reply."""

    CASES = [
        ("reserve", {}, [*LEASED, (1001, reserve())], {"reserved": True}),
        (
            "repeated reserve",
            {},
            [(1000, reserve()), (1001, reserve())],
            {"reserved": True},
        ),
        (
            "overlap",
            {},
            [(1000, reserve(1, 0, 4)), (1001, reserve(2, 3, 2, job="k"))],
            {"reserved": False, "reason": "busy"},
        ),
        (
            "beyond the last accelerator",
            {},
            [(1000, reserve(1, 7, 2))],
            {"reserved": False, "reason": "busy"},
        ),
        (
            "neighbour is free",
            {},
            [(1000, reserve(1, 0, 4)), (1001, reserve(2, 4, 4, job="k"))],
            {"reserved": True},
        ),
        (
            "lapsed reservation frees accelerators",
            {},
            [(1000, reserve(1, 0, 8)), (4000, reserve(2, 0, 8, job="k"))],
            {"reserved": True},
        ),
        (
            "stale reserve",
            {},
            [(1000, renew(0, term=2)), (1001, reserve())],
            {"reserved": False, "reason": "stale_term"},
        ),
        (
            "reserve after stop",
            {},
            [(1000, stop()), (1001, reserve())],
            {"reserved": False, "reason": "attempt_over"},
        ),
        ("start", {}, RUNNING, {"phase": TaskPhase.RUNNING, "reason": ""}),
        (
            "repeated start",
            {},
            [*RUNNING, (1010, start())],
            {"phase": TaskPhase.RUNNING, "reason": ""},
        ),
        (
            "start without reservation",
            {},
            [*LEASED, (1001, start())],
            {"phase": TaskPhase.ABSENT, "reason": "not_reserved"},
        ),
        (
            "start before the first renewal",
            {},
            [(1000, reserve()), (1001, start())],
            {"phase": TaskPhase.RESERVED, "reason": "not_reserved"},
        ),
        (
            "start after the lease",
            {},
            [*LEASED, (6999, reserve()), (7000, start())],
            {"phase": TaskPhase.RESERVED, "reason": "not_reserved"},
        ),
        (
            "start after the reservation lapsed",
            {},
            [*LEASED, (1001, reserve()), (4001, start())],
            {"phase": TaskPhase.STOPPED, "reason": "attempt_over"},
        ),
        (
            "start after stop",
            {},
            [*LEASED, (1001, reserve()), (1002, stop()), (1003, start())],
            {"phase": TaskPhase.STOPPED, "reason": "attempt_over"},
        ),
        (
            "stale start",
            {},
            [*LEASED, (1001, reserve()), (1002, renew(0, 2)), (1003, start())],
            {"phase": TaskPhase.RESERVED, "reason": "stale_term"},
        ),
        (
            "failing start",
            {"fail_starts": True},
            RUNNING,
            {"phase": TaskPhase.FAILED_TO_START, "reason": "start_failed"},
        ),
        (
            "stop of a running member",
            {},
            [*RUNNING, (1010, stop())],
            {"stopped": True, "ever_started": True, "incarnation_covers_attempt": True},
        ),
        (
            "stop before the start",
            {},
            [*LEASED, (1001, reserve()), (1002, stop())],
            {"ever_started": False, "incarnation_covers_attempt": True},
        ),
        (
            "stop of an attempt of another incarnation",
            {},
            [(1000, stop())],
            {"ever_started": False, "incarnation_covers_attempt": False},
        ),
        (
            "repeated stop of an attempt of another incarnation",
            {},
            [(1000, stop()), (1500, stop())],
            {"ever_started": False, "incarnation_covers_attempt": False},
        ),
        (
            "stop after the reservation lapsed",
            {},
            [(1000, reserve()), (5000, stop())],
            {"ever_started": False, "incarnation_covers_attempt": True},
        ),
        (
            # The newer attempt may have run in the incarnation before.
            "stop after a lapsed reservation of an older attempt",
            {},
            [(1000, reserve(1)), (5000, stop(2))],
            {"ever_started": False, "incarnation_covers_attempt": False},
        ),
        (
            # It may be a late copy; the attempt may have run in that incarnation.
            "stop after a reservation for another incarnation",
            {},
            [(1000, reserve(incarnation="i0")), (1001, stop())],
            {"ever_started": False, "incarnation_covers_attempt": False},
        ),
        (
            "reservation for another incarnation",
            {},
            [(1000, reserve(incarnation="i0"))],
            {"reserved": False, "reason": "other_incarnation"},
        ),
        (
            "stale stop",
            {},
            [*RUNNING, (1003, renew(0, 2)), (1004, stop())],
            {"stopped": False, "reason": "stale_term"},
        ),
        (
            "checkpoint",
            {},
            [*RUNNING, (1022, checkpoint())],
            {"saved": True, "checkpoint": "progress-ms:20"},
        ),
        ("checkpoint of nothing", {}, [(1000, checkpoint())], {"saved": False}),
        ("throttle", {}, [*RUNNING, (1010, throttle(0.5))], {"in_force": True}),
        ("throttle of nothing", {}, [(1000, throttle(0.5))], {"in_force": False}),
    ]

    def test_replies(self):
        for name, faults, steps, expected in self.CASES:
            reply = play(make_table(**faults), steps)
            actual = {field: getattr(reply, field) for field in expected}
            self.assertEqual(expected, actual, name)

    def test_renewal_of_a_lower_term_is_refused(self):
        reply = play(make_table(), [(1000, renew(0, 2)), (1001, renew(1000, 1))])
        self.assertEqual(StaleTerm(term=1, highest_term=2), reply)


class TestLease(testtools.TestCase):
    """Guards against tasks that run on while the leader takes them for stopped."""

    CASES = [
        ("no renewal", [], -math.inf),
        ("first renewal has no basis", [(1000, renew(0))], -math.inf),
        ("basis plus duration", LEASED, 7000),
        ("a delayed renewal adds nothing", [*LEASED, (5000, renew(1000))], 7000),
        (
            "a renewal that overtook an older one stays",
            [*LEASED, (2000, renew(2000)), (2001, renew(1000))],
            8000,
        ),
        (
            "a renewal for another incarnation adds nothing",
            [(1000, renew(1000, incarnation="i0"))],
            -math.inf,
        ),
    ]

    def test_end_of_the_lease(self):
        for name, steps, expected in self.CASES:
            table = make_table()
            play(table, steps)
            self.assertEqual(expected, table.lease_ends_at_ms, name)

    def test_all_tasks_stop_at_the_end_of_the_lease(self):
        table = make_table()
        hang = start(payload='{"hang":true}')
        play(table, [*LEASED, (1001, reserve()), (1002, hang), (7000, None)])
        events = [event.event for event in table.take_events()]
        self.assertEqual(["started", "lease_ended"], events)
        self.assertEqual(TaskPhase.STOPPED, table.take_reports()[0].status.phase)
        self.assertEqual(0, table.holding)


class TestReports(testtools.TestCase):
    """Guards against reports that are lost, or answers that are not the job's own."""

    CASES = [
        ("finished", '{"run_ms":50,"echo":"x"}', TaskPhase.FINISHED, True),
        ("failed in run", '{"run_ms":5,"fail":"run"}', TaskPhase.FAILED, False),
        ("failed at start", '{"fail":"start"}', TaskPhase.FAILED_TO_START, False),
        (
            "another rank fails",
            '{"fail":"start","fail_ranks":[1]}',
            TaskPhase.FINISHED,
            True,
        ),
        ("no script", "plain text", TaskPhase.FINISHED, True),
    ]

    def test_reports(self):
        for name, payload, phase, answered in self.CASES:
            table = make_table()
            steps = [*LEASED, (1001, reserve()), (1002, start(payload=payload))]
            play(table, [*steps, (1100, None)])
            (report,) = table.take_reports()
            self.assertEqual(phase, report.status.phase, name)
            whole = report.answer is not None
            self.assertEqual(answered, whole, name)
            if answered:
                self.assertTrue(verify_answer(report.answer, "j", payload), name)

    def test_ended_members_are_listed_until_acknowledged(self):
        table = make_table()
        reply = play(table, [*RUNNING, (1100, renew(1000))])
        self.assertEqual(TaskPhase.FINISHED, reply.tasks[0].phase)
        table.acknowledge(MemberKey("j", AttemptId(1, 1), 0))
        reply = play(table, [(1101, renew(1000))])
        self.assertEqual((), reply.tasks)
        reply = play(table, [(1102, start())])
        self.assertEqual("attempt_over", reply.reason)

    def test_run_time_follows_slow_factor_throttle_and_checkpoint(self):
        slowed = make_table(slow_factor=3.0)
        play(slowed, RUNNING)
        self.assertEqual(1152, slowed.next_deadline_ms())
        throttled = make_table()
        play(throttled, [*RUNNING, (1027, throttle(0.5))])
        self.assertEqual(1077, throttled.next_deadline_ms())
        resumed = make_table()
        again = start(saved="progress-ms:20")
        play(resumed, [*LEASED, (1001, reserve()), (1002, again)])
        self.assertEqual(1032, resumed.next_deadline_ms())
