"""Stand-in upstreams for replays: speeds, racks, checkpoints and failing runs."""

import collections
import math
import random

import attrs

from tanagerpath.core.control.messages import RequestArrived
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads import requests
from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.configuration import Organisation
from tanagerpath.core.workloads.dispatch_context import DispatchTerms
from tanagerpath.core.workloads.orders import OrderDone, StartRequest
from tanagerpath.core.workloads.request_handler import WorkloadRequestHandler
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec
from tanagerpath.core.workloads.tests.fake_upstream import STEP_S, FakeUpstream
from tanagerpath.core.workloads.tests.rig import Rig

__all__ = ["ReplayRig"]

# Share of all accelerators that is guaranteed to organisations.
GUARANTEED_SHARE = 0.62
# Callers return up to this long after the time that a refusal names.
MAX_RETURN_DELAY_S = 0.2


class _ReplayUpstream(FakeUpstream):
    """Resumes from checkpoints, and works slower away from data and members."""

    def _start(self, request: StartRequest) -> object:
        reply = super()._start(request)
        run = self.runs.get((request.task, request.run))
        if isinstance(reply, OrderDone) and run is not None:
            self.rig.add_member(run, self)
            if request.checkpoint and not run.worked_s:
                saved_s = float(request.checkpoint.split(":")[1])
                run.worked_s = saved_s - self.rig.restore_s * self.speed
        return reply

    def _checkpoint(self, run) -> str:
        if not run.spec.checkpointing:
            return ""
        interval_s = self.rig.checkpoint_interval_s
        saved_s = int(max(run.worked_s, 0.0) / interval_s) * interval_s
        if run.stops_at_s is not None:
            saved_s = max(run.worked_s, 0.0)
        return f"c:{saved_s:.3f}" if saved_s else ""

    def end(self, run, outcome) -> None:
        took_s = self.rig.now_s - run.began_s
        cores_s = took_s * run.spec.needs.weighted_cores
        self.rig.used_cores_s[run.task.workload_id] += cores_s
        if outcome is not RunOutcome.DONE:
            lost_s = 0.0 if run.spec.checkpointing else max(run.worked_s, 0.0)
            lost_s /= self.rig.find_rate(run, self)
            self.rig.wasted_cores_s += lost_s * run.spec.needs.weighted_cores
        self.rig.stops += outcome is RunOutcome.STOPPED
        self.rig.remove_member(run, self)
        super().end(run, outcome)

    def _percent(self, run) -> int:
        whole_s = self.rig.work_s(run.task)
        return min(max(int(run.worked_s / whole_s * 100), 0), 100)

    def _advance_run(self, run) -> None:
        is_at_work = run.stops_at_s is None
        if is_at_work and run.spec.gang:
            is_at_work = self.rig.is_gang_whole(run)
        before_s = run.worked_s
        super()._advance_run(run)
        if is_at_work and (run.task, run.run) in self.runs:
            run.worked_s = before_s + STEP_S * self.rig.find_rate(run, self)
            if self.rig.is_failing(run):
                self.end(run, RunOutcome.FAILED)


