"""Membership reports of a replica, written to the operators' log."""

import enum

import attrs

__all__ = [
    "ChangeReason",
    "LearnerCaughtUp",
    "MembershipCommitted",
    "MembershipProposed",
    "MembershipReport",
    "PromotionDelay",
    "PromotionDelayed",
    "VoteChanged",
]


class ChangeReason(enum.StrEnum):
    """Why a leader changes the membership."""

    JOINED = "joined"
    PROMOTED = "promoted"
    REPLACED_IDENTITY = "replaced_identity"
    VOTER_AWAY = "voter_away"
    SPREAD = "spread"
    LEARNER_GONE = "learner_gone"


class PromotionDelay(enum.StrEnum):
    """Why a learner is not promoted yet."""

    NOT_TRACKED = "not_tracked"
    SILENT = "silent"
    LAGS = "lags"
    OLDER_IDENTITY = "older_identity"
    NO_PLACE = "no_place"
    CHANGE_NOT_COMMITTED = "change_not_committed"
    NO_LEASE = "no_lease"


@attrs.frozen
class MembershipProposed:
    """The leader has appended a membership, which takes effect at once.

    Attributes
    ----------
    index : int
        Index of the log entry.
    reason : ChangeReason
        Why the leader changes the membership.
    replica_id : str
        Member that the change concerns.
    voters, learners : tuple of str
        Identities of the voters and learners from this entry on.
    """

    index: int
    reason: ChangeReason
    replica_id: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]


@attrs.frozen
class MembershipCommitted:
    """The leader has committed the membership of a log entry."""

    index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


@attrs.frozen
class PromotionDelayed:
    """The leader does not promote a learner yet; reported once for each reason.

    Attributes
    ----------
    replica_id : str
        The learner.
    delay : PromotionDelay
        Reason of the delay.
    match_index : int
        Last index known to be on the learner's disk.
    commit_index : int
        Last committed index.
    waited_s : float
        Time in seconds since the leader has tracked the learner.
    """

    replica_id: str
    delay: PromotionDelay
    match_index: int
    commit_index: int
    waited_s: float


@attrs.frozen
class LearnerCaughtUp:
    """A learner holds what the log held when this leader began to track it.

    Reported once for each learner and leadership, and again after a silence.

    Attributes
    ----------
    replica_id : str
        The learner.
    match_index : int
        Last index known to be on the learner's disk.
    elapsed_s : float
        Time in seconds since the leader has tracked the learner.
    """

    replica_id: str
    match_index: int
    elapsed_s: float


@attrs.frozen
class VoteChanged:
    """The reporting replica gained or lost its vote with the entry at `index`."""

    is_voter: bool
    index: int


MembershipReport = (
    MembershipProposed
    | MembershipCommitted
    | PromotionDelayed
    | LearnerCaughtUp
    | VoteChanged
)
