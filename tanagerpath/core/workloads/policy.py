"""Interface of the policy that decides which task runs where, and what it works on."""

import abc
import enum
from collections import Counter

import attrs

from tanagerpath.core.workloads.configuration import Queue
from tanagerpath.core.workloads.estimates import RunEstimates
from tanagerpath.core.workloads.health import UpstreamHealth
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.sessions import (
    WHOLE_PERCENT,
    ProgressMark,
    RunView,
    UpstreamSession,
)
from tanagerpath.core.workloads.specs import StepKey, StepSpec, TaskId

__all__ = [
    "ClaimCause",
    "Eviction",
    "FleetView",
    "Placement",
    "Plan",
    "PlanUnit",
    "PreemptionHistory",
    "RoomClaim",
    "WorkloadPolicy",
]

MIN_RUN_S = 0.05
# A caller counts a workload as late up to this many times its objective.
LATE_MULTIPLE = 3.0


@attrs.frozen(kw_only=True, eq=False)
class PlanUnit:
    """Tasks of one step of one occurrence that wait for a place.

    Attributes
    ----------
    record : WorkloadRecord
        Their workload.
    queue : Queue
        Terms of its queue.
    occurrence, step : int
        Where they belong.
    indexes : tuple of int
        The waiting tasks; all tasks of the step for a gang.
    begun_unix_s : float
        Instant in UTC seconds from which the caller counts.
    objective_s : float
        Seconds from there within which the workload is on time.
    left_s : float
        Seconds of work that are left on the longest chain.
    is_guaranteed : bool
        Whether the guarantee of its organisation covers it.
    avoided : frozenset of str
        Upstreams on which a task of the unit has failed.
    is_last_attempt : bool
        Whether one more failure ends the workload.
    tickets : dict of str to str or None
        Tickets by upstream; None if no ticket is needed.
    """

    record: WorkloadRecord
    queue: Queue
    occurrence: int
    step: int
    indexes: tuple[int, ...]
    begun_unix_s: float
    objective_s: float
    left_s: float
    is_guaranteed: bool = False
    avoided: frozenset[str] = frozenset()
    is_last_attempt: bool = False
    tickets: dict[str, str] | None = None

    @property
    def spec(self) -> StepSpec:
        """The step."""
        return self.record.spec.steps[self.step]

    @property
    def place(self) -> StepKey:
        """Names the occurrence of the step."""
        return StepKey(self.record.workload_id, self.occurrence, self.step)

    @property
    def step_key(self) -> tuple[str, int]:
        """Names the step for estimates."""
        return self.record.workload_id, self.step

    def make_task_id(self, index: int) -> TaskId:
        """Return the identity of a task of the unit."""
        return TaskId(self.record.workload_id, self.occurrence, self.step, index)


class ClaimCause(enum.StrEnum):
    """Why a unit may stop other runs.

    GUARANTEED: the guarantee of its organisation covers it. LATE: it would be late on
    the upstreams that have room. NO_ROOM: it has no place at all.
    """

    GUARANTEED = "guaranteed"
    LATE = "late"
    NO_ROOM = "no room"


@attrs.define(eq=False, kw_only=True)
class RoomClaim:
    """Upstreams on which a unit is to get room, by stopping other runs.

    Attributes
    ----------
    unit : PlanUnit
        The claimant.
    cause : ClaimCause
        Why it may stop other runs.
    tasks : dict of str to int
        Tasks of it that each upstream is to take.
    is_useless : bool
        Whether it can no longer end within the multiple of its objective that counts.
    work_cores_s : float
        Core seconds of its own work.
    lost_cores_s : float
        Core seconds of work that the stops throw away.
    victims : int
        Runs that are stopped.
    """

    unit: PlanUnit
    cause: ClaimCause
    tasks: dict[str, int]
    is_useless: bool = False
    work_cores_s: float = 0.0
    lost_cores_s: float = 0.0
    victims: int = 0


@attrs.define(eq=False)
class PreemptionHistory:
    """Stops for room, and the claims that they were made for.

    Attributes
    ----------
    open_claims : dict of StepKey to RoomClaim
        Claims whose units have not begun.
    claims : Counter
        Claims that were made for each occurrence of a step.
    stops : Counter
        How often a task was stopped for room.
    """

    open_claims: dict[StepKey, RoomClaim] = attrs.Factory(dict)
    claims: Counter[StepKey] = attrs.Factory(Counter)
    stops: Counter[TaskId] = attrs.Factory(Counter)