class ReplayRig(Rig):
    """A rig whose upstreams differ, for days with many runs.

    Parameters
    ----------
    seed : int
        Seed of failures and delays.
    speeds : list of float
        Speed of each upstream.
    capacity : Resources
        Room of each upstream.
    rack_size : int
        Upstreams of a rack.
    checkpoint_interval_s, restore_s : float
        Work between two checkpoints, and the time to resume from one.
    organisations : int
        Number of organisations, which have equal guarantees.
    admission : str
        Policy that decides on submitted workloads.
    """

    def __init__(
        self,
        seed,
        speeds,
        capacity,
        rack_size,
        checkpoint_interval_s,
        restore_s,
        organisations,
        admission="unlimited",
    ) -> None:
        self.organisations = tuple(f"o{number + 1}" for number in range(organisations))
        self.checkpoint_interval_s = checkpoint_interval_s
        self.restore_s = restore_s
        self.wasted_cores_s = 0.0
        self.stops = 0
        self.first_starts_s: dict[str, float] = {}
        self.fail_share: dict[str, float] = {}
        # Core seconds of all ended runs, also useless ones, by workload.
        self.used_cores_s: collections.Counter[str] = collections.Counter()
        # Draws what the upstreams' own draws must not depend on.
        self._retry_random = random.Random(seed)
        self._members: dict[tuple, list] = {}
        self._capacity = capacity
        self._speeds = speeds
        terms = DispatchTerms(
            checkpoint_interval_s=checkpoint_interval_s, admission=admission
        )
        super().__init__(0, seed, terms)
        for number, speed in enumerate(speeds):
            self._add(number, number // rack_size, speed)

    def _add(self, number: int, rack: int, speed: float) -> None:
        name = f"u{number:02d}"
        fake = _ReplayUpstream(self, name, f"r{rack}", speed)
        fake.record = attrs.evolve(fake.record, capacity=self._capacity)
        self.upstreams[name] = fake
        self.register(fake.record)

    def make_organisations(self) -> tuple[Organisation, ...]:
        """Return organisations that share most of the accelerators."""
        whole = sum(self._capacity.accelerators for _ in self._speeds)
        each = int(whole * GUARANTEED_SHARE / len(self.organisations))
        return tuple(
            Organisation(
                name=name, api_keys=(name,), guaranteed=Resources(accelerators=each)
            )
            for name in self.organisations
        )

    def record_start(self, upstream, request) -> None:
        """Note a start, and the first one of a workload."""
        super().record_start(upstream, request)
        self.first_starts_s.setdefault(request.task.workload_id, self.now_s)

    # Submissions

    def start_term(self, term: int) -> None:
        """Start a new term, with a request handler of its own."""
        super().start_term(term)
        self._handler = WorkloadRequestHandler(
            self.state, self.dispatcher, "10.0.0.1:1", tuple
        )

    def offer(
        self, workload_id: str, step: StepSpec, queue: str, organisation: str
    ) -> float | None:
        """Submit a workload like a caller.

        Returns
        -------
        float or None
            Time at which the caller returns after a refusal, None without one.
        """
        spec = WorkloadSpec(workload_id=workload_id, steps=(step,))
        call = requests.Call("h", f"/{queue}/{workload_id}", organisation)
        arrived = RequestArrived(1, requests.SubmitWorkload(call, spec))
        reply, proposals = self._handler.handle(arrived, self.instant)
        for proposal in proposals:
            applied = self.apply(proposal.command)
            for sent in proposal.answer(applied, self.state):
                reply = sent.reply
        if not isinstance(reply, ErrorBody):
            return None
        retry_after_s = math.ceil(reply.retry_at_unix_s - self.instant.unix_s)
        delay_s = self._retry_random.uniform(0.0, MAX_RETURN_DELAY_S)
        return self.now_s + retry_after_s + delay_s

    # Gangs

    def _find_key(self, run) -> tuple:
        return attrs.evolve(run.task, index=0), run.run

    def add_member(self, run, upstream) -> None:
        """Note that a member of a gang runs."""
        members = self._members.setdefault(self._find_key(run), [])
        if not any(held is run for held, _ in members):
            members.append((run, upstream))

    def remove_member(self, run, upstream) -> None:
        """Note that a member of a gang has ended."""
        key = self._find_key(run)
        members = [one for one in self._members.get(key, ()) if one[0] is not run]
        self._members[key] = members

    def _gang_runs(self, run) -> list:
        return [held for held, _ in self._members.get(self._find_key(run), ())]

    def find_rate(self, run, upstream) -> float:
        """Return the seconds of work that a run gets done in a second."""
        spec = run.spec
        members = [upstream]
        if spec.gang:
            held = self._members.get(self._find_key(run), ())
            members = [other for _, other in held] or members
        rate = min(one.speed for one in members)
        racks = {one.record.rack for one in members}
        is_remote = bool(spec.preferred_rack) and racks != {spec.preferred_rack}
        if is_remote or (spec.same_rack and len(racks) > 1):
            rate /= self.terms.remote_factor
        return rate

    def is_failing(self, run) -> bool:
        """Draw whether a run fails in this step of time."""
        share = self.fail_share.get(run.task.workload_id, 0.0)
        steps = self.work_s(run.task) / STEP_S
        members = run.spec.count if run.spec.gang else 1
        return self.random.random() < share / steps / members
