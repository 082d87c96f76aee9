"""Guards the replicated state against stale versions, duplicates and lost data."""

import attrs
import testtools

from tanagerpath.codecs.state import JsonFleetCodec
from tanagerpath.core.workloads import FleetState, commands
from tanagerpath.core.workloads.commands import RunEnd, RunOutcome, RunStart
from tanagerpath.core.workloads.configuration import (
    Configuration,
    Organisation,
    Pool,
    Queue,
)
from tanagerpath.core.workloads.failures import (
    InvalidConfiguration,
    InvalidWorkload,
    UnknownKey,
    UnknownQueue,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import (
    MAX_TASKS,
    StepSpec,
    TaskId,
    WorkloadSpec,
)

QUEUE = Queue(name="q", host="h", prefix="/q/", pool="sort", max_attempts=2)
CONFIGURATION = Configuration(
    version=3,
    queues=(QUEUE,),
    pools=(Pool(name="sort"),),
    organisations=(
        Organisation(name="o1", api_keys=("k1",)),
        Organisation(name="o2", api_keys=("k2",)),
    ),
)
UPSTREAM = commands.UpstreamRecord(
    upstream_id="u", incarnation="u@1", pool="sort", address="10.0.0.1:80"
)


def _task(index, step=0, workload_id="w"):
    return TaskId(workload_id, 0, step, index)


class StateCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = FleetState()
        self.index = 0
        self.apply(commands.PutConfiguration(CONFIGURATION))
        self.apply(commands.RegisterUpstream(UPSTREAM))

    def apply(self, command):
        self.index += 1
        return self.state.apply(self.index, command)

    def accept(self, *steps, workload_id="w"):
        spec = WorkloadSpec(workload_id=workload_id, steps=steps)
        return self.apply(
            commands.AcceptWorkload(
                spec=spec, queue="q", organisation="o1", accepted_at_unix_s=1.0
            )
        )

    def start(self, index, run=1, step=0):
        start = RunStart(_task(index, step), run, "u", "u@1")
        return self.apply(commands.RecordRuns(starts=(start,))).starts

    def end(self, index, run=1, outcome=RunOutcome.DONE, step=0):
        end = RunEnd(_task(index, step), run, outcome)
        return self.apply(commands.RecordRuns(ends=(end,), at_unix_s=9.0)).ended_ids

    def find_state(self):
        return str(self.state.workloads["w"].state)


class TestConfigurations(StateCase):
    def test_only_a_higher_version_takes_effect(self):
        for version in (3, 2):
            other = attrs.evolve(CONFIGURATION, version=version, queues=())
            applied = self.apply(commands.PutConfiguration(other))
            self.assertFalse(applied.changed)
            self.assertEqual(CONFIGURATION, self.state.configuration)
        newer = attrs.evolve(CONFIGURATION, version=9, queues=())
        self.assertTrue(self.apply(commands.PutConfiguration(newer)).changed)

    def test_removed_queue_is_kept_until_its_workloads_end(self):
        self.accept(StepSpec())
        self.apply(
            commands.PutConfiguration(attrs.evolve(CONFIGURATION, version=4, queues=()))
        )
        self.assertEqual("sort", self.state.find_queue("q").pool)
        self.apply(commands.CancelWorkload("w", 2.0))
        self.apply(
            commands.PutConfiguration(attrs.evolve(CONFIGURATION, version=5, queues=()))
        )
        self.assertIsNone(self.state.find_queue("q"))

    def test_invalid_configurations_are_refused(self):
        same_route = attrs.evolve(QUEUE, name="q2")
        shared = (
            Organisation(name="o1", api_keys=("k1",)),
            Organisation(name="o2", api_keys=("k1",)),
        )
        cases = [
            {"queues": (attrs.evolve(QUEUE, pool="none"),)},
            {"queues": (attrs.evolve(QUEUE, timeout_s=0.0),)},
            {"queues": (QUEUE, same_route)},
            {"organisations": shared},
        ]
        for changes in cases:
            fault = attrs.evolve(CONFIGURATION, **changes).find_fault()
            self.assertIsInstance(fault, InvalidConfiguration, changes)
        self.assertIsNone(CONFIGURATION.find_fault())

    def test_calls_are_identified_by_host_longest_prefix_and_key(self):
        longer = attrs.evolve(QUEUE, name="q2", prefix="/q/deep/", public=True)
        configuration = attrs.evolve(CONFIGURATION, queues=(QUEUE, longer))
        cases = [
            ("H", "/q/1", "k1", ("q", "o1")),
            ("h", "/q/deep/1", "k2", ("q2", "o2")),
            ("h", "/q/deep/1", "nobody", ("q2", "")),
            ("h", "/q/1", "nobody", UnknownKey),
            ("h", "/q/1", "", UnknownKey),
            ("h", "/other/1", "k1", UnknownQueue),
            ("other", "/q/1", "k1", UnknownQueue),
        ]
        for host, path, key, expected in cases:
            found = configuration.identify(host, path, key)
            if isinstance(expected, tuple):
                self.assertEqual(expected, (found[0].name, found[1]))
            else:
                self.assertIsInstance(found, expected)


class TestWorkloads(StateCase):
    def test_accepting_a_workload_is_idempotent(self):
        self.assertTrue(self.accept(StepSpec(count=2)).changed)
        self.assertFalse(self.accept(StepSpec(count=5)).changed)
        self.assertEqual(2, self.state.workloads["w"].spec.steps[0].count)

    def test_invalid_workloads_are_refused(self):
        cases = [
            (),
            (StepSpec(count=0),),
            (StepSpec(count=MAX_TASKS + 1),),
            (StepSpec(), StepSpec(depends_on=(1,))),
            (StepSpec(depends_on=(-1,)),),
        ]
        for steps in cases:
            fault = WorkloadSpec(workload_id="w", steps=steps).find_fault()
            self.assertIsInstance(fault, InvalidWorkload, steps)

    def test_workload_is_completed_with_its_last_task(self):
        self.accept(StepSpec(count=2))
        self.assertEqual("queued", self.find_state())
        self.start(0)
        self.start(1)
        self.assertEqual((), self.end(0))
        self.assertEqual("running", self.find_state())
        self.assertEqual(("w",), self.end(1))
        self.assertEqual("completed", self.find_state())

    def test_end_of_one_gang_member_completes_the_gang(self):
        self.accept(StepSpec(count=3, gang=True))
        for index in range(3):
            self.start(index)
        self.assertEqual(("w",), self.end(1))

    def test_failed_runs_of_a_gang_count_once(self):
        self.accept(StepSpec(count=2, gang=True))
        for run in (1, 2):
            for index in range(2):
                self.start(index, run)
            ended = self.end(0, run, RunOutcome.FAILED)
            self.end(1, run, RunOutcome.FAILED)
        self.assertEqual(("w",), ended)
        self.assertEqual("failed", self.find_state())

    def test_only_failures_count_as_attempts(self):
        self.accept(StepSpec())
        for run, outcome in enumerate(RunOutcome, start=1):
            if outcome not in (RunOutcome.DONE, RunOutcome.FAILED):
                self.start(0, run)
                self.end(0, run, outcome)
        self.assertEqual("running", self.find_state())

    def test_outdated_starts_are_not_recorded(self):
        self.accept(StepSpec(count=3))
        self.start(0)
        self.end(0)
        self.assertEqual((), self.start(0, run=2))
        self.start(1, run=2)
        self.assertEqual((), self.start(1, run=2))
        self.apply(commands.RegisterUpstream(attrs.evolve(UPSTREAM, incarnation="u@2")))
        self.assertEqual((), self.start(2))
        self.apply(commands.CancelWorkload("w", 2.0))
        self.assertEqual((), self.start(2))

    def test_end_of_an_unknown_run_changes_nothing(self):
        self.accept(StepSpec())
        self.start(0)
        self.end(0, run=7, outcome=RunOutcome.DONE)
        self.assertEqual("running", self.find_state())

    def test_ended_workload_expires_only_without_open_runs(self):
        self.accept(StepSpec())
        self.start(0)
        self.apply(commands.CancelWorkload("w", 2.0))
        self.apply(commands.ExpireWorkloads(100.0))
        self.assertIn("w", self.state.workloads)
        self.end(0, outcome=RunOutcome.STOPPED)
        self.apply(commands.ExpireWorkloads(100.0))
        self.assertNotIn("w", self.state.workloads)


class TestSnapshots(StateCase):
    def test_snapshot_restores_everything(self):
        self.accept(
            StepSpec(count=2, needs=Resources(1, 2, 3)),
            StepSpec(count=2, gang=True, depends_on=(0,)),
        )
        self.start(0)
        self.end(0)
        self.start(1)
        self.start(0, step=1)
        self.end(0, outcome=RunOutcome.FAILED, step=1)
        self.apply(
            commands.DeclareWave(
                wave=1, vm_ids=("m",), due_at_unix_s=5.0, most_at_once=1
            )
        )
        codec = JsonFleetCodec()
        text = codec.encode_snapshot(self.state.make_snapshot())
        restored = FleetState.from_snapshot(codec.decode_snapshot(text))
        self.assertEqual(self.state.workloads, restored.workloads)
        self.assertEqual(self.state.make_snapshot(), restored.make_snapshot())

    def test_commands_round_trip_through_the_codec(self):
        codec = JsonFleetCodec()
        cases = [
            commands.PutConfiguration(CONFIGURATION),
            commands.RegisterUpstream(UPSTREAM),
            commands.RecordRuns(
                starts=(RunStart(_task(0), 1, "u", "u@1"),),
                ends=(RunEnd(_task(1), 1, RunOutcome.LOST, "c"),),
                at_unix_s=1.5,
            ),
        ]
        for command in cases:
            text = codec.encode_command(command)
            self.assertEqual(command, codec.decode_command(text))
