"""Commands on their way through the log, and who waits for them."""

import abc
import itertools

import attrs
from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.core.consensus import NotLeader
from tanagerpath.core.control.messages import AnswerRequest
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.protocol.internal import NotLeaderReply
from tanagerpath.core.protocol.upstreams import Announcement, AnnouncementReply
from tanagerpath.core.state import JobRecord, SystemState
from tanagerpath.core.state.failures import UnknownJob
from tanagerpath.errors import Failure

__all__ = ["OpenProposal", "Proposal", "ProposalRegister", "describe_job"]


def describe_job(state: SystemState, job_id: str) -> object:
    """Return the state of a job, or `UnknownJob`, as a reply."""
    record = state.jobs.get(job_id)
    if record is None:
        return ErrorBody.from_failure(UnknownJob(job_id=job_id))
    return record.make_reply()


def _describe_outcome(result: Result[object, Failure]) -> object:
    if not is_successful(result):
        return ErrorBody.from_failure(result.failure())
    match result.unwrap():
        case JobRecord() as record:
            return record.make_reply()
        case Announcement():
            return AnnouncementReply()
        case other:
            return other


@attrs.frozen
class OpenProposal(abc.ABC):
    """A command to append, and the exchanges that wait for its outcome."""

    command: object
    tokens: tuple[int, ...] = ()

    def reject(self, failure: Failure) -> list[AnswerRequest]:
        """Tell all who wait that leadership was lost, and if the command may commit."""
        may_commit = not isinstance(failure, NotLeader)
        reply = NotLeaderReply(may_commit=may_commit)
        return [AnswerRequest(token, reply) for token in self.tokens]

    @abc.abstractmethod
    def answer(self, result: object, state: object) -> list[AnswerRequest]:
        """Return the outcome for all who wait."""


@attrs.frozen
class Proposal(OpenProposal):
    """A command of the job log.

    `job_ids` names the jobs whose state each exchange gets instead of the outcome of
    the command.
    """

    job_ids: tuple[str, ...] = ()

    def answer(
        self, result: Result[object, Failure], state: SystemState
    ) -> list[AnswerRequest]:
        """Return the outcome for all who wait."""
        if self.job_ids:
            return [
                AnswerRequest(token, describe_job(state, job_id))
                for token, job_id in zip(self.tokens, self.job_ids, strict=True)
            ]
        outcome = _describe_outcome(result) if self.tokens else None
        return [AnswerRequest(token, outcome) for token in self.tokens]


class ProposalRegister:
    """Open proposals by the number that the replica returns with their outcome."""

    def __init__(self) -> None:
        self._open: dict[int, OpenProposal] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        return len(self._open)

    def add(self, proposal: OpenProposal) -> int:
        """Note a proposal and return its number."""
        number = next(self._numbers)
        self._open[number] = proposal
        return number

    def take(self, number: int | None) -> OpenProposal | None:
        """Remove and return a proposal; None if this node did not make it."""
        return None if number is None else self._open.pop(number, None)