@attrs.frozen(kw_only=True, eq=False)
class FleetView:
    """What a policy may look at.

    Attributes
    ----------
    now_s, unix_s : float
        Instant on the leader's steady clock and in UTC seconds.
    sessions : tuple of UpstreamSession
        All known upstreams.
    health : dict of str to UpstreamHealth
        Health by upstream.
    estimates : RunEstimates
        Learned run times.
    remote_factor : float
        How many times longer a task takes away from its rack.
    checkpoint_interval_s : float
        Seconds of work between two checkpoints.
    preemption : PreemptionHistory
        Stops for room so far, and open claims.
    """

    now_s: float
    unix_s: float
    sessions: tuple[UpstreamSession, ...]
    health: dict[str, UpstreamHealth]
    estimates: RunEstimates
    remote_factor: float = 3.0
    checkpoint_interval_s: float = 1.0
    preemption: PreemptionHistory = attrs.Factory(PreemptionHistory)
    _work_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)

    def find_waited_s(self, unit: PlanUnit) -> float:
        """Return the seconds since the instant from which the caller counts."""
        return max(self.unix_s - unit.begun_unix_s, 0.0)

    def is_useless(self, unit: PlanUnit) -> bool:
        """Return whether a unit would end too late for its caller to count it."""
        end_s = self.find_waited_s(unit) + unit.left_s
        return end_s > LATE_MULTIPLE * unit.objective_s

    def predict_cores_s(self, unit: PlanUnit) -> float:
        """Return the core seconds of work of a unit."""
        cores = len(unit.indexes) * unit.spec.needs.weighted_cores
        return cores * self.predict_work_s(unit)

    def predict_work_s(self, unit: PlanUnit) -> float:
        """Return the seconds that a task of a unit takes at speed 1."""
        work_s = self._work_s.get(unit.step_key)
        if work_s is None:
            work_s = self._work_s[unit.step_key] = self.estimates.predict_work_s(
                unit.step_key, unit.queue.name, unit.spec.declared_run_s
            )
        return work_s

    def predict_run_s(self, unit: PlanUnit, session: UpstreamSession) -> float:
        """Return the seconds that a task of a unit takes on an upstream."""
        spec = unit.spec
        run_s = self.predict_work_s(unit) / self.estimates.find_speed(
            session.upstream_id
        )
        if spec.preferred_rack and spec.preferred_rack != session.record.rack:
            run_s *= self.remote_factor
        return max(run_s, MIN_RUN_S)

    def predict_left_s(self, view: RunView, session: UpstreamSession) -> float:
        """Return the seconds until a run ends by itself."""
        if view.running_since_s is None:
            return self.predict_whole_s(view, session)
        progress = ProgressMark(view.progress_s, view.percent)
        whole_s = view.find_whole_s(progress)
        if whole_s is None:
            worked_s = self.now_s - view.running_since_s
            return max(self.predict_whole_s(view, session) - worked_s, MIN_RUN_S)
        left_s = whole_s * (WHOLE_PERCENT - view.percent) / WHOLE_PERCENT
        return max(left_s - (self.now_s - view.progress_s), MIN_RUN_S)

    def predict_whole_s(self, view: RunView, session: UpstreamSession) -> float:
        """Return the seconds that a run takes from its begin to its end."""
        step = (view.task.workload_id, view.task.step)
        work_s = self.estimates.predict_work_s(
            step, view.queue, view.spec.declared_run_s
        )
        return work_s / self.estimates.find_speed(session.upstream_id)


@attrs.frozen(eq=False)
class Placement:
    """A task of a unit gets a place."""

    unit: PlanUnit
    index: int
    session: UpstreamSession


@attrs.frozen(eq=False)
class Eviction:
    """A run has to make room for a unit; `lost_cores_s` of its work are lost."""

    session: UpstreamSession
    view: RunView
    unit: PlanUnit
    lost_cores_s: float = 0.0


@attrs.define(eq=False)
class Plan:
    """What a policy has decided."""

    placements: list[Placement] = attrs.Factory(list)
    evictions: list[Eviction] = attrs.Factory(list)
    claims: list[RoomClaim] = attrs.Factory(list)
    blocked: list[PlanUnit] = attrs.Factory(list)


class WorkloadPolicy(abc.ABC):
    """Decides which waiting tasks start where, and which runs make room."""

    @abc.abstractmethod
    def plan(self, units: list[PlanUnit], fleet: FleetView) -> Plan:
        """Return what starts and what stops now.

        Parameters
        ----------
        units : list of PlanUnit
            Everything that waits, in any order.
        fleet : FleetView
            Upstreams and what is known of them.

        Returns
        -------
        Plan
            Placements never take more than the room of an upstream, and a gang is
            placed whole or not at all.
        """
