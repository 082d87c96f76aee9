"""Guards against steps that wait for tickets for good, and keep others from theirs.

The advice service answers one call after the other. Steps that can't get enough tickets
asked on for good, and steps that were accepted after them never got a call.
"""

import testtools

from tanagerpath.core.coordination import UpstreamReplied
from tanagerpath.core.workloads.orders import (
    AdviceReply,
    AdviceRequest,
    Ticket,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

MAX_STANDING_S = 3.0
DECISION_S = 0.1
PER_UPSTREAM_S = 0.005
SMALL = Resources(100, 100, 0)
SERVING = StepSpec(count=16, needs=SMALL, max_per_upstream=1, long_running=True)
ORDINARY = StepSpec(count=2, needs=Resources(1_000, 100, 1), declared_run_s=1.0)


class AdviceRig(Rig):
    """Rig with an advice service that takes time, and some allowed upstreams."""

    def __init__(self, upstreams=16, allowed=6):
        super().__init__(upstreams=upstreams)
        self.allowed_upstreams = {f"u{number}" for number in range(allowed)}
        self.named = []
        self._busy_until_s = 0.0

    def _call_service(self, call):
        if not isinstance(call.request, AdviceRequest):
            super()._call_service(call)
            return
        names = call.request.upstream_ids
        self.named.append((self.now_s, call.request.workload_id, names))
        taken_s = DECISION_S + PER_UPSTREAM_S * len(names)
        self._busy_until_s = max(self.now_s, self._busy_until_s) + taken_s
        allowed = [one for one in names if one in self.allowed_upstreams]
        reply = AdviceReply(tuple(Ticket(one, f"t-{one}") for one in allowed))
        event = UpstreamReplied(call.upstream_id, "", call.request, reply)
        self._schedule(self._busy_until_s - self.now_s, ("event", event, None))

    def count_named(self, workload_id, since_s=0.0):
        """Return how often calls have named each upstream for a workload."""
        counts = {}
        for at_s, named_id, names in self.named:
            if named_id == workload_id and at_s >= since_s:
                for name in names:
                    counts[name] = counts.get(name, 0) + 1
        return counts


class TestFairness(testtools.TestCase):
    """Guards against steps that take the calls of all others."""

    def _play(self, serving):
        rig = AdviceRig()
        rig.run(1.0)
        for number in range(serving):
            rig.submit(f"serving-{number}", SERVING, queue="advised", work_s=1e9)
            rig.run(0.5)
        return rig

    def test_work_starts_beside_steps_that_never_get_enough_tickets(self):
        for serving in (3, 14, 40):
            rig = self._play(serving)
            for number in range(3):
                rig.submit(f"late-{number}", ORDINARY, queue="advised", work_s=1.0)
            for number in range(3):
                wait_s = rig.measure_start(f"late-{number}")
                self.assertLess(wait_s, MAX_STANDING_S, f"{serving} serving")

    def test_each_serving_step_gets_the_tickets_that_there_are(self):
        rig = self._play(14)
        rig.run(4.0)
        for number in range(14):
            started = {
                start.task
                for start in rig.starts
                if start.task.workload_id == f"serving-{number}"
            }
            self.assertEqual(6, len(started), number)


class TestQuestions(testtools.TestCase):
    """Guards against calls whose answer is known or of no use."""

    def test_upstream_that_was_not_allowed_is_not_asked_about_again(self):
        rig = AdviceRig()
        rig.submit("w", SERVING, queue="advised", work_s=1e9)
        rig.run(20.0)
        counts = rig.count_named("w")
        self.assertEqual({1}, {counts[f"u{number}"] for number in range(6, 16)})

    def test_upstream_without_room_for_a_further_task_is_not_asked_about(self):
        rig = AdviceRig()
        rig.submit("w", SERVING, queue="advised", work_s=1e9)
        rig.run(5.0)
        self.assertEqual({}, rig.count_named("w", since_s=rig.now_s - 1.0))
        rig.run(10.0)
        self.assertEqual({}, rig.count_named("w", since_s=rig.now_s - 10.0))

    def test_next_incarnation_and_a_new_upstream_are_asked_about(self):
        rig = AdviceRig()
        rig.submit("w", SERVING, queue="advised", work_s=1e9)
        rig.run(5.0)
        since_s = rig.now_s
        rig.restart_upstream("u9")
        rig.add_upstream("u16")
        rig.run(3.0)
        self.assertEqual({"u9", "u16"}, set(rig.count_named("w", since_s)))

    def test_failed_run_gets_a_ticket_for_its_repetition(self):
        rig = AdviceRig()
        rig.submit("w", SERVING, queue="advised", work_s=1e9)
        rig.run(8.0)
        count = len(rig.starts)
        rig.restart_upstream("u3")
        rig.run(4.0)
        self.assertGreater(len(rig.starts), count)
        self.assertEqual(
            "u3@2", rig.dispatcher.context.sessions["u3"].record.incarnation
        )
        self.assertEqual(1, len(rig.upstreams["u3"].runs))
