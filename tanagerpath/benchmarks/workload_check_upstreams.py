"""Upstreams of the workload check, which record what happens to each run."""

import random
from collections import Counter
from collections.abc import Callable

import attrs

from tanagerpath.benchmarks.workload_check_events import (
    EndAcknowledged,
    RunEnded,
    RunKilled,
    RunStarted,
)
from tanagerpath.benchmarks.workload_check_history import History
from tanagerpath.core.coordination import CallUpstream
from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.orders import HoldReply, HoldRequest, StopRequest
from tanagerpath.core.workloads.specs import StepKey, StepSpec, TaskId, WorkloadSpec
from tanagerpath.core.workloads.tests.fake_upstream import (
    MS_PER_S,
    STEP_S,
    FakeRun,
    FakeUpstream,
)

__all__ = ["UNIX_OFFSET_S", "ZONES", "CheckedUpstream", "Fleet", "UpstreamTraits"]

# UTC seconds at the virtual instant 0.
UNIX_OFFSET_S = 1.7e9
RACK_SIZE = 4
ZONES = ("a", "b", "c")


@attrs.frozen(kw_only=True)
class UpstreamTraits:
    """What stays with the machine of an upstream.

    Attributes
    ----------
    address, vm_id, rack, zone : str
        Its address, VM, rack and availability zone.
    clock_rate : float
        Speed of its monotonic clock.
    stop_s : float
        Seconds that a stop takes.
    hides_stopping : bool
        Whether it does not list a run while it stops.
    """

    address: str
    vm_id: str
    rack: str
    zone: str
    clock_rate: float = 1.0
    stop_s: float = 0.0
    hides_stopping: bool = False

    @classmethod
    def draw(
        cls, source: random.Random, number: int, stop_timeout_s: float
    ) -> "UpstreamTraits":
        """Draw the traits of a machine; a stop ends within `stop_timeout_s`."""
        return cls(
            address=f"10.1.0.{number + 1}:80",
            vm_id=f"machine-{number}",
            rack=f"r{number // RACK_SIZE}",
            zone=ZONES[number % len(ZONES)],
            clock_rate=1.0 - source.choice((0.0, 0.005, 0.01, 0.02)),
            stop_s=source.uniform(0.0, stop_timeout_s - 2 * STEP_S),
            hides_stopping=source.random() < 0.5,
        )


class CheckedUpstream(FakeUpstream):
    """One incarnation of an upstream.

    Parameters
    ----------
    fleet : Fleet
        The fleet that it belongs to.
    name : str
        Its identity, which an earlier incarnation may have had.
    traits : UpstreamTraits
        Its machine.
    """

    def __init__(self, fleet: "Fleet", name: str, traits: UpstreamTraits) -> None:
        super().__init__(fleet, name, traits.rack)
        self.traits = traits
        self.hides_stopping = traits.hides_stopping
        self.started_s = fleet.now_s
        born_unix_ms = int((UNIX_OFFSET_S + fleet.now_s) * MS_PER_S)
        self.record = attrs.evolve(
            self.record,
            incarnation=f"{name}@{born_unix_ms}",
            born_unix_ms=born_unix_ms,
            address=traits.address,
            vm_id=traits.vm_id,
            availability_zone=traits.zone,
        )
        self.sequence = 0
        self.ends: dict[int, RunEnded] = {}
        self.call: CallUpstream | None = None
        self.call_sent_s = 0.0
        self._busy_expiry_number = 0
        self._silences = 0

    @property
    def clock_ms(self) -> int:
        """Reading of its monotonic clock, which may run slow."""
        passed_s = self.rig.now_s - self.started_s
        return int(passed_s * MS_PER_S * self.traits.clock_rate)

    def carry_out(self, call: CallUpstream, sent_s: float) -> object:
        """Handle a call that was sent at `sent_s` and return the reply."""
        self.call, self.call_sent_s = call, sent_s
        return self.handle(call.request)

    def silence(self) -> None:
        """Make it unreachable; silences may overlap."""
        self._silences += 1
        self.unreachable = True

    def end_silence(self) -> None:
        """Take back one silence."""
        self._silences = max(self._silences - 1, 0)
        self.unreachable = self._silences > 0

    def heal(self) -> None:
        """Take back all silences."""
        self._silences = 0
        self.unreachable = False

    def has_end_after(self, cursor: int) -> bool:
        """Return whether it lists an end with a higher number."""
        return any(end.number > cursor for end in self.ended)

    def list_runs(self) -> HoldReply:
        """Return its lists without acknowledging an end or extending the lease."""
        request = HoldRequest(
            fencing_token=self.highest_token, end_cursor=0, lease_until_ms=None
        )
        return super()._hold(request)

    def _hold(self, request: HoldRequest) -> HoldReply:
        for end in self.ended:
            if end.number <= request.end_cursor:
                self._note_acknowledged(self.ends[end.number])
        return super()._hold(request)

    def _note_acknowledged(self, end: RunEnded) -> None:
        self.rig.history.add(
            EndAcknowledged,
            task=end.task,
            run=end.run,
            end=end,
            is_lease_expired=end.number <= self.lapsed_end_number,
            is_busy_lease_expired=end.number <= self._busy_expiry_number,
        )

    def _stop(self, request: StopRequest) -> object:
        run = self.runs.get((request.task, request.run))
        is_first = run is not None and run.stops_at_s is None
        reply = super()._stop(request)
        if is_first:
            run.stops_at_s = self.rig.now_s + self.traits.stop_s
        return reply

    def end(self, run: FakeRun, outcome: RunOutcome) -> None:
        """End a run and number its end."""
        super().end(run, outcome)
        self.ends[self.end_count] = self.rig.history.add(
            RunEnded,
            task=run.task,
            run=run.run,
            incarnation=self.record.incarnation,
            number=self.end_count,
            outcome=outcome,
        )

    def advance(self) -> None:
        """Advance the runs by one step, and end them if the lease has expired."""
        if self.runs and self.clock_ms > self.lease_until_ms:
            self._busy_expiry_number = self.end_count
        super().advance()


