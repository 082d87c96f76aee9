"""Proposed commands that are not committed yet, and who waits for them."""

import abc
import itertools

import attrs
from returns.pipeline import is_successful
from returns.result import Result

from tanagerpath.core.consensus import NotLeader
from tanagerpath.core.control.messages import SendReply
from tanagerpath.core.protocol.callers import ErrorBody
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.protocol.upstreams import Announcement, AnnouncementReply
from tanagerpath.core.state import JobRecord, SystemState
from tanagerpath.core.state.failures import UnknownJob
from tanagerpath.errors import Failure

__all__ = ["OpenProposal", "Proposal", "ProposalRegistry", "describe_job"]


def describe_job(state: SystemState, job_id: str) -> object:
    """Return the reply with the state of a job, or the `UnknownJob` error."""
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

    def reject(self, failure: Failure) -> list[SendReply]:
        """Answer that leadership was lost, and whether the command may still commit."""
        may_commit = not isinstance(failure, NotLeader)
        reply = NotLeaderReply(may_commit=may_commit)
        return [SendReply(token, reply) for token in self.tokens]

    @abc.abstractmethod
    def answer(self, result: object, state: object) -> list[SendReply]:
        """Return the answers to all waiting exchanges."""


@attrs.frozen
class Proposal(OpenProposal):
    """A command of the job log.

    With `job_ids`, each exchange is answered with the state of its job instead of the
    outcome of the command.
    """

    job_ids: tuple[str, ...] = ()

    def answer(
        self, result: Result[object, Failure], state: SystemState
    ) -> list[SendReply]:
        """Return the answers to all waiting exchanges."""
        if self.job_ids:
            return [
                SendReply(token, describe_job(state, job_id))
                for token, job_id in zip(self.tokens, self.job_ids, strict=True)
            ]
        outcome = _describe_outcome(result) if self.tokens else None
        return [SendReply(token, outcome) for token in self.tokens]


class ProposalRegistry:
    """Open proposals by the id that the replica returns with their outcome."""

    def __init__(self) -> None:
        self._open: dict[int, OpenProposal] = {}
        self._ids = itertools.count(1)

    def __len__(self) -> int:
        return len(self._open)

    def add(self, proposal: OpenProposal) -> int:
        """Add a proposal and return its id."""
        proposal_id = next(self._ids)
        self._open[proposal_id] = proposal
        return proposal_id

    def pop(self, proposal_id: int | None) -> OpenProposal | None:
        """Remove and return a proposal; None if this node did not make it."""
        return None if proposal_id is None else self._open.pop(proposal_id, None)
