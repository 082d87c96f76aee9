"""Changes to runs that follow from the lists of their upstreams."""

import abc
from typing import Any

from tanagerpath.core.workloads.commands import RunOutcome
from tanagerpath.core.workloads.dispatch_context import (
    DispatchContext,
    describe_task,
)
from tanagerpath.core.workloads.health_monitor import HealthMonitor
from tanagerpath.core.workloads.orders import (
    EndedRun,
    HoldReply,
    RunningTask,
)
from tanagerpath.core.workloads.run_observer import RunObserver
from tanagerpath.core.workloads.runs import (
    COMPLETED_PERCENT,
    ProgressSample,
    RunFence,
    RunKey,
    RunPhase,
    RunView,
    StopCause,
)
from tanagerpath.core.workloads.sessions import UpstreamSession

__all__ = ["RunLists", "RunStopper"]


class RunStopper(abc.ABC):
    """Orders the stop of runs."""

    @abc.abstractmethod
    def stop(
        self,
        session: UpstreamSession,
        view: RunView,
        reason: str,
        cause: StopCause,
        **fields: Any,
    ) -> bool:
        """Order the stop of a run.

        Parameters
        ----------
        session : UpstreamSession
            Where it runs.
        view : RunView
            The run.
        reason : str
            Reason for the log.
        cause : StopCause
            Label of the counter of stops.
        **fields
            Further fields of the log line.

        Returns
        -------
        bool
            False if it is being stopped already, or its start is not recorded yet.
        """


