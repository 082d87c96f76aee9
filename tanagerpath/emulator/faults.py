"""Faults that a stand-in upstream shows on demand."""

import abc
import enum

import attrs

from tanagerpath.core.protocol.upstreams import TaskReport

__all__ = ["Faults", "ReportDelivery", "ReportFault", "ReportFaultKind"]

LATE_REPORT_DELAY_S = 2.5


class ReportFaultKind(enum.StrEnum):
    """How the first delivery of each report goes wrong."""

    NONE = "none"
    LATE = "late"
    DOUBLED = "doubled"
    CUT = "cut"
    WRONG_DIGEST = "wrong_digest"
    CROSSED_ANSWER = "crossed_answer"
    CROSSED_JOB = "crossed_job"


@attrs.frozen
class Faults:
    """Faults in force at a stand-in upstream.

    Attributes
    ----------
    fail_starts : bool
        Whether each start and each probe fails.
    slow_factor : float
        Factor on the run time of tasks that start from now on.
    silent : bool
        Whether requests get no reply and nothing is sent.
    reports : ReportFaultKind
        What goes wrong with the first delivery of each report.
    """

    fail_starts: bool = False
    slow_factor: float = 1.0
    silent: bool = False
    reports: ReportFaultKind = ReportFaultKind.NONE


@attrs.frozen
class ReportDelivery:
    """One report to send.

    Attributes
    ----------
    report : TaskReport
        What is sent.
    delay_s : float
        Seconds to wait before it is sent.
    genuine : bool
        Whether an acknowledgement holds for the report that was due.
    """

    report: TaskReport
    delay_s: float = 0.0
    genuine: bool = True


class ReportFault(abc.ABC):
    """Turns a report that is due into the deliveries that a fault makes of it."""

    @classmethod
    def from_kind(cls, kind: ReportFaultKind) -> "ReportFault":
        """Return the fault of a kind."""
        return _FAULTS[kind]

    @abc.abstractmethod
    def distort(
        self, report: TaskReport, other: TaskReport | None
    ) -> list[ReportDelivery]:
        """Return the first deliveries.

        Parameters
        ----------
        report : TaskReport
            The report that is due.
        other : TaskReport or None
            Latest report of another job with an answer.
        """


class _NoFault(ReportFault):
    def distort(self, report, other):
        return [ReportDelivery(report)]


class _Late(ReportFault):
    def distort(self, report, other):
        return [ReportDelivery(report, delay_s=LATE_REPORT_DELAY_S)]


class _Doubled(ReportFault):
    def distort(self, report, other):
        return [ReportDelivery(report), ReportDelivery(report)]


class _Cut(ReportFault):
    def distort(self, report, other):
        if report.answer is None:
            return [ReportDelivery(report)]
        half = report.answer[: len(report.answer) // 2]
        return [ReportDelivery(attrs.evolve(report, answer=half), genuine=False)]


class _WrongDigest(ReportFault):
    def distort(self, report, other):
        if report.answer is None:
            return [ReportDelivery(report)]
        bent = attrs.evolve(report, answer_sha256="0" * 64)
        return [ReportDelivery(bent, genuine=False)]


class _CrossedAnswer(ReportFault):
    """Sends the answer of another job under this report's length and digest."""

    def distort(self, report, other):
        if report.answer is None or other is None:
            return [ReportDelivery(report)]
        bent = attrs.evolve(report, answer=other.answer)
        return [ReportDelivery(bent, genuine=False)]


class _CrossedJob(ReportFault):
    """Sends this report's attempt and whole answer under the id of another job."""

    def distort(self, report, other):
        if report.answer is None or other is None:
            return [ReportDelivery(report)]
        status = attrs.evolve(report.status, job_id=other.status.job_id)
        bent = attrs.evolve(report, status=status)
        return [ReportDelivery(bent, genuine=False)]


_FAULTS = {
    ReportFaultKind.NONE: _NoFault(),
    ReportFaultKind.LATE: _Late(),
    ReportFaultKind.DOUBLED: _Doubled(),
    ReportFaultKind.CUT: _Cut(),
    ReportFaultKind.WRONG_DIGEST: _WrongDigest(),
    ReportFaultKind.CROSSED_ANSWER: _CrossedAnswer(),
    ReportFaultKind.CROSSED_JOB: _CrossedJob(),
}
