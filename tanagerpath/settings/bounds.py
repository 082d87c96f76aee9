"""Timeouts of a process, derived from the limits of its deployment."""

__all__ = [
    "MIN_DESCRIPTORS",
    "MIN_MEMORY_LIMIT_MB",
    "choose_bodies_mib",
    "choose_control_drain_s",
    "choose_entry_drain_s",
    "choose_handled_kib",
    "choose_max_connections",
    "choose_replace_voter_after_s",
]

# The replacement has to vote well before the lost VM counts as back. The minimum is
# above the longest election timeout; the maximum is short enough for later losses.
REPLACEMENT_SHARE = 0.6
MIN_REPLACE_VOTER_AFTER_S = 1.6
MAX_REPLACE_VOTER_AFTER_S = 2.5
# A process is killed after its grace period. An entry leaves the load balancer, then
# finishes its requests; a control process transfers leadership, then stops two servers.
ENTRY_DRAIN_SHARE = 0.42
MAX_ENTRY_DRAIN_S = 2.5
CONTROL_DRAIN_SHARE = 0.25
MAX_CONTROL_DRAIN_S = 1.5
# Smallest sizes that the settings allow.
MIN_MEMORY_LIMIT_MB = 32
MIN_DESCRIPTORS = 64
# Bodies have a part of the memory, and unread replies half of it. The largest message
# between processes needs the minimum; the maximum is far above any ordinary load.
BODIES_SHARE = 1 / 32
MIN_BODIES_MIB = 16
MAX_BODIES_MIB = 64
# Handlers take up to a hundred times the bytes of a body.
HANDLED_KIB_PER_MB = 0.5
# A connection takes 6 KB when idle, and 22 KB with a part of a header of 16 KB.
CONNECTIONS_PER_MB = 2
MIN_CONNECTIONS = 8


def choose_bodies_mib(memory_limit_mb: int) -> int:
    """Return the MiB that the bodies of all open requests of a process may take.

    Parameters
    ----------
    memory_limit_mb : int
        Memory of the process in MB.
    """
    share_mib = int(BODIES_SHARE * memory_limit_mb)
    return min(max(share_mib, MIN_BODIES_MIB), MAX_BODIES_MIB)


def choose_handled_kib(memory_limit_mb: int) -> int:
    """Return the KiB of large bodies that a process may handle at once.

    Parameters
    ----------
    memory_limit_mb : int
        Memory of the process in MB.
    """
    return int(HANDLED_KIB_PER_MB * memory_limit_mb)


def choose_max_connections(
    max_descriptors: int, memory_limit_mb: int, share: float
) -> int:
    """Return the number of connections that a listener may have open.

    Parameters
    ----------
    max_descriptors : int
        Descriptors of the process.
    memory_limit_mb : int
        Memory of the process in MB.
    share : float
        Share of the descriptors that the listener gets.
    """
    by_memory = CONNECTIONS_PER_MB * memory_limit_mb
    return max(min(int(share * max_descriptors), by_memory), MIN_CONNECTIONS)


def choose_replace_voter_after_s(catch_up_s: float) -> float:
    """Return the seconds of absence after which a voter is replaced.

    Parameters
    ----------
    catch_up_s : float
        Seconds for which a VM that has returned still counts as lost.
    """
    replace_after_s = REPLACEMENT_SHARE * catch_up_s
    at_least_s = max(replace_after_s, MIN_REPLACE_VOTER_AFTER_S)
    return min(at_least_s, MAX_REPLACE_VOTER_AFTER_S)


def choose_entry_drain_s(grace_s: float) -> float:
    """Return the seconds for each of the two phases of an entry's graceful stop.

    Parameters
    ----------
    grace_s : float
        Seconds between the signal to stop and the kill.
    """
    return min(ENTRY_DRAIN_SHARE * grace_s, MAX_ENTRY_DRAIN_S)


def choose_control_drain_s(grace_s: float) -> float:
    """Return the seconds that a control process has to transfer leadership.

    Parameters
    ----------
    grace_s : float
        Seconds between the signal to stop and the kill.
    """
    return min(CONTROL_DRAIN_SHARE * grace_s, MAX_CONTROL_DRAIN_S)
