"""Calls to upstreams that wait until the leader is known to hold its lease."""

from tanagerpath.core.coordination import CallUpstream

__all__ = ["LeasedCalls"]


class LeasedCalls:
    """Holds the calls of a leader's decisions back while it has no lease.

    Decisions may take longer than what is left of the lease under which they began.
    The calls of a term that has ended are never sent.
    """

    def __init__(self) -> None:
        self._term: int | None = None
        self._calls: list[CallUpstream] = []

    def __bool__(self) -> bool:
        return bool(self._calls)

    def enter_term(self, term: int | None) -> None:
        """Drop the calls of earlier terms; None if this process no longer leads."""
        if term != self._term:
            self._calls.clear()
        self._term = term

    def add(self, call: CallUpstream) -> None:
        """Add a call of the present term."""
        self._calls.append(call)

    def take(self) -> list[CallUpstream]:
        """Return all calls in the order of the decisions, and clear them."""
        calls, self._calls = self._calls, []
        return calls
