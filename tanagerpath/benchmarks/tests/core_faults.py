"""Deliberate faults, one for each promise of the core check.

Each entry breaks one safeguard of the core in memory, for the time of a run, and names
the promise that has to notice.
"""

import contextlib
from unittest import mock

import attrs

from tanagerpath.benchmarks.core_check import CheckPlan
from tanagerpath.core.admission import DocumentView
from tanagerpath.core.consensus import Replica, Role
from tanagerpath.core.coordination import attempts, driver, finalizer, fleet
from tanagerpath.core.coordination.registry import RetryQueue
from tanagerpath.core.placement.guarantees import GuaranteePlan
from tanagerpath.core.state import DocumentRecord, SystemState
from tanagerpath.core.state.records import JobRecord

__all__ = ["FAULTS", "DeliberateFault"]


@attrs.frozen
class DeliberateFault:
    """One broken safeguard.

    Attributes
    ----------
    name : str
        What is broken.
    promise : int
        Promise that is broken by it.
    seed : int
        Seed that catches it.
    target, attribute, replacement
        What is replaced by what.
    faults_s : float
        Virtual seconds under faults.
    """

    name: str
    promise: int
    seed: int
    target: object
    attribute: str
    replacement: object
    faults_s: float = 15.0

    @property
    def plan(self) -> CheckPlan:
        """Plan of the runs; only a fault of the end needs a long one."""
        settle_limit_s = 0.0 if self.promise else 90.0
        return CheckPlan(faults_s=self.faults_s, settle_limit_s=settle_limit_s)

    def in_force(self) -> contextlib.AbstractContextManager:
        """Return the context in which the fault is in force."""
        return mock.patch.object(self.target, self.attribute, self.replacement)


def _apply_equal_revision(self, index, command):
    """Lets a document replace another one of the same revision."""
    document = command.document
    current = self._documents.get(document.service)
    if current and current.document.revision == document.revision:
        self._documents[document.service] = DocumentRecord(document, index)
    return _apply_document(self, index, command)


_apply_document = SystemState._apply_document


def _forget_old_jobs(self, record):
    """Keeps only the last jobs."""
    _put(self, record)
    if len(self._jobs) > 5:
        self._open_job_ids.pop(next(iter(self._jobs)), None)
        del self._jobs[next(iter(self._jobs))]


_put = SystemState._put


def _cut_answer(*arguments):
    """Commits an answer without its last character."""
    command = _conclude(*arguments)
    if getattr(command, "answer", None):
        return attrs.evolve(command, answer=command.answer[:-1])
    return command


_conclude = finalizer.conclude

FAULTS = (
    DeliberateFault(
        "every stopped attempt counts as never started",
        1,
        3,
        attempts.Attempt,
        "all_refuted",
        property(lambda self: True),
    ),
    DeliberateFault(
        "a job that may have run is cancelled as not run",
        2,
        12,
        JobRecord,
        "may_have_run",
        property(lambda self: False),
    ),
    DeliberateFault(
        "the end of an answer is lost",
        3,
        1,
        finalizer,
        "conclude",
        _cut_answer,
    ),
    DeliberateFault(
        "old jobs are forgotten", 3, 1, SystemState, "_put", _forget_old_jobs
    ),
    DeliberateFault(
        "accelerators are free before the lease has ended",
        4,
        1,
        fleet.Fleet,
        "is_past_clock_margin",
        lambda self, upstream_id, now: True,
    ),
    DeliberateFault(
        "a lost member does not stop its gang",
        5,
        111,
        driver.AttemptDriver,
        "mark_member_lost",
        lambda self, attempt, member, now: [],
        # The gang has to outlast the lease under one leader.
        faults_s=25.0,
    ),
    DeliberateFault(
        "an equal revision replaces the document",
        6,
        1,
        SystemState,
        "_apply_document",
        _apply_equal_revision,
    ),
    DeliberateFault(
        "an entry is fresh without proof",
        7,
        1,
        DocumentView,
        "is_fresh",
        lambda self, now_s: True,
    ),
    DeliberateFault(
        "a leader keeps its lease for ever",
        8,
        1,
        Replica,
        "has_lease",
        lambda self, now_s: self.role is Role.LEADER,
    ),
    DeliberateFault(
        "missing guarantees are not reported",
        9,
        51,
        GuaranteePlan,
        "list_unmet",
        lambda self: (),
    ),
    DeliberateFault(
        "jobs are not tried again",
        0,
        1,
        RetryQueue,
        "pop_due",
        lambda self, now_s: [],
    ),
)
