"""Seeded load on a small fleet in virtual time, through the decision on admission."""

import collections
import enum
import heapq
import math
import random

import attrs

from tanagerpath.core.control import RequestArrived
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.workloads import DispatchTerms, requests
from tanagerpath.core.workloads.configuration import Organisation
from tanagerpath.core.workloads.coverage import count_needed
from tanagerpath.core.workloads.policy import HARD_DEADLINE_FACTOR
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.request_handler import WorkloadRequestHandler
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec, WorkloadSpec
from tanagerpath.core.workloads.tests.rig import Rig

__all__ = ["BATCH", "SCAN", "URGENT", "Kind", "LoadRig", "Outcome", "Submission"]

UPSTREAMS = 12
ORGANISATIONS = 10
# Accelerators of each organisation: 60 of 96 are guaranteed.
GUARANTEED = 6
MAX_RETURNS = 4


class Outcome(enum.StrEnum):
    """What a caller gets; FAILED includes work that ends too late to count."""

    ON_TIME = "on time"
    LATE = "late"
    FAILED = "failed"
    REFUSED = "refused"


@attrs.frozen(kw_only=True)
class Kind:
    """One kind of workload; `share` is its part of the accelerators at load 1."""

    queue: str
    share: float
    width: int
    width_max: int
    work_s: float
    accelerators: tuple[int, ...]
    memory_mb: int
    cpu_millicores: int
    gang: bool
    value: float
    late_value: float
    factor: float
    margin_s: float = 0.25

    @property
    def rate_per_s(self) -> float:
        """Submissions in a second at load 1."""
        mean = sum(self.accelerators) / len(self.accelerators)
        return self.share * UPSTREAMS * 8 / (mean * self.width * self.work_s)


URGENT = Kind(
    queue="urgent",
    share=0.2,
    width=3,
    width_max=8,
    work_s=2.0,
    accelerators=(1, 2, 4, 8),
    memory_mb=16_000,
    cpu_millicores=4_000,
    gang=True,
    value=4.0,
    late_value=0.8,
    factor=1.5,
)
# Two tasks fill the memory of an upstream.
BATCH = Kind(
    queue="batch",
    share=0.4,
    width=4,
    width_max=12,
    work_s=6.0,
    accelerators=(1, 2, 4),
    memory_mb=100_000,
    cpu_millicores=16_000,
    gang=True,
    value=3.0,
    late_value=1.5,
    factor=3.0,
)
SCAN = Kind(
    queue="scan",
    share=0.4,
    width=10,
    width_max=30,
    work_s=5.0,
    accelerators=(1,),
    memory_mb=16_000,
    cpu_millicores=4_000,
    gang=False,
    value=1.0,
    late_value=0.5,
    factor=3.0,
)


@attrs.define
class Submission:
    """A workload of a caller and what becomes of it."""

    kind: Kind
    organisation: str
    at_s: float
    work_s: float
    spec: StepSpec
    state: str = ""
    ended_s: float | None = None
    returns: int = 0
    is_refused: bool = False

    @property
    def objective_s(self) -> float:
        """Seconds within which it is on time."""
        return self.kind.factor * self.work_s + self.kind.margin_s

    @property
    def useful_until_s(self) -> float:
        """Time after which its end has no value."""
        return self.at_s + HARD_DEADLINE_FACTOR * self.objective_s

    @property
    def outcome(self) -> Outcome:
        """What its caller got."""
        if self.is_refused:
            return Outcome.REFUSED
        if self.state != "completed" or self.ended_s > self.useful_until_s:
            return Outcome.FAILED
        is_late = self.ended_s > self.at_s + self.objective_s
        return Outcome.LATE if is_late else Outcome.ON_TIME

    @property
    def earned(self) -> float:
        """Value for its caller."""
        if self.outcome is Outcome.ON_TIME:
            return self.kind.value
        return self.kind.late_value if self.outcome is Outcome.LATE else 0.0


