"""Failures that an entry itself returns."""

import attrs

from tanagerpath.errors import Failure

__all__ = [
    "EntryDraining",
    "EntryStale",
    "NoLeader",
    "OutcomeUncertain",
    "Overloaded",
]


@attrs.frozen(kw_only=True)
class EntryStale(Failure):
    """The entry cannot prove that its documents are up to date."""

    not_run: bool = True

    @property
    def message(self) -> str:
        """One line for people."""
        return "this entry has not heard from the leader within the staleness bound"


@attrs.frozen(kw_only=True)
class EntryDraining(Failure):
    """The entry is stopping and accepts no new requests."""

    not_run: bool = True

    @property
    def message(self) -> str:
        """One line for people."""
        return "this entry is stopping; send the request through another entry"


@attrs.frozen(kw_only=True)
class Overloaded(Failure):
    """A queue has reached its limit."""

    not_run: bool = True
    queue: str
    limit: int

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.queue} has reached its limit of {self.limit}"


@attrs.frozen(kw_only=True)
class NoLeader(Failure):
    """No leader was found before the deadline, so nothing was sent to one."""

    not_run: bool = True

    @property
    def message(self) -> str:
        """One line for people."""
        return "no control leader was found before the deadline"


@attrs.frozen(kw_only=True)
class OutcomeUncertain(Failure):
    """The request may have reached the leader; send it again with the same key."""

    detail: str = ""

    @property
    def message(self) -> str:
        """One line for people."""
        return (
            "the request may have been accepted; send it again with the same key "
            f"({self.detail})"
        )
