"""Mechanisms of the product, broken for the time of a run of the workload check."""

import contextlib
from unittest import mock

import attrs

from tanagerpath.benchmarks.workload_check import CheckPlan
from tanagerpath.core.workloads.cancellations import CancellationMemory
from tanagerpath.core.workloads.commands import RunOutcome, SetEvacuation
from tanagerpath.core.workloads.records import WorkloadRecord
from tanagerpath.core.workloads.registry import UpstreamRegistry
from tanagerpath.core.workloads.request_handler import WorkloadRequestHandler
from tanagerpath.core.workloads.run_lists import RunLists
from tanagerpath.core.workloads.sessions import LeaseTerms
from tanagerpath.core.workloads.state import FleetState

__all__ = ["BROKEN_MECHANISMS", "BrokenMechanism"]

SHORT_LEASE_WAIT_S = 1.0
# About one in so many tasks loses its end.
LOST_END_TASKS = 7


@attrs.frozen(kw_only=True)
class BrokenMechanism:
    """A mechanism that does not do its work.

    Attributes
    ----------
    name : str
        What is broken.
    rule : str
        Rule that this breaks.
    target, attribute, replacement
        What is replaced by what.
    settle_limit_s : float
        Virtual seconds after the faults, where the rule needs them.
    first_seed : int
        Seed from which on seeds are tried.
    """

    name: str
    rule: str
    target: object
    attribute: str
    replacement: object
    settle_limit_s: float = 0.0
    first_seed: int = 1

    @property
    def plan(self) -> CheckPlan:
        """Plan of the runs."""
        return CheckPlan(faults_s=20.0, settle_limit_s=self.settle_limit_s)

    def in_force(self) -> contextlib.AbstractContextManager:
        """Return the context in which the mechanism is broken."""
        return mock.patch.object(self.target, self.attribute, self.replacement)


_handle_listed_end = RunLists._handle_listed_end
_record_done = WorkloadRecord._record_done
_init_registry = UpstreamRegistry.__init__
_from_snapshot = FleetState.from_snapshot


def _acknowledge_listed_end(self, session, end):
    """Acknowledge an end before it is recorded."""
    _handle_listed_end(self, session, end)
    session.recorded_end = session.listed_end


def _find_short_duration_s(self, lease_s):
    """Return less than the duration of the lease."""
    return SHORT_LEASE_WAIT_S


def _lose_done(self, ended, step):
    """Lose the ends as done of some tasks."""
    if (ended.index + self.open_count) % LOST_END_TASKS:
        _record_done(self, ended, step)


def _init_without_lists(self, context):
    """Take the upstreams as known, and the runs that they may have as not started."""
    _init_registry(self, context)
    for session in context.sessions.values():
        session.synced = True
        for view in tuple(session.runs.values()):
            context.queue_end(session, view, RunOutcome.NOT_STARTED)


def _restore_without_newest(snapshot):
    """Restore a snapshot without its newest workload."""
    return _from_snapshot(attrs.evolve(snapshot, workloads=snapshot.workloads[:-1]))


def _change_any_revision(self, request, now):
    """Carry out an order whatever the revision of its zone."""
    revision = self._state.find_evacuation(request.zone).revision
    return [SetEvacuation(request.zone, request.is_evacuated, revision)]


BROKEN_MECHANISMS = (
    BrokenMechanism(
        name="ends are acknowledged when they are listed",
        rule="start after done",
        target=RunLists,
        attribute="_handle_listed_end",
        replacement=_acknowledge_listed_end,
    ),
    BrokenMechanism(
        name="the wait for the lease of an unreachable upstream is short",
        rule="runs twice at once",
        target=LeaseTerms,
        attribute="find_max_duration_s",
        replacement=_find_short_duration_s,
        first_seed=18,
    ),
    BrokenMechanism(
        name="a recorded end is lost",
        rule="start after done",
        target=WorkloadRecord,
        attribute="_record_done",
        replacement=_lose_done,
    ),
    BrokenMechanism(
        name="a new leader does not ask for lists",
        rule="runs twice at once",
        target=UpstreamRegistry,
        attribute="__init__",
        replacement=_init_without_lists,
    ),
    BrokenMechanism(
        name="a new leader does not ask for lists, as capacity sees it",
        rule="start over capacity",
        target=UpstreamRegistry,
        attribute="__init__",
        replacement=_init_without_lists,
    ),
    BrokenMechanism(
        name="steps do not wait for those that they depend on",
        rule="start before dependencies",
        target=WorkloadRecord,
        attribute="may_begin",
        replacement=lambda self, occurrence, step: True,
    ),
    BrokenMechanism(
        name="failed runs are not counted",
        rule="start after failures",
        target=WorkloadRecord,
        attribute="_count_failure",
        replacement=lambda self, end, task, step: 0,
    ),
    BrokenMechanism(
        name="a workload is completed with its first task",
        rule="completed before done",
        target=WorkloadRecord,
        attribute="is_all_done",
        replacement=True,
    ),
    BrokenMechanism(
        name="a snapshot lacks a workload",
        rule="accepted workload lost",
        target=FleetState,
        attribute="from_snapshot",
        replacement=_restore_without_newest,
        first_seed=16,
    ),
    BrokenMechanism(
        name="a workload never ends",
        rule="accepted workload unfinished",
        target=WorkloadRecord,
        attribute="is_all_done",
        replacement=False,
        settle_limit_s=5.0,
    ),
    BrokenMechanism(
        name="a workload is accepted after its queue was removed",
        rule="accepted workload unfinished",
        target=FleetState,
        attribute="_lacks_queue",
        replacement=lambda self, command: False,
        settle_limit_s=30.0,
    ),
    BrokenMechanism(
        name="a cancellation of an unknown workload is forgotten",
        rule="start after cancellation",
        target=CancellationMemory,
        attribute="find_valid",
        replacement=lambda self, organisation, workload_id, now_unix_s: None,
    ),
    BrokenMechanism(
        name="leaders do not know that a zone is evacuated",
        rule="start in an evacuated zone",
        target=FleetState,
        attribute="is_evacuated",
        replacement=lambda self, zone: False,
        first_seed=6,
    ),
    BrokenMechanism(
        name="a delayed copy of an order ignores the revision of its zone",
        rule="order undone",
        target=WorkloadRequestHandler,
        attribute="_change_evacuation",
        replacement=_change_any_revision,
        first_seed=15,
    ),
)
