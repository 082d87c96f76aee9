"""Guards against states without a way out after orders were refused or lost."""

import testtools

from tanagerpath.core.workloads.orders import (
    HoldRequest,
    PaceRequest,
    Refusal,
    StartRequest,
    StopRequest,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
WHOLE = Resources(8_000, 16_000, 8)
ORDERS = (HoldRequest, PaceRequest, StartRequest, StopRequest)
REFUSALS = (Refusal.UNHEALTHY, Refusal.UNHEALTHY, Refusal.MALFORMED, Refusal.NO_ROOM)
# Bound that the users' platform states for guaranteed work.
GUARANTEED_START_S = 2.7
# Longer than a lease, a quarantine and the delay of an order that was not answered.
CALM_S = 30.0


class _RefusalScenario:
    """Refuses random orders on random upstreams while workloads arrive."""

    def __init__(self, seed):
        self.rig = Rig(upstreams=8, seed=seed)
        self.rig.allowed_upstreams = set(self.rig.upstreams)
        self.rig.result_loss_rate = 0.02
        self.random = self.rig.random
        self.term = 1

    def run(self):
        for number in range(30):
            self._submit(f"w{number}")
            self.rig.run(self.random.uniform(0.1, 0.8))
            self._disturb()
            if self.random.random() < 0.1:
                self.rig.cancel(f"w{self.random.randrange(number + 1)}")
            if self.random.random() < 0.05:
                self.term += 1
                self.rig.start_term(self.term)
        self._heal()

    def _submit(self, name):
        gang = self.random.random() < 0.6
        step = StepSpec(
            count=self.random.randint(1, 4),
            needs=self.random.choice([SMALL, WHOLE]),
            declared_run_s=1.0,
            gang=gang,
            checkpointing=not gang,
            same_rack=gang and self.random.random() < 0.5,
            preferred_rack="r1" if self.random.random() < 0.2 else "",
        )
        queue = self.random.choice(["urgent", "batch", "scan", "advised"])
        self.rig.submit(name, step, queue=queue, work_s=self.random.uniform(0.3, 4))

    def _disturb(self):
        upstream = self.random.choice(list(self.rig.upstreams.values()))
        draw = self.random.random()
        if draw < 0.5:
            refusal = self.random.choice(REFUSALS)
            upstream.refused_orders[self.random.choice(ORDERS)] = refusal
        elif draw < 0.7:
            upstream.refused_orders.clear()
        elif draw < 0.8:
            upstream.unreachable = not upstream.unreachable
        elif draw < 0.9:
            upstream.fails_all = not upstream.fails_all
        else:
            self.rig.unix_offset_s = self.random.choice([-2.0, 0.0, 2.0])

    def _heal(self):
        self.rig.result_loss_rate = 0.0
        for upstream in self.rig.upstreams.values():
            upstream.refused_orders.clear()
            upstream.unreachable = upstream.fails_all = False

    def count_open_runs(self):
        sessions = self.rig.dispatcher.context.sessions.values()
        return sum(len(session.runs) for session in sessions)


class TestRandomRefusals(testtools.TestCase):
    def run_scenario(self, seed):
        scenario = _RefusalScenario(seed)
        rig = scenario.rig
        scenario.run()
        rig.run(CALM_S)
        gang = StepSpec(count=2, needs=WHOLE, declared_run_s=1.0, gang=True)
        rig.submit("check", gang, queue="urgent")
        self.assertLess(rig.measure_start("check"), GUARANTEED_START_S, seed)
        rig.run(60.0)
        states = {record.final_state for record in rig.state.workloads.values()}
        self.assertNotIn(None, states, f"seed {seed}")
        self.assertEqual(0, scenario.count_open_runs(), f"seed {seed}")

    def test_everything_ends_after_random_refusals(self):
        for seed in range(12):
            self.run_scenario(seed)
