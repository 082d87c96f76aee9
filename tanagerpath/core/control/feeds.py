"""Long polls of entries that wait for changes."""

import math

import attrs

from tanagerpath.core.control.messages import SendReply
from tanagerpath.core.protocol.internal import FeedRequest
from tanagerpath.core.protocol.leadership import NotLeaderReply
from tanagerpath.core.state import SystemState

__all__ = ["LongPollQueue"]


@attrs.frozen
class _Poll:
    token: int
    after_index: int
    expires_at_s: float


class LongPollQueue:
    """Holds polls until there are changes or they time out.

    Parameters
    ----------
    hold_s : float
        Longest time for which a poll is held; shorter than the exchange timeout.
    """

    def __init__(self, hold_s: float) -> None:
        self._hold_s = hold_s
        self._polls: list[_Poll] = []

    def add(self, token: int, request: FeedRequest, now_s: float) -> None:
        """Add a poll."""
        self._polls.append(_Poll(token, request.after_index, now_s + self._hold_s))

    def find_wake_up_s(self) -> float:
        """Return the time at which the first poll has to be answered."""
        return min((poll.expires_at_s for poll in self._polls), default=math.inf)

    def answer_due(
        self, state: SystemState, now_s: float, has_lease: bool
    ) -> list[SendReply]:
        """Answer the polls that are due; only the lease proves that data is current."""
        answers: list[SendReply] = []
        kept: list[_Poll] = []
        for poll in self._polls:
            due = poll.after_index == 0 or now_s >= poll.expires_at_s
            if not due and not state.has_changes_after(poll.after_index):
                kept.append(poll)
            elif not has_lease or state.applied_index < poll.after_index:
                answers.append(SendReply(poll.token, NotLeaderReply()))
            else:
                changes = state.collect_changes(poll.after_index)
                answers.append(SendReply(poll.token, changes))
        self._polls = kept
        return answers
