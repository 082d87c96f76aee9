"""Interface of the placement policy, and the data that it works on."""

import abc
import enum
import functools
import math
from collections import Counter

import attrs

from tanagerpath.core.workloads.availability import list_protected_runs
from tanagerpath.core.workloads.configuration import Queue
from tanagerpath.core.workloads.estimates import RunEstimates
from tanagerpath.core.workloads.health import UpstreamHealth
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import (
    COMPLETED_PERCENT,
    ProgressSample,
    RunKey,
    RunView,
)
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import StepKey, StepSpec, TaskId

__all__ = [
    "CapacityClaim",
    "ClaimCause",
    "Eviction",
    "FleetView",
    "Placement",
    "Plan",
    "PlanUnit",
    "PreemptionHistory",
    "Reservation",
    "WorkloadPolicy",
]

MIN_RUN_S = 0.05
# Callers count a workload as late up to this multiple of its objective, then missed.
HARD_DEADLINE_FACTOR = 3.0


@attrs.frozen(kw_only=True, eq=False)
class PlanUnit:
    """Waiting tasks of one step of one occurrence; what a policy places.

    Attributes
    ----------
    record : WorkloadRecord
        Workload of the tasks.
    queue : Queue
        Queue of the workload.
    occurrence, step : int
        Occurrence and step that the tasks belong to.
    indexes : tuple of int
        The waiting tasks; all tasks of the step for a gang.
    arrival_s : float
        Time on the leader's monotonic clock from which the objective counts.
    objective_s : float
        Seconds after the arrival within which the workload is on time.
    critical_path_s : float
        Predicted seconds of the longest chain of steps that starts with this one.
    is_guaranteed : bool
        Whether the guarantee of the organisation covers the workload.
    avoided : frozenset of str
        Upstreams on which a task of the workload has failed.
    is_last_attempt : bool
        Whether one more failure ends the workload.
    tickets : dict of str to str or None
        Tickets by upstream; None if no ticket is needed.
    may_claim : bool
        Whether it may preempt other runs.
    is_overdue : bool
        Whether it has waited beside free capacity for so long that preferences no
        longer keep it from any upstream that would run it; see `IdleWaits`.
    """

    record: WorkloadRecord
    queue: Queue
    occurrence: int
    step: int
    indexes: tuple[int, ...]
    arrival_s: float
    objective_s: float
    critical_path_s: float
    is_guaranteed: bool = False
    avoided: frozenset[str] = frozenset()
    is_last_attempt: bool = False
    tickets: dict[str, str] | None = None
    may_claim: bool = True
    is_overdue: bool = False

    @property
    def spec(self) -> StepSpec:
        """The step."""
        return self.record.spec.steps[self.step]

    @property
    def step_key(self) -> StepKey:
        """Key of this occurrence of the step."""
        return StepKey(self.record.workload_id, self.occurrence, self.step)

    @property
    def estimate_key(self) -> tuple[str, int]:
        """Key of the step in the estimates."""
        return self.record.workload_id, self.step

    def make_task_id(self, index: int) -> TaskId:
        """Return the identity of a task of the unit."""
        return TaskId(self.record.workload_id, self.occurrence, self.step, index)


class ClaimCause(enum.StrEnum):
    """Why a unit may preempt other runs.

    GUARANTEED: the guarantee of its organisation covers it. LATE: it would miss its
    objective on the upstreams with free capacity. NO_ROOM: it fits on no upstream.
    """

    GUARANTEED = "guaranteed"
    LATE = "late"
    NO_ROOM = "no room"


@attrs.define(eq=False, kw_only=True)
class CapacityClaim:
    """Capacity that preemption frees for a unit.

    Attributes
    ----------
    unit : PlanUnit
        Unit that the capacity is for.
    cause : ClaimCause
        Why it may preempt other runs.
    tasks : dict of str to int
        Number of its tasks by upstream.
    misses_hard_deadline : bool
        Whether it can no longer end within `HARD_DEADLINE_FACTOR` objectives.
    work_cores_s : float
        Core seconds of work of the unit.
    lost_cores_s : float
        Core seconds of work that the preempted runs lose.
    victims : int
        Number of preempted runs.
    """

    unit: PlanUnit
    cause: ClaimCause
    tasks: dict[str, int]
    misses_hard_deadline: bool = False
    work_cores_s: float = 0.0
    lost_cores_s: float = 0.0
    victims: int = 0


@attrs.define(eq=False)
class PreemptionHistory:
    """Preempted tasks, and the claims that they were preempted for.

    Attributes
    ----------
    open_claims : dict of StepKey to CapacityClaim
        Claims whose capacity is neither used nor given up.
    claims : Counter
        Number of claims so far by occurrence of a step.
    stops : Counter
        Number of preemptions so far by task.
    """

    open_claims: dict[StepKey, CapacityClaim] = attrs.Factory(dict)
    claims: Counter[StepKey] = attrs.Factory(Counter)
    stops: Counter[TaskId] = attrs.Factory(Counter)


