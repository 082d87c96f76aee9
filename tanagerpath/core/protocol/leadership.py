"""Reply of a process that does not lead, to requests for the leader."""

import attrs

__all__ = ["NotLeaderReply"]


@attrs.frozen
class NotLeaderReply:
    """The process cannot decide now: it does not lead or has no leader lease.

    Attributes
    ----------
    leader_vm_id : str
        VM of the known leader, empty if none.
    leader_address : str
        "ip:port" of the known leader, empty if none.
    may_commit : bool
        Whether the request was appended to the log before leadership was lost, so that
        it may still take effect.
    """

    leader_vm_id: str = ""
    leader_address: str = ""
    may_commit: bool = False
