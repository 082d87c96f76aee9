"""Reasons why accepted work does not start."""

import enum

__all__ = ["Obstacle", "OpenRunState", "WaitReason"]


class WaitReason(enum.StrEnum):
    """Why no task of a workload starts, as in log lines and metrics.

    Work that is due later, or depends on steps that are not done, does not wait. From
    OPEN_RUN to SET_ASIDE, tasks are not offered to plans. From BACKOFF to NOT_IN_PLAN,
    they are offered and not tried. NOT_PLACED is the reason of work that plans have
    tried and whose upstreams were not examined; the later ones tell what was found
    there.
    """

    OPEN_RUN = "an earlier run has not ended"
    LIST_ROUND = "upstreams may still list an end"
    BARRED = "an upstream runs it or has listed its end"
    SET_ASIDE = "set aside after an error"
    BACKOFF = "backoff after refused starts"
    NO_TICKETS = "no tickets"
    CLAIMED_CAPACITY = "claimed capacity is not free yet"
    NO_USABLE_UPSTREAM = "no usable upstream"
    NOT_IN_PLAN = "its turn in a plan has not come"
    NOT_PLACED = "not placed"
    NO_CAPACITY = "no capacity"
    QUARANTINED = "free upstreams are quarantined"
    REFUSING = "free upstreams refuse starts"
    CLAIMED_BY_OTHERS = "free capacity is claimed for others"
    ON_PROBATION = "free upstreams are on probation"
    AVOIDED = "free upstreams are avoided after failures"
    TASK_LIMIT = "limit of tasks per upstream"
    OTHER_RACK = "free upstreams are in another rack"
    RESERVED = "free upstreams are reserved for a gang"
    NO_OBSTACLE = "free upstreams without an obstacle"


class OpenRunState(enum.StrEnum):
    """Why a run that has no recorded end does not count as running.

    PROPOSED, UNCONFIRMED and INHERITED: its start is not committed, not confirmed, or
    was recorded by an earlier leader and is in no list yet. UNKNOWN: the leader has no
    upstream for it. The others are states of its upstream.
    """

    PROPOSED = "proposed"
    UNCONFIRMED = "unconfirmed"
    STOPPING = "stopping"
    INHERITED = "inherited"
    SILENT = "silent"
    DEPARTED = "departed"
    FAULTED = "set aside"
    UNKNOWN = "unknown"


class Obstacle(enum.StrEnum):
    """First obstacle that keeps a task from an upstream, in the order of the checks.

    From WITHOUT_TICKET on, the task fits into the free capacity. NONE: nothing keeps
    it from there.
    """

    EVACUATED = "evacuated"
    UNUSABLE = "unusable"
    WITHOUT_LABEL = "without_label"
    TOO_SMALL = "too_small"
    FULL = "full"
    WITHOUT_TICKET = "without_ticket"
    QUARANTINED = "quarantined"
    REFUSING = "refusing"
    CLAIMED = "claimed"
    ON_PROBATION = "on_probation"
    AVOIDED = "avoided"
    TASK_LIMIT = "task_limit"
    RESERVED = "reserved"
    OTHER_RACK = "other_rack"
    NONE = "open"