@attrs.frozen(kw_only=True, eq=False)
class FleetView:
    """Input of a policy besides the waiting units.

    Attributes
    ----------
    now_s : float
        Current time on the leader's monotonic clock.
    sessions : tuple of UpstreamSession
        All known upstreams.
    health : dict of str to UpstreamHealth
        Health by upstream.
    estimates : RunEstimates
        Learned run times.
    remote_factor : float
        Slowdown of a task that runs outside its preferred rack.
    checkpoint_interval_s : float
        Seconds of work between checkpoints.
    preemption : PreemptionHistory
        Preemptions so far and open claims.
    covered : frozenset of str
        Workloads that the guarantees of their organisations cover.
    guaranteed_start_s : float
        Seconds after its arrival within which a covered workload must have begun.
    """

    now_s: float
    sessions: tuple[UpstreamSession, ...]
    health: dict[str, UpstreamHealth]
    estimates: RunEstimates
    remote_factor: float = 3.0
    checkpoint_interval_s: float = 1.0
    preemption: PreemptionHistory = attrs.Factory(PreemptionHistory)
    covered: frozenset[str] = frozenset()
    guaranteed_start_s: float = math.inf
    _work_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)

    @functools.cached_property
    def protected_runs(self) -> frozenset[RunKey]:
        """Runs that must not be stopped; see `list_protected_runs`."""
        return list_protected_runs(self.sessions)

    def find_waited_s(self, unit: PlanUnit) -> float:
        """Return the seconds since the arrival of a unit."""
        return max(self.now_s - unit.arrival_s, 0.0)

    def misses_hard_deadline(self, unit: PlanUnit) -> bool:
        """Return whether a unit would end too late for its caller to count it."""
        end_s = self.find_waited_s(unit) + unit.critical_path_s
        return end_s > HARD_DEADLINE_FACTOR * unit.objective_s

    def predict_cores_s(self, unit: PlanUnit) -> float:
        """Return the predicted core seconds of work of a unit."""
        cores = len(unit.indexes) * unit.spec.needs.weighted_cores
        return cores * self.predict_work_s(unit)

    def predict_work_s(self, unit: PlanUnit) -> float:
        """Return the predicted run time of a task of a unit at speed 1."""
        work_s = self._work_s.get(unit.estimate_key)
        if work_s is None:
            work_s = self._work_s[unit.estimate_key] = self.estimates.predict_work_s(
                unit.estimate_key, unit.queue.name, unit.spec.declared_run_s
            )
        return work_s

    def predict_run_s(self, unit: PlanUnit, session: UpstreamSession) -> float:
        """Return the predicted run time of a task of a unit on an upstream."""
        spec = unit.spec
        run_s = self.predict_work_s(unit) / self.estimates.find_speed(
            session.upstream_id
        )
        if spec.preferred_rack and spec.preferred_rack != session.record.rack:
            run_s *= self.remote_factor
        return max(run_s, MIN_RUN_S)

    def predict_remaining_s(self, view: RunView, session: UpstreamSession) -> float:
        """Return the predicted seconds until a run completes."""
        if view.running_since_s is None:
            return self.predict_total_s(view, session)
        sample = ProgressSample(view.progress_s, view.percent)
        total_s = view.estimate_total_s(sample)
        if total_s is None:
            worked_s = self.now_s - view.running_since_s
            return max(self.predict_total_s(view, session) - worked_s, MIN_RUN_S)
        remaining_s = total_s * (COMPLETED_PERCENT - view.percent) / COMPLETED_PERCENT
        return max(remaining_s - (self.now_s - view.progress_s), MIN_RUN_S)

    def predict_total_s(self, view: RunView, session: UpstreamSession) -> float:
        """Return the predicted run time of a run from start to completion."""
        step = (view.task.workload_id, view.task.step)
        work_s = self.estimates.predict_work_s(
            step, view.queue, view.spec.declared_run_s
        )
        return work_s / self.estimates.find_speed(session.upstream_id)


@attrs.frozen(eq=False)
class Placement:
    """Start of a task of a unit on an upstream."""

    unit: PlanUnit
    index: int
    session: UpstreamSession


@attrs.frozen(eq=False)
class Eviction:
    """Preemption of a run for a unit; `lost_cores_s` of its work are lost."""

    session: UpstreamSession
    view: RunView
    unit: PlanUnit
    lost_cores_s: float = 0.0


@attrs.frozen
class Reservation:
    """Capacity that a plan keeps for a gang that does not fit yet.

    Attributes
    ----------
    step_key : StepKey
        The gang.
    from_s : float
        Time from which the capacity is kept.
    spare : dict of str to Resources
        What other work may use then, by upstream.
    """

    step_key: StepKey
    from_s: float
    spare: dict[str, Resources]


@attrs.define(eq=False)
class Plan:
    """Decisions of a policy; a unit in `blocked` has tasks that were not placed."""

    placements: list[Placement] = attrs.Factory(list)
    evictions: list[Eviction] = attrs.Factory(list)
    claims: list[CapacityClaim] = attrs.Factory(list)
    blocked: list[PlanUnit] = attrs.Factory(list)
    reservations: list[Reservation] = attrs.Factory(list)


class WorkloadPolicy(abc.ABC):
    """Decides where waiting tasks start, and which runs they preempt."""

    @abc.abstractmethod
    def plan(self, units: list[PlanUnit], fleet: FleetView) -> Plan:
        """Return the tasks to start and the runs to preempt now.

        Parameters
        ----------
        units : list of PlanUnit
            All waiting units, in any order.
        fleet : FleetView
            State of the upstreams.

        Returns
        -------
        Plan
            Placements never exceed the free capacity of an upstream, and a gang is
            placed whole or not at all.
        """

    @abc.abstractmethod
    def rank(self, units: list[PlanUnit], fleet: FleetView) -> list[PlanUnit]:
        """Return units in the order in which a plan places them."""
