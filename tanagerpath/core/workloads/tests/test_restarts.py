"""Guards against duplicate runs on upstreams that restart under the same identity.

The new incarnation has lost its state, so that a delayed start would run a task a
second time.
"""

import attrs
import testtools

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.orders import Refusal, StartRequest, StopRequest
from tanagerpath.core.workloads.requests import WithdrawalReport
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import StopCause
from tanagerpath.core.workloads.specs import StepSpec, TaskId
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


class _LateReportScenario(_RestartScenario):
    """Upstreams restart and answer for some time before their first heartbeat.

    Orders are lost but not delayed: nothing keeps a delayed start from an incarnation
    that has neither reported nor been contacted.
    """

    MOST_UNREPORTED_S = 1.5

    def __init__(self, seed):
        super().__init__(seed)
        self.rig.late_order_rate = 0.0
        self.reports_at_s = {}
        for upstream in self.rig.upstreams.values():
            upstream.hides_stopping = self.random.random() < 0.5

    def _inject_fault(self, name):
        if self.random.random() < 0.6:
            super()._inject_fault(name)
            return
        self.rig.upstreams[name].unreachable = True
        self.rig.run(self.random.uniform(0.0, 0.3))
        self.rig.restart_upstream(name, reports=False)
        delay_s = self.random.uniform(0.0, self.MOST_UNREPORTED_S)
        self.reports_at_s[name] = self.rig.now_s + delay_s

    def _advance(self):
        super()._advance()
        for name, at_s in tuple(self.reports_at_s.items()):
            if self.rig.now_s > at_s:
                self._report(name)

    def _report(self, name):
        del self.reports_at_s[name]
        self.sequence += 1
        self.rig.report(self.rig.upstreams[name].record, sequence=self.sequence)

    def _heal(self):
        super()._heal()
        for name in tuple(self.reports_at_s):
            self._report(name)


class _LateOrderScenario(_LateReportScenario):
    """One order in twenty is carried out 2 to 12 s late, as in the base scenario."""

    def __init__(self, seed):
        super().__init__(seed)
        self.rig.late_order_rate = 0.05


class _LateWithdrawalScenario(_LateReportScenario):
    """Withdrawals arrive once more, up to 8 s after the upstream has ended."""

    MOST_LATE_S = 8.0

    def __init__(self, seed):
        super().__init__(seed)
        self.withdrawals_at_s = []

    def _advance(self):
        ended = {name for name, at_s in self.ends_at_s.items() if self.rig.now_s > at_s}
        super()._advance()
        for name in ended:
            at_s = self.rig.now_s + self.random.uniform(0.0, self.MOST_LATE_S)
            self.withdrawals_at_s.append((at_s, name))
        for late in [one for one in self.withdrawals_at_s if self.rig.now_s > one[0]]:
            self.withdrawals_at_s.remove(late)
            registry = self.rig.dispatcher.registry
            for command in registry.handle_withdrawal(WithdrawalReport(late[1])):
                self.rig.apply(command)


class TestRestarts(testtools.TestCase):
    def run_scenario(self, seed, scenario_class=_RestartScenario):
        scenario = scenario_class(seed)
        scenario.run()
        workloads = scenario.rig.state.workloads.values()
        states = {record.final_state for record in workloads}
        self.assertNotIn(None, states, f"seed {seed}")

    def test_random_restarts_violate_no_invariant(self):
        for seed in (*range(10), 10, 15, 17, 19, 20, 32, 39):
            self.run_scenario(seed)

    def test_random_restarts_before_a_heartbeat_violate_no_invariant(self):
        for seed in range(10):
            self.run_scenario(seed, _LateReportScenario)

    def test_late_orders_to_unreported_incarnations_violate_no_invariant(self):
        """A late start reaches an incarnation that no heartbeat has announced."""
        for seed in (0, 8, 38, 41, 42, 46):
            self.run_scenario(seed, _LateOrderScenario)

    def test_random_late_withdrawals_violate_no_invariant(self):
        for seed in range(10):
            self.run_scenario(seed, _LateWithdrawalScenario)

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
        orders = []
        call = rig._call
        rig._call = lambda one: (orders.append(one.request), call(one))
        rig.submit("w", StepSpec(needs=SMALL, declared_run_s=1.0))
        rig.run(0.2)
        first = next(one for one in orders if isinstance(one, StartRequest))
        rig.late_order_rate = 0.0
        for _ in range(3):
            rig.restart_upstream("u0")
            rig.run(0.5)
        upstream = rig.upstreams["u0"]
        delayed = attrs.evolve(first, fencing_token=upstream.highest_token)
        self.assertEqual(Refusal.SUPERSEDED, upstream.handle(delayed).refusal)
        rig.run(20.0)
        self.assertEqual("completed", rig.find_state("w"))


