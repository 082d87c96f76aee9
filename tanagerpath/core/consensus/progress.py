"""Replication progress of a member, as the leader knows it."""

import math

import attrs

from tanagerpath.core.consensus.send_window import SendWindow
from tanagerpath.core.consensus.snapshot_transfer import SnapshotTransfer

__all__ = ["Progress"]


@attrs.define
class Progress:
    """Replication progress of one other member, as the leader knows it.

    Attributes
    ----------
    next_index : int
        Next index to send.
    match_index : int
        Last index known to be on the member's disk.
    probing : bool
        True until a reply shows where the logs match; only heartbeats are sent then.
    window : SendWindow
        Limit of unanswered append messages with entries.
    in_flight : list of int
        Last indices of unanswered append messages with entries.
    acknowledged_s : float
        Latest send time of a message that the member has answered.
    transfer : SnapshotTransfer or None
        Snapshot that is being sent.
    stored_s : float
        Time at which the member was last known to store an entry.
    tracked_s : float
        Time since which the leader has tracked the member.
    target_index : int
        Last index of the log when the leader began to track the member, or when the
        member answered again after a silence.
    round_end_index : int
        Last index of the log when the current catch-up round began.
    round_started_s : float
        Time at which the current round began.
    last_round_in_time : bool
        Whether the last completed round took at most an election timeout.
    """

    next_index: int
    window: SendWindow
    match_index: int = 0
    probing: bool = True
    in_flight: list[int] = attrs.Factory(list)
    acknowledged_s: float = -math.inf
    transfer: SnapshotTransfer | None = None
    stored_s: float = -math.inf
    tracked_s: float = -math.inf
    target_index: int = 0
    round_end_index: int = 0
    round_started_s: float = -math.inf
    last_round_in_time: bool = False

    @property
    def has_reached_target(self) -> bool:
        """Whether the member holds the log of its admission or return."""
        return self.match_index >= self.target_index

    def record_round(self, last_index: int, now_s: float, max_round_s: float) -> None:
        """Begin the next round if the member holds the log of the current one.

        A member is compared with the log at the start of the round, because the commit
        index may advance with each command.
        """
        if self.match_index < self.round_end_index:
            return
        self.last_round_in_time = now_s - self.round_started_s <= max_round_s
        self.round_end_index = last_index
        self.round_started_s = now_s
