"""What the replayed hardware holds, checked apart from the scheduler."""

import attrs

from tanagerpath.benchmarks.invariant import HeldRun, could_reclaim_all
from tanagerpath.benchmarks.traces import Trace
from tanagerpath.core.model import Assignment, JobRequest, UpstreamCapacity

__all__ = ["Ledger", "WrongDecision"]

GANG_ACCELERATORS = 8


class WrongDecision(Exception):
    """A scheduler gave out accelerators that it must not give out."""


@attrs.define
class Ledger:
    """Mirror of the hardware; integrates fragmentation over time.

    Fragmentation is the share of all accelerator time that is fragmented while a gang
    waits that its quota would let start. A free accelerator is fragmented if another
    one of its upstream is held, so that no gang can use it.
    """

    _trace: Trace
    _usable: dict[str, UpstreamCapacity]
    _held: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _placed: dict[str, tuple[JobRequest, Assignment]] = attrs.field(factory=dict)
    _waiting_gangs: dict[str, JobRequest] = attrs.field(factory=dict)
    usage: dict[str, int] = attrs.field(factory=dict)
    fragmented_s: float = 0.0
    free_while_waiting_s: float = 0.0
    used_s: float = 0.0
    total_s: float = 0.0
    _integrated_to_s: float = 0.0

    @classmethod
    def from_trace(cls, trace: Trace) -> "Ledger":
        """Make the ledger of an empty deployment."""
        return cls(trace, {each.upstream_id: each for each in trace.upstreams})

    def set_usable(self, upstream: UpstreamCapacity, usable: bool) -> None:
        """Note that an upstream was lost or came back."""
        if usable:
            self._usable[upstream.upstream_id] = upstream
        else:
            self._usable.pop(upstream.upstream_id, None)

    def wait(self, job_id: str, request: JobRequest) -> None:
        """Note that a job waits."""
        if request.accelerators > GANG_ACCELERATORS:
            self._waiting_gangs[job_id] = request

    def stop_waiting(self, job_id: str) -> None:
        """Note that a job waits no more."""
        self._waiting_gangs.pop(job_id, None)

    def place(self, job_id: str, request: JobRequest, assignment: Assignment) -> None:
        """Hold accelerators for a job after checking that it may have them."""
        self.stop_waiting(job_id)
        self._check_adjacency(request, assignment)
        for run in assignment.runs:
            upstream = self._usable.get(run.upstream_id)
            if upstream is None or run.first + run.count > upstream.accelerators:
                raise WrongDecision(f"{job_id} placed on unusable {run.upstream_id}")
            held = self._held.setdefault(run.upstream_id, {})
            mask = ((1 << run.count) - 1) << run.first
            if any(mask & other for other in held.values()):
                raise WrongDecision(f"{job_id} placed on held {run}")
            held[job_id] = mask
            if len(held) > upstream.slots:
                raise WrongDecision(f"{run.upstream_id} has no slot for {job_id}")
        self._placed[job_id] = (request, assignment)
        self._check_needs(assignment)
        name = request.organisation
        self.usage[name] = self.usage.get(name, 0) + assignment.accelerators
        if self.usage[name] > self._trace.deployment.quotas[name]:
            raise WrongDecision(f"organisation {name} exceeds its quota by {job_id}")

    def release(self, job_id: str) -> None:
        """Free what a job holds."""
        request, assignment = self._placed.pop(job_id)
        for run in assignment.runs:
            del self._held[run.upstream_id][job_id]
        self.usage[request.organisation] -= assignment.accelerators

    def integrate_to(self, now_s: float) -> None:
        """Add the time since the last call to the integrals."""
        step_s = now_s - self._integrated_to_s
        self._integrated_to_s = now_s
        if step_s <= 0.0:
            return
        total = sum(each.accelerators for each in self._usable.values())
        used = sum(self._count_held(name) for name in self._usable)
        self.total_s += step_s * total
        self.used_s += step_s * used
        if any(map(self._is_startable, self._waiting_gangs.values())):
            self.fragmented_s += step_s * self._count_fragmented()
            self.free_while_waiting_s += step_s * (total - used)

    def is_guarantee_kept(self) -> bool:
        """Whether all guaranteed shapes could be reclaimed at once now."""
        held = [
            HeldRun(request, run.upstream_id, run.first, run.count)
            for request, assignment in self._placed.values()
            for run in assignment.runs
        ]
        guarantees = self._trace.deployment.guarantees
        return could_reclaim_all(self._usable.values(), held, guarantees)

    def _is_startable(self, request: JobRequest) -> bool:
        name = request.organisation
        quota = self._trace.deployment.quotas[name]
        return self.usage.get(name, 0) + request.accelerators <= quota

    def _count_held(self, upstream_id: str) -> int:
        return sum(
            mask.bit_count() for mask in self._held.get(upstream_id, {}).values()
        )

    def _count_fragmented(self) -> int:
        fragmented = 0
        for name, upstream in self._usable.items():
            held = self._count_held(name)
            if held:
                fragmented += upstream.accelerators - held
        return fragmented

    def _check_adjacency(self, request: JobRequest, assignment: Assignment) -> None:
        if assignment.accelerators < request.accelerators:
            raise WrongDecision(f"too few accelerators for {request.key}")
        if request.accelerators <= GANG_ACCELERATORS:
            if len(assignment.runs) != 1:
                raise WrongDecision(f"{request.key} is split")
            return
        capacities = {each.upstream_id: each for each in self._trace.upstreams}
        members = [capacities[name] for name in assignment.upstream_ids]
        places = [
            (each.location.availability_zone, each.location.rack) for each in members
        ]
        positions = [each.location.position for each in members]
        expected = list(range(positions[0], positions[0] + len(positions)))
        if len(set(places)) != 1 or positions != expected:
            raise WrongDecision(f"{request.key} is not on neighbouring upstreams")

    def _check_needs(self, assignment: Assignment) -> None:
        for name in assignment.upstream_ids:
            upstream = self._usable[name]
            requests = [self._placed[job_id][0] for job_id in self._held[name]]
            cores = sum(each.cores for each in requests)
            memory = sum(each.memory_bytes for each in requests)
            if cores > upstream.cores or memory > upstream.memory_bytes:
                raise WrongDecision(f"{name} lacks cores or memory")
