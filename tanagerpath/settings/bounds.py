"""Times of a process that follow from the bounds of its deployment."""

__all__ = [
    "choose_control_drain_s",
    "choose_entry_drain_s",
    "choose_replace_voter_after_s",
]

# The replacement is to vote well before its VM stops counting as lost. The bounds are
# above the longest election timeout, and short enough for the losses that follow.
REPLACEMENT_SHARE = 0.6
MIN_REPLACE_VOTER_AFTER_S = 1.6
MAX_REPLACE_VOTER_AFTER_S = 2.5
# A process is killed at the end of its grace time. An entry leaves the balancer, then
# finishes its requests; a control process hands over, then stops its two servers.
ENTRY_DRAIN_SHARE = 0.42
MAX_ENTRY_DRAIN_S = 2.5
CONTROL_DRAIN_SHARE = 0.25
MAX_CONTROL_DRAIN_S = 1.5


def choose_replace_voter_after_s(catch_up_s: float) -> float:
    """Return the absence in seconds after which a voter is replaced.

    Parameters
    ----------
    catch_up_s : float
        Seconds for which a VM that is back still counts as lost.
    """
    replace_after_s = REPLACEMENT_SHARE * catch_up_s
    at_least_s = max(replace_after_s, MIN_REPLACE_VOTER_AFTER_S)
    return min(at_least_s, MAX_REPLACE_VOTER_AFTER_S)


def choose_entry_drain_s(grace_s: float) -> float:
    """Return the seconds for each of the two parts of an entry's graceful stop.

    Parameters
    ----------
    grace_s : float
        Seconds between the signal to stop and the kill.
    """
    return min(ENTRY_DRAIN_SHARE * grace_s, MAX_ENTRY_DRAIN_S)


def choose_control_drain_s(grace_s: float) -> float:
    """Return the seconds for which a control process hands over before it stops.

    Parameters
    ----------
    grace_s : float
        Seconds between the signal to stop and the kill.
    """
    return min(CONTROL_DRAIN_SHARE * grace_s, MAX_CONTROL_DRAIN_S)
