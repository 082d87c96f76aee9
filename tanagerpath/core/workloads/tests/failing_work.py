"""Rig in which some work fails on all upstreams, and some upstreams fail all work."""

import random

import attrs

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.specs import StepSpec
from tanagerpath.core.workloads.tests.fake_upstream import STEP_S
from tanagerpath.core.workloads.tests.rig import Rig

SMALL = Resources(100, 100, 0)
SINGLE = StepSpec(needs=Resources(1_000, 100, 1), declared_run_s=1.0)
FAILING = "failing"


@attrs.define(kw_only=True)
class FailingScenario:
    """Which work and which upstreams fail.

    Attributes
    ----------
    upstreams : int
        Number of upstreams.
    looping : int
        Long-running workloads whose tasks fail again and again.
    looping_tasks : int or None
        Tasks of each of them, one for each upstream if None.
    hopeless_interval_s : float or None
        Time between two single tasks that can't be done, None for none.
    sick : int
        Upstreams that fail all that runs there.
    fails_within_s : tuple of float
        Shortest and longest time from a start to the failure.
    image : str
        Image of the failing work.
    """

    upstreams: int = 16
    looping: int = 0
    looping_tasks: int | None = None
    hopeless_interval_s: float | None = None
    sick: int = 0
    fails_within_s: tuple[float, float] = (0.6, 2.0)
    image: str = ""


class FailingWorkRig(Rig):
    """Plays a scenario beside ordinary work.

    Parameters
    ----------
    scenario : FailingScenario
        What fails.
    seed : int
        Seed of the times.
    """

    def __init__(self, scenario, seed):
        super().__init__(upstreams=scenario.upstreams, seed=seed)
        self.scenario = scenario
        self.failures_of_sound_work = 0
        self._draw = random.Random(f"failing-work-{seed}")
        self._sick = {f"u{number}" for number in range(scenario.sick)}
        self._fails_at_s = {}
        self._hopeless = 0
        self._next_hopeless_s = self.now_s + (scenario.hopeless_interval_s or 0.0)
        super().run(2.0)
        for number in range(scenario.looping):
            step = StepSpec(
                count=scenario.looping_tasks or scenario.upstreams,
                needs=SMALL,
                long_running=True,
                image=scenario.image,
            )
            self.submit(f"{FAILING}-{number}", step, work_s=1e9)

    def run(self, duration_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            super().run(STEP_S)
            self._submit_hopeless()
            self._fail_due_runs()

    def run_ordinary(self, count, interval_s=0.25):
        """Submit single tasks of a second, one after the other."""
        for number in range(count):
            self.submit(f"ordinary-{number}", SINGLE, work_s=1.0)
            self.run(interval_s)

    def _submit_hopeless(self):
        interval_s = self.scenario.hopeless_interval_s
        if interval_s is None or self.now_s < self._next_hopeless_s:
            return
        self._next_hopeless_s += interval_s
        self._hopeless += 1
        step = attrs.evolve(SINGLE, image=self.scenario.image)
        self.submit(f"{FAILING}-hopeless-{self._hopeless}", step, work_s=1e9)

    def _fail_due_runs(self):
        for name, upstream in self.upstreams.items():
            for key, run in tuple(upstream.runs.items()):
                is_failing = run.task.workload_id.startswith(FAILING)
                if run.stops_at_s is None and (is_failing or name in self._sick):
                    self._fail_run(upstream, key, run, is_failing)

    def _fail_run(self, upstream, key, run, is_failing):
        """End a run as failed once its time has come."""
        draw_s = self._draw.uniform(*self.scenario.fails_within_s)
        key = (upstream.record.upstream_id, key)
        if self.now_s < self._fails_at_s.setdefault(key, run.began_s + draw_s):
            return
        self.failures_of_sound_work += not is_failing
        upstream.end(run, RunOutcome.FAILED)
