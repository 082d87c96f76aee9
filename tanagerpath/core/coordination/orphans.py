"""Tasks and reports that do not belong to a current attempt."""

from tanagerpath.core.coordination.registry import AttemptRegistry
from tanagerpath.core.protocol import upstreams as protocol
from tanagerpath.core.protocol.upstreams import TaskPhase
from tanagerpath.core.state import JobRecord

__all__ = ["is_report_obsolete", "list_orphaned_tasks"]


def is_report_obsolete(report: protocol.TaskReport, record: JobRecord | None) -> bool:
    """Tell whether a report can be acknowledged without being used.

    Parameters
    ----------
    report : TaskReport
        A report of an attempt that is not in progress.
    record : JobRecord or None
        The job in the replicated state.

    Returns
    -------
    bool
        False for an attempt unknown to the state: the report may have been misrouted,
        so its upstream must keep it.
    """
    if record is None or record.state.is_final:
        return True
    if record.attempt is None:
        return False
    attempt = report.status.attempt
    ended = record.assignment is None and attempt == record.attempt
    return ended or attempt < record.attempt


def list_orphaned_tasks(
    reply: protocol.RenewReply, attempts: AttemptRegistry
) -> list[protocol.TaskStatus]:
    """Return the running tasks whose attempt is not in progress."""
    orphans = []
    for task in reply.tasks:
        attempt = attempts.find(task.job_id)
        current = attempt is not None and attempt.attempt_id == task.attempt
        if not current and task.phase is TaskPhase.RUNNING:
            orphans.append(task)
    return orphans