class TestRunsOfEarlierIncarnations(testtools.TestCase):
    """Guards against a run that counts as over while a later incarnation has it.

    The leader repeats an unanswered start. An upstream that has crashed and restarted
    under its identity carries the repetition out before its first heartbeat. The rig
    raises if a task runs twice or starts after its acknowledged end.
    """

    def _crash_at_the_start(self, rig, work_s, count=1):
        """Let u0 crash as it is told to start tasks, and answer again after 0.1 s."""
        upstream = rig.upstreams["u0"]
        rig.run(0.5)
        upstream.unreachable = True
        step = StepSpec(count=count, needs=SMALL, declared_run_s=work_s)
        rig.submit("w", step, work_s=work_s)
        rig.run(0.1)
        rig.restart_upstream("u0", reports=False)
        rig.run(0.9)
        self.assertEqual(count, len(rig.starts))
        return upstream

    def test_run_is_stopped_whole_before_its_task_runs_again(self):
        for hides_stopping in (False, True):
            rig = Rig(upstreams=1)
            upstream = self._crash_at_the_start(rig, work_s=6.0)
            upstream.hides_stopping = hides_stopping
            rig.add_upstream("u1")
            rig.report(upstream.record)
            rig.run(3.0)
            self.assertEqual(2, len(rig.starts))
            rig.run(10.0)
            self.assertEqual("completed", rig.find_state("w"))

    def test_run_that_the_later_incarnation_has_completed_is_not_repeated(self):
        rig = Rig(upstreams=1)
        upstream = self._crash_at_the_start(rig, work_s=0.1)
        self.assertEqual(RunOutcome.DONE, upstream.ended[0].outcome)
        rig.add_upstream("u1")
        rig.report(upstream.record)
        rig.run(5.0)
        self.assertEqual("completed", rig.find_state("w"))
        self.assertEqual(1, len(rig.starts))

    def test_new_leader_does_not_repeat_a_run_of_the_later_incarnation(self):
        for is_registered in (False, True):
            rig = Rig(upstreams=1)
            upstream = self._crash_at_the_start(rig, work_s=6.0, count=4)
            rig.add_upstream("u1")
            if is_registered:
                rig.register(upstream.record)
            rig.start_term(2)
            rig.run(0.5)
            if not is_registered:
                rig.report(upstream.record)
            rig.run(15.0)
            self.assertEqual("completed", rig.find_state("w"))

    def test_task_runs_again_soon_after_a_crash_without_a_later_run(self):
        """The proof that a run is over must not cost much time."""
        rig = Rig(upstreams=2)
        step = StepSpec(count=16, needs=SMALL, declared_run_s=3.0)
        rig.submit("w", step, work_s=3.0)
        rig.run(1.0)
        lost = len(rig.upstreams["u0"].runs)
        self.assertEqual(8, lost)
        rig.upstreams["u0"].runs.clear()
        rig.restart_upstream("u0")
        rig.run(1.0)
        self.assertEqual(16 + lost, len(rig.starts))

    def test_upstream_is_not_filled_while_an_unknown_run_stops_there(self):
        """The rig raises if an upstream is over its capacity."""
        for hides_stopping in (False, True):
            rig = Rig(upstreams=1)
            upstream = rig.upstreams["u0"]
            upstream.hides_stopping = hides_stopping
            rig.has_lease = False
            rig.submit("old", StepSpec(needs=WHOLE, declared_run_s=9.0), work_s=9.0)
            start = StartRequest(
                task=TaskId("old", 0, 0, 0),
                run=1,
                payload="",
                lease_until_ms=200_000,
                fencing_token=0,
            )
            upstream.handle(start)
            rig.cancel("old")
            rig.has_lease = True
            rig.submit("w", StepSpec(needs=WHOLE, declared_run_s=1.0), work_s=1.0)
            rig.run(4.0)
            self.assertEqual("completed", rig.find_state("w"))

    def test_task_with_an_unknown_run_that_is_listed_starts_nowhere_else(self):
        rig = Rig(upstreams=2)
        upstream = rig.upstreams["u1"]
        upstream.refused_orders[StopRequest] = Refusal.UNHEALTHY
        rig.has_lease = False
        rig.submit("w", StepSpec(needs=SMALL, declared_run_s=3.0), work_s=3.0)
        start = StartRequest(
            task=TaskId("w", 0, 0, 0),
            run=1,
            payload="",
            lease_until_ms=104_000,
            fencing_token=0,
        )
        upstream.handle(start)
        rig.run(0.1)
        rig.has_lease = True
        rig.run(1.0)
        del upstream.refused_orders[StopRequest]
        rig.run(8.0)
        self.assertEqual("completed", rig.find_state("w"))


class TestStops(testtools.TestCase):
    def test_stopping_run_that_is_not_listed_counts_as_running(self):
        """The rig raises if the task starts elsewhere before the stop has ended."""
        for _ in range(2):
            rig = Rig(upstreams=2)
            for upstream in rig.upstreams.values():
                upstream.hides_stopping = True
            step = StepSpec(count=2, needs=SMALL, declared_run_s=3.0)
            rig.submit("w", step, work_s=3.0)
            rig.run(0.5)
            context = rig.dispatcher.context
            for session in context.sessions.values():
                for view in tuple(session.runs.values()):
                    rig.dispatcher._driver.stop(
                        session, view, "test", StopCause.NO_PROGRESS
                    )
            rig.run(10.0)
            self.assertEqual("completed", rig.find_state("w"))

    def test_new_leader_waits_for_a_stop_that_an_earlier_one_ordered(self):
        rig = Rig(upstreams=2)
        for upstream in rig.upstreams.values():
            upstream.hides_stopping = True
        rig.submit("w", StepSpec(needs=SMALL, declared_run_s=3.0), work_s=3.0)
        rig.run(0.5)
        start = rig.starts[0]
        stop = StopRequest(task=start.task, run=start.run, fencing_token=1)
        for upstream in rig.upstreams.values():
            upstream.handle(stop)
        rig.start_term(2)
        rig.run(10.0)
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
