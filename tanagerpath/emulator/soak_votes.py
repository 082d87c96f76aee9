"""Votes and leaders of the soak, as the logs of the control processes show them."""

import datetime
import json
from collections.abc import Iterable

import attrs

__all__ = ["ControlLog", "DiskVote", "find_leader"]

_STARTED = "control: started"
_ROLE_CHANGED = "control: role changed"
_VOTE_CHANGED = "control: vote changed"
_MESSAGES = (_STARTED, _ROLE_CHANGED, _VOTE_CHANGED)
_LEADER = "leader"
_LEARNER = "learner"


@attrs.frozen
class DiskVote:
    """Vote of a VM after the loss of its disk.

    Attributes
    ----------
    vm_id : str
        The VM.
    elapsed_s : float or None
        Seconds from the start of its process to its vote, None if it got none before
        the next loss of its disk.
    is_late : bool
        Whether the vote came after the VM no longer counted as lost, or never.
    """

    vm_id: str
    elapsed_s: float | None
    is_late: bool

    def describe(self) -> str:
        """One line for people."""
        if self.elapsed_s is None:
            return f"{self.vm_id} got no vote after the loss of its disk"
        return f"{self.vm_id} got its vote {self.elapsed_s} s after its start, too late"


@attrs.frozen
class _Line:
    """One line of a log, with the fields of membership and role."""

    at_unix_s: float
    message: str
    role: str
    term: int
    is_voter: bool

    @property
    def proves_vote(self) -> bool:
        """Whether the process has a vote.

        A process that starts with a vote logs its role only.
        """
        if self.message == _VOTE_CHANGED:
            return self.is_voter
        return self.message == _ROLE_CHANGED and self.role != _LEARNER


def _parse_line(text: str) -> _Line | None:
    # Most lines are about workloads; there are thousands of them.
    if not any(message in text for message in _MESSAGES):
        return None
    try:
        fields = json.loads(text)
        at = datetime.datetime.fromisoformat(fields["time"])
    except (ValueError, KeyError, TypeError):
        # A killed process may leave a partial line.
        return None
    return _Line(
        at_unix_s=at.timestamp(),
        message=fields.get("message", ""),
        role=fields.get("role", ""),
        term=fields.get("term", 0),
        is_voter=fields.get("is_voter", False),
    )


class ControlLog:
    """Log of all processes of one control VM.

    Parameters
    ----------
    vm_id : str
        The VM.
    lines : iterable of str
        Its log.
    """

    def __init__(self, vm_id: str, lines: Iterable[str]) -> None:
        self.vm_id = vm_id
        self._lines = [line for line in map(_parse_line, lines) if line is not None]

    def find_vote(
        self, lost_unix_s: float, until_unix_s: float, due_unix_s: float
    ) -> DiskVote:
        """Return the vote after a loss of the disk.

        Parameters
        ----------
        lost_unix_s : float
            Instant of the loss.
        until_unix_s : float
            Instant of the next loss of this disk, or the end of the seed.
        due_unix_s : float
            Instant until which the vote is on time.
        """
        lines = [
            line for line in self._lines if lost_unix_s < line.at_unix_s < until_unix_s
        ]
        started = next((line for line in lines if line.message == _STARTED), None)
        vote = next((line for line in lines if line.proves_vote), None)
        if started is None or vote is None:
            return DiskVote(self.vm_id, None, is_late=True)
        elapsed_s = round(vote.at_unix_s - started.at_unix_s, 2)
        return DiskVote(self.vm_id, elapsed_s, vote.at_unix_s > due_unix_s)

    def find_last_term_led(self) -> int:
        """Return the last term that the VM led, 0 if it has none or stepped down."""
        changes = [line for line in self._lines if line.message == _ROLE_CHANGED]
        if not changes or changes[-1].role != _LEADER:
            return 0
        return changes[-1].term


def find_leader(logs: Iterable[ControlLog]) -> str | None:
    """Return the VM that leads the latest term, None if no log names one."""
    led = {log.vm_id: log.find_last_term_led() for log in logs}
    vm_id = max(led, key=led.get, default=None)
    return vm_id if vm_id is not None and led[vm_id] else None