class Fleet:
    """The upstreams and the work of their runs, as `FakeUpstream` expects its rig.

    Parameters
    ----------
    history : History
        Receives the events of the runs.
    read_clock : callable
        Returns the virtual time in seconds.
    """

    def __init__(self, history: History, read_clock: Callable[[], float]) -> None:
        self.history = history
        self._read_clock = read_clock
        self.upstreams: dict[str, CheckedUpstream] = {}
        self.incarnations: dict[str, CheckedUpstream] = {}
        self.specs: dict[str, WorkloadSpec] = {}
        self.work: dict[str, float] = {}
        self.failures_left: Counter[str] = Counter()
        self._finished_gangs: set[tuple[StepKey, int]] = set()
        self._broken_gangs: set[tuple[StepKey, int]] = set()
        self._names = 0

    def add(self, traits: UpstreamTraits, name: str = "") -> CheckedUpstream:
        """Start an upstream, under a new identity unless a name is given."""
        if not name:
            self._names += 1
            name = f"u{self._names}"
        upstream = CheckedUpstream(self, name, traits)
        self.upstreams[name] = upstream
        self.incarnations[upstream.record.incarnation] = upstream
        return upstream

    def crash(self, upstream: CheckedUpstream) -> None:
        """End the process of an upstream, and all its runs."""
        del self.upstreams[upstream.record.upstream_id]
        for run in upstream.runs.values():
            self.history.add(
                RunKilled,
                task=run.task,
                run=run.run,
                incarnation=upstream.record.incarnation,
            )

    def find_by_address(self, address: str) -> CheckedUpstream | None:
        """Return the upstream at an address, None while it is down."""
        for upstream in self.upstreams.values():
            if upstream.record.address == address:
                return upstream
        return None

    def list_runs_of(self, task: TaskId) -> list[CheckedUpstream]:
        """Return the upstreams that run a task, one entry for each run."""
        return [
            upstream
            for upstream in self.upstreams.values()
            for run in upstream.runs.values()
            if run.task == task
        ]

    def advance(self) -> None:
        """Advance all upstreams by one step."""
        for upstream in tuple(self.upstreams.values()):
            upstream.advance()

    # Called by FakeUpstream

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return self._read_clock()

    @property
    def failing_workloads(self) -> set[str]:
        """Workloads whose next runs fail."""
        return {name for name, left in self.failures_left.items() if left > 0}

    def work_s(self, task: TaskId) -> float:
        """Return the seconds of work of a task."""
        return self.work[task.workload_id]

    def find_step(self, task: TaskId) -> StepSpec:
        """Return the step of a task."""
        return self.specs[task.workload_id].steps[task.step]

    def is_gang_whole(self, run: FakeRun) -> bool:
        """Return whether all members of a run of a gang are present."""
        members = {
            other.task
            for upstream in self.upstreams.values()
            for other in upstream.runs.values()
            if other.run == run.run and other.task.step_key == run.task.step_key
        }
        return len(members) == run.spec.count

    def is_gang_finished(self, run: FakeRun) -> bool:
        """Return whether a member of a run of a gang has ended as done."""
        return (run.task.step_key, run.run) in self._finished_gangs

    def is_gang_broken(self, run: FakeRun) -> bool:
        """Return whether a member of a run of a gang has ended otherwise."""
        return (run.task.step_key, run.run) in self._broken_gangs

    def record_start(self, upstream: CheckedUpstream, request: object) -> None:
        """Record that an upstream has begun a run."""
        self.history.add(
            RunStarted,
            task=request.task,
            run=request.run,
            incarnation=upstream.record.incarnation,
            ordered_of=upstream.call.incarnation,
            fencing_token=request.fencing_token,
            delay_s=self.now_s - upstream.call_sent_s,
        )

    def record_end(self, run: FakeRun, outcome: RunOutcome) -> None:
        """Update the gang of a run that has ended."""
        if outcome is RunOutcome.FAILED:
            self.failures_left[run.task.workload_id] -= 1
        if run.spec.gang:
            is_done = outcome is RunOutcome.DONE
            gangs = self._finished_gangs if is_done else self._broken_gangs
            gangs.add((run.task.step_key, run.run))

    def record_acknowledged_end(self, end: object) -> None:
        """Do nothing; `CheckedUpstream` records more of an acknowledgement."""
