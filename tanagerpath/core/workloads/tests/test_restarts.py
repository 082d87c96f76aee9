"""Guards against duplicate runs on upstreams that restart under the same identity.

The new incarnation has lost its state, so that a delayed start would run a task a
second time.
"""

import attrs
import testtools

from tanagerpath.core.workloads.orders import StopRequest
from tanagerpath.core.workloads.requests import WithdrawalReport
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
WHOLE = Resources(8_000, 16_000, 8)
DRAIN_S = 2.5
DOWN_S = 2.0


class _RestartScenario:
    """Disconnects, restarts and drains upstreams of a rig while workloads arrive."""

    def __init__(self, seed):
        self.rig = Rig(upstreams=6, seed=seed)
        self.rig.reply_loss_rate = self.rig.late_order_rate = 0.05
        self.random = self.rig.random
        self.ends_at_s = {}
        self.restarts_at_s = {}
        self.sequence = 1_000_000_000
        self.term = 1

    def run(self):
        for number in range(30):
            self._submit(f"w{number}")
            self.rig.run(self.random.uniform(0.1, 1.5))
            self._inject_fault(self.random.choice(list(self.rig.upstreams)))
            self._advance()
            if self.random.random() < 0.1:
                self.term += 1
                self.rig.start_term(self.term)
            if self.random.random() < 0.1:
                self.rig.cancel(f"w{self.random.randrange(number + 1)}")
        self._heal()
        self.rig.run(90)

    def _submit(self, name):
        gang = self.random.random() < 0.4
        queue = self.random.choice(["urgent", "batch", "scan"])
        step = StepSpec(
            count=self.random.randint(1, 4),
            needs=self.random.choice([SMALL, WHOLE]),
            declared_run_s=1.0,
            gang=gang,
            checkpointing=not gang,
            same_rack=gang and self.random.random() < 0.5,
        )
        steps = (step,)
        if self.random.random() >= 0.7:
            steps = (step, attrs.evolve(step, depends_on=(0,)))
        self.rig.submit(name, *steps, queue=queue, work_s=self.random.uniform(0.3, 4))

    def _inject_fault(self, name):
        upstream = self.rig.upstreams[name]
        draw = self.random.random()
        if draw < 0.15:
            upstream.unreachable = True
        elif draw < 0.25:
            upstream.runs.clear()
            self.rig.restart_upstream(name)
        elif draw < 0.35:
            self.sequence += 1
            record = attrs.evolve(upstream.record, draining=True)
            self.rig.report(record, sequence=self.sequence, remaining_s=2.0)
            self.ends_at_s[name] = self.rig.now_s + DRAIN_S
        else:
            upstream.unreachable = False

    def _advance(self):
        now_s = self.rig.now_s
        for name, at_s in tuple(self.ends_at_s.items()):
            if now_s > at_s:
                del self.ends_at_s[name]
                report = WithdrawalReport(name)
                registry = self.rig.dispatcher.registry
                for command in registry.handle_withdrawal(report):
                    self.rig.apply(command)
                self.rig.upstreams[name].runs.clear()
                self.rig.upstreams[name].unreachable = True
                self.restarts_at_s[name] = now_s + DOWN_S
        for name, at_s in tuple(self.restarts_at_s.items()):
            if now_s > at_s:
                del self.restarts_at_s[name]
                self.rig.restart_upstream(name)

    def _heal(self):
        for name, upstream in self.rig.upstreams.items():
            if name in self.ends_at_s or name in self.restarts_at_s:
                upstream.runs.clear()
                self.rig.restart_upstream(name)
            upstream.unreachable = upstream.stalls = False
        self.rig.late_order_rate = self.rig.reply_loss_rate = 0.0


class TestRestarts(testtools.TestCase):
    def run_scenario(self, seed):
        scenario = _RestartScenario(seed)
        scenario.run()
        workloads = scenario.rig.state.workloads.values()
        states = {record.final_state for record in workloads}
        self.assertNotIn(None, states, f"seed {seed}")

    def test_random_restarts_violate_no_invariant(self):
        for seed in (*range(10), 10, 15, 17, 19, 20, 32, 39):
            self.run_scenario(seed)

    def test_lost_stop_is_sent_again_before_a_delayed_start_arrives(self):
        # Waiting for the first stop to time out left 0.75 s for the delayed start.
        rig = Rig(upstreams=1)
        rig.run(0.5)
        rig.late_order_rate = 1.0
        rig.submit("w", StepSpec(needs=SMALL, declared_run_s=1.0))
        rig.run(0.2)
        rig.restart_upstream("u0")
        stops = []
        call = rig._call
        rig._call = lambda one: (
            stops.append(rig.now_s) if isinstance(one.request, StopRequest) else None,
            call(one),
        )
        rig.run(1.0)
        self.assertGreaterEqual(len(stops), 3)
        rig.late_order_rate = 0.0
        rig.run(20.0)
        self.assertEqual("completed", rig.find_state("w"))

    def test_delayed_start_is_blocked_after_repeated_restarts_too(self):
        # The stop on an earlier incarnation was answered, and a later one, which does
        # not know of it, carried the delayed start out.
        rig = Rig(upstreams=1)
        rig.run(0.5)
        rig.late_order_rate = 1.0
        rig.submit("w", StepSpec(needs=SMALL, declared_run_s=1.0))
        rig.run(0.2)
        rig.late_order_rate = 0.0
        for _ in range(3):
            rig.restart_upstream("u0")
            rig.run(0.5)
        blocked = [run for _, run in rig.upstreams["u0"].highest_ended_run.items()]
        self.assertEqual([1], blocked)
        rig.run(20.0)
        self.assertEqual("completed", rig.find_state("w"))


class TestBirths(testtools.TestCase):
    def test_heartbeat_born_in_the_far_future_does_not_block_its_upstream(self):
        rig = Rig(upstreams=1)
        record = rig.upstreams["u0"].record
        far_ms = int((rig.now_s + 10 * 86_400) * 1_000)
        odd = attrs.evolve(record, incarnation="u0@far", born_unix_ms=far_ms)
        self.assertEqual([], rig.report(odd))
        rig.register(odd)
        self.assertNotEqual([], rig.report(record, sequence=2))
        rig.submit("w", StepSpec(needs=SMALL, declared_run_s=1.0))
        rig.run(5.0)
        self.assertEqual("completed", rig.find_state("w"))