class LoadRig(Rig):
    """A rig with ten organisations whose callers return after a refusal.

    Parameters
    ----------
    admission : str
        Policy that decides on submitted workloads.
    seed : int
        Seed of everything that is drawn.
    """

    def __init__(self, admission="useful", seed=1):
        self.submissions: dict[str, Submission] = {}
        self.refusals = 0
        # Workloads that were refused although a guarantee has room for them.
        self.refused_covered: list[str] = []
        self.draw = random.Random(seed)
        self.task_work_s: dict[object, float] = {}
        self.tail_share = 0.0
        self.tail_factor = 1.0
        # Quotient of the declared and the true run time.
        self.declared_factor = 1.0
        self._events: list[tuple[float, str]] = []
        super().__init__(UPSTREAMS, seed, DispatchTerms(admission=admission))
        self.run(0.5)

    def make_organisations(self):
        """Return ten organisations with equal guarantees."""
        return tuple(
            Organisation(
                name=f"o{number}",
                api_keys=(f"o{number}",),
                guaranteed=Resources(accelerators=GUARANTEED),
            )
            for number in range(ORGANISATIONS)
        )

    def start_term(self, term):
        """Start a new term, with a request handler of its own."""
        super().start_term(term)
        self.handler = WorkloadRequestHandler(self.state, self.dispatcher, "c:1", tuple)

    def work_s(self, task):
        """Return the work of a task, some of which take longer than their step."""
        if task not in self.task_work_s:
            is_tail = self.random.random() < self.tail_share
            factor = self.tail_factor if is_tail else 1.0
            self.task_work_s[task] = super().work_s(task) * factor
        return self.task_work_s[task]

    # Load

    def add(self, kind, at_s, organisation=None, width=None):
        """Add a workload that is submitted some time after now."""
        draw = self.draw
        organisation = organisation or f"o{draw.randrange(ORGANISATIONS)}"
        count = width or round(draw.lognormvariate(-0.18, 0.6) * kind.width)
        work_s = kind.work_s * draw.lognormvariate(0.0, 0.3)
        spec = StepSpec(
            count=width or min(max(count, 1), kind.width_max),
            needs=Resources(
                kind.cpu_millicores, kind.memory_mb, draw.choice(kind.accelerators)
            ),
            declared_run_s=work_s
            * self.declared_factor
            * draw.lognormvariate(0.0, 0.2),
            gang=kind.gang,
        )
        name = f"{kind.queue}-{len(self.submissions)}"
        at_s += self.now_s
        self.submissions[name] = Submission(kind, organisation, at_s, work_s, spec)
        heapq.heappush(self._events, (at_s, name))

    def add_load(self, kinds, load, duration_s, organisation=None):
        """Add submissions at a multiple of the rates of kinds."""
        for kind in kinds:
            at_s = self.draw.expovariate(load * kind.rate_per_s)
            while at_s < duration_s:
                self.add(kind, at_s, organisation)
                at_s += self.draw.expovariate(load * kind.rate_per_s)

    def play(self, duration_s):
        """Submit what is due within a time, and let the fleet work meanwhile."""
        until_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= until_s:
            at_s, name = heapq.heappop(self._events)
            self.run(max(at_s - self.now_s, 0.0))
            self._submit(name)
        self.run(max(until_s - self.now_s, 0.0))
        for name, one in self.submissions.items():
            record = self.state.workloads.get(name)
            if record is not None:
                one.state = str(record.state)
                one.ended_s = record.ended_at_unix_s

    def _submit(self, name):
        one = self.submissions[name]
        self.work[name] = one.work_s
        spec = WorkloadSpec(workload_id=name, steps=(one.spec,))
        call = requests.Call("h", f"/{one.kind.queue}/{name}", one.organisation)
        is_covered = self._is_surely_covered(spec, one)
        reply, proposals = self.handler.handle(
            RequestArrived(1, requests.SubmitWorkload(call, spec)), self.instant
        )
        for proposal in proposals:
            applied = self.apply(proposal.command)
            for sent in proposal.answer(applied, self.state):
                reply = sent.reply
        one.is_refused = isinstance(reply, ErrorBody)
        if not one.is_refused:
            return
        self.refusals += 1
        if is_covered:
            self.refused_covered.append(name)
        after_s = math.ceil(reply.retry_at_unix_s - self.instant.unix_s)
        if one.returns < MAX_RETURNS and self.now_s + after_s < one.useful_until_s:
            one.returns += 1
            heapq.heappush(self._events, (self.now_s + after_s, name))

    def _is_surely_covered(self, spec, one):
        """Return whether a guarantee has room besides all unfinished urgent work."""
        if one.kind.queue != "urgent":
            return False
        record = WorkloadRecord(spec, "urgent", one.organisation, 0.0)
        used = sum(
            count_needed(other)
            for other in self.state.workloads.values()
            if other.final_state is None
            and other.queue == "urgent"
            and other.organisation == one.organisation
        )
        return used + count_needed(record) <= GUARANTEED

    # Results

    def list_outcomes(self, queue=None, organisation=None):
        """Return the submissions of a queue and an organisation by outcome."""
        found = collections.defaultdict(list)
        for one in self.submissions.values():
            if queue in (None, one.kind.queue) and organisation in (
                None,
                one.organisation,
            ):
                found[one.outcome].append(one)
        return found

    def find_share(self, outcome, **chosen):
        """Return the share of submissions with an outcome."""
        found = self.list_outcomes(**chosen)
        return len(found[outcome]) / max(sum(map(len, found.values())), 1)

    @property
    def value(self):
        """Share of the value of all submissions that callers got."""
        owed = sum(one.kind.value for one in self.submissions.values())
        return sum(one.earned for one in self.submissions.values()) / owed