class RunLists:
    """Compares the lists of upstreams with the recorded runs.

    Parameters
    ----------
    context : DispatchContext
        Shared state of the term.
    stopper : RunStopper
        Stops runs that should be listed and are not.
    """

    def __init__(self, context: DispatchContext, stopper: RunStopper) -> None:
        self._context = context
        self._stopper = stopper
        self._observer = RunObserver(context)
        self._health_monitor = HealthMonitor(context)

    def handle(
        self, session: UpstreamSession, reply: HoldReply, requested_s: float
    ) -> None:
        """Update the runs of an upstream from its lists.

        Parameters
        ----------
        session : UpstreamSession
            The upstream.
        reply : HoldReply
            Its lists.
        requested_s : float
            Time at which they were requested.
        """
        context = self._context
        listed = {(task.task, task.run) for task in reply.running}
        ended = {(end.task, end.run) for end in reply.ended}
        for running in reply.running:
            self._update_running(session, running)
        self.handle_ends(session, reply)
        if reply.is_whole:
            for view in tuple(session.runs.values()):
                if view.key not in listed and view.key not in ended:
                    self._handle_unlisted(session, view, requested_s)
            self._update_fences(session, listed, requested_s)
        if reply.is_whole and not session.synced:
            session.synced = True
            context.must_plan = True
            context.log_decision(
                "upstream taken over",
                upstream=session.upstream_id,
                running=len(listed),
                ended=len(ended),
                room=session.free.accelerators,
            )

    def handle_ends(self, session: UpstreamSession, reply: HoldReply) -> None:
        """Handle the ends that an upstream lists."""
        for end in sorted(reply.ended, key=lambda one: one.number):
            self._handle_listed_end(session, end)

    def _update_running(self, session: UpstreamSession, running: RunningTask) -> None:
        context = self._context
        view = session.runs.get((running.task, running.run))
        if view is None:
            self._stop_stray(session, running)
            return
        if view.phase in (RunPhase.ORDERED, RunPhase.INHERITED):
            view.phase = RunPhase.RUNNING
        if view.running_since_s is None:
            view.running_since_s = context.now_s
            view.progress_s = context.now_s
        if view.baseline is None:
            # A resumed run has done work before, and one whose start was sent more
            # than once may have begun at any of the copies.
            view.baseline = ProgressSample(context.now_s, running.percent)
        if running.percent != view.percent:
            view.percent = running.percent
            view.progress_s = context.now_s
        view.checkpoint = running.checkpoint or view.checkpoint
        view.load = running.load
        self._observer.observe(session, view, running.percent)

    def _stop_stray(self, session: UpstreamSession, running: RunningTask) -> None:
        """Stop a run that is not open in the state.

        Its resources are in use and its task must not start elsewhere until it is over.
        """
        context = self._context
        key = running.task, running.run
        if key in session.fenced_runs:
            return
        context.log_task_decision(
            "stray run stopped",
            running.task,
            run=running.run,
            upstream=session.upstream_id,
        )
        session.fenced_runs[key] = RunFence(context.now_s)
        context.touch(session)

    def _update_fences(
        self, session: UpstreamSession, listed: set[RunKey], requested_s: float
    ) -> None:
        """Lift the fences of runs that a list shows to be over."""
        for key, fence in tuple(session.fenced_runs.items()):
            is_running = key in listed
            # One that is stopping may be in no list.
            fence.is_listed = fence.is_listed or is_running
            is_settled = (
                fence.list_after_s is not None and requested_s >= fence.list_after_s
            )
            if is_settled and not is_running:
                del session.fenced_runs[key]
                self._context.must_plan = True

    def _handle_listed_end(self, session: UpstreamSession, end: EndedRun) -> None:
        if end.number <= session.listed_end:
            return
        session.listed_end = end.number
        view = session.runs.get((end.task, end.run))
        if view is None or self._context.is_ending(view.key):
            self._handle_end_of_closed_run(session, end)
            return
        self._learn_from_end(session, view, end)
        self._context.queue_end(
            session, view, end.outcome, end.checkpoint, number=end.number
        )

    def _handle_end_of_closed_run(
        self, session: UpstreamSession, end: EndedRun
    ) -> None:
        """Record an end that corrects the state; acknowledge any other one at once."""
        context = self._context
        if self._corrects_state(session, end):
            self._log_late_end(session, end)
            context.queue_late_end(session, end)
        elif not context.has_unrecorded_ends(session):
            session.recorded_end = end.number

    def _corrects_state(self, session: UpstreamSession, end: EndedRun) -> bool:
        """Return whether a run that is closed has ended by itself.

        An end as failed that is recorded already must not count twice.
        """
        context = self._context
        key = end.task, end.run
        if key in session.late_ends:
            return False
        workload = context.state.workloads.get(end.task.workload_id)
        if workload is None or workload.final_state is not None:
            return False
        if not workload.is_valid_task(end.task):
            return False
        if workload.spec.steps[end.task.step].long_running:
            return False
        record = workload.find_task(end.task)
        if record.done or not 1 <= end.run <= record.last_run:
            return False
        if record.find_open(end.run) is not None and key not in session.runs:
            # Its record names another upstream.
            return False
        if end.outcome is RunOutcome.FAILED:
            is_gang = workload.spec.steps[end.task.step].gang
            return is_gang or not record.may_have_counted(end.run)
        return end.outcome is RunOutcome.DONE

    def _log_late_end(self, session: UpstreamSession, end: EndedRun) -> None:
        context = self._context
        workload = context.state.workloads[end.task.workload_id]
        record = workload.find_task(end.task)
        context.log_decision(
            "end of a closed run listed",
            task=describe_task(end.task),
            run=end.run,
            outcome=str(end.outcome),
            upstream=session.upstream_id,
            incarnation=session.record.incarnation,
            number=end.number,
            closed_as=str(context.find_closed((end.task, end.run)) or ""),
            closing=context.is_ending((end.task, end.run)),
            last_run=record.last_run,
            open_runs=[open_run.run for open_run in record.open_runs],
            workload_state=str(workload.state),
            session_age_s=round(context.now_s - session.opened_s, 3),
        )

    def _learn_from_end(
        self, session: UpstreamSession, view: RunView, end: EndedRun
    ) -> None:
        """Update the health of the upstream and the estimates from the end of a run."""
        context = self._context
        if end.outcome is RunOutcome.DONE:
            self._health_monitor.note_done(session, view)
            self._observer.observe(session, view, COMPLETED_PERCENT)
        elif end.outcome is RunOutcome.FAILED:
            workload_id = view.task.workload_id
            failed_on = context.backlog.failed_on.setdefault(workload_id, set())
            failed_on.add(session.upstream_id)
            self._health_monitor.note_failure(session, view)

    def _handle_unlisted(
        self, session: UpstreamSession, view: RunView, requested_s: float
    ) -> None:
        """Handle a run that an upstream lists neither as running nor as ended."""
        context = self._context
        if context.is_ending(view.key):
            return
        if view.phase is RunPhase.INHERITED:
            # An earlier leader may have ordered a stop that is not carried out yet.
            self._stopper.stop(
                session, view, "not listed by its upstream", StopCause.NOT_LISTED
            )
            return
        if (
            view.expect_listed_after_s is None
            or requested_s <= view.expect_listed_after_s
        ):
            return
        if view.phase is RunPhase.STOPPING:
            context.queue_end(session, view, self._choose_outcome(view))
        elif view.phase is RunPhase.RUNNING:
            self._stopper.stop(
                session, view, "not listed by its upstream", StopCause.NOT_LISTED
            )

    def _choose_outcome(self, view: RunView) -> RunOutcome:
        """Return the outcome of a stopped run without a listed end."""
        if view.is_of_earlier_incarnation:
            return RunOutcome.LOST
        began = view.running_since_s is not None
        return RunOutcome.STOPPED if began else RunOutcome.NOT_STARTED
