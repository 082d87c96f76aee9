"""Helpers for tests in which upstreams are silent for a while."""

from tanagerpath.core.coordination import Propose
from tanagerpath.core.workloads.events import CommandRecorded
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(8_000, 16_000, 1)
WHOLE = Resources(8_000, 16_000, 8)
# From the last contact until the lease counts as expired.
LEASE_S = 10.1


def make_step(count=1, needs=SMALL, **fields):
    return StepSpec(count=count, needs=needs, declared_run_s=1.0, **fields)


def cut(rig, *names):
    for name in names:
        rig.upstreams[name].unreachable = True


def join(rig, *names):
    for name in names:
        rig.upstreams[name].unreachable = False


def find_host(rig):
    """Return the upstream that has a run, and the other one."""
    host = next(name for name, up in rig.upstreams.items() if up.runs)
    other = next(name for name in rig.upstreams if name != host)
    return host, other


def list_runs(rig, workload_id):
    """Return the run numbers of all starts of a workload."""
    return [one.run for one in rig.starts if one.task.workload_id == workload_id]


class SlowLogRig(Rig):
    """A rig whose log commits commands after a delay."""

    commit_delay_s = 0.0

    def _handle(self, *events):
        for effect in self.dispatcher.handle(list(events), self.instant):
            match effect:
                case Propose(command):
                    self._schedule(self.commit_delay_s, ("commit", command, None))
                case _:
                    self._carry_out(effect)

    def _deliver(self, delivery):
        kind, command, _ = delivery
        if kind != "commit":
            return super()._deliver(delivery)
        self.index += 1
        return CommandRecorded(command, self.state.apply(self.index, command))
