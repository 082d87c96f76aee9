"""Failures of workloads, their configuration and their upstreams."""

import attrs

from tanagerpath.errors import Failure

__all__ = [
    "CancelledBefore",
    "EvacuationSuperseded",
    "InvalidConfiguration",
    "InvalidUpstreamReport",
    "InvalidWorkload",
    "NoCapacity",
    "NotConfigured",
    "RequestFault",
    "TooManyCancellations",
    "TooManyWorkloads",
    "UnknownKey",
    "UnknownQueue",
    "UnknownWave",
    "UnknownWorkload",
    "UnknownZone",
]

MAX_SHOWN_CHARS = 80


@attrs.frozen(kw_only=True)
class _WrongField(Failure):
    """A field has an invalid value.

    Attributes
    ----------
    field : str
        Path of the field.
    value : str
        The invalid value, shortened.
    expected : str
        Description of valid values.
    """

    not_run: bool = True
    field: str
    value: str
    expected: str

    @property
    def message(self) -> str:
        """One-line description for users."""
        return f"field {self.field!r}: got {self.value}, expected {self.expected}"


@attrs.frozen(kw_only=True)
class InvalidWorkload(_WrongField):
    """A workload is invalid."""


@attrs.frozen(kw_only=True)
class InvalidConfiguration(_WrongField):
    """A configuration is invalid."""


@attrs.frozen(kw_only=True)
class InvalidUpstreamReport(_WrongField):
    """A heartbeat or a list of runs is invalid."""


@attrs.frozen(kw_only=True)
class NotConfigured(Failure):
    """No configuration has been accepted yet."""

    not_run: bool = True

    @property
    def message(self) -> str:
        """One-line description for users."""
        return "no configuration has been accepted yet"


@attrs.frozen(kw_only=True)
class RequestFault(Failure):
    """An unexpected error occurred before the request took effect."""

    not_run: bool = True
    error: str

    @property
    def message(self) -> str:
        """One-line description for users."""
        return f"the request could not be handled: {self.error}"


@attrs.frozen(kw_only=True)
class UnknownQueue(Failure):
    """No queue of the current configuration matches the host and path."""

    not_run: bool = True
    host: str
    path: str
    version: int

    @property
    def message(self) -> str:
        """One-line description for users."""
        return (
            f"no queue for host {self.host!r} and path {self.path!r} "
            f"in configuration {self.version}"
        )


@attrs.frozen(kw_only=True)
class UnknownKey(Failure):
    """The caller's key belongs to no organisation of the current configuration."""

    not_run: bool = True
    queue: str
    version: int

    @property
    def message(self) -> str:
        """One-line description for users."""
        return (
            f"the key for queue {self.queue!r} is not in configuration {self.version}"
        )


@attrs.frozen(kw_only=True)
class UnknownWorkload(Failure):
    """No workload has this identity."""

    workload_id: str

    @property
    def message(self) -> str:
        """One-line description for users."""
        return f"workload {self.workload_id!r} is not known"


@attrs.frozen(kw_only=True)
class CancelledBefore(Failure):
    """The caller has cancelled the workload before its submission arrived."""

    not_run: bool = True
    workload_id: str

    @property
    def message(self) -> str:
        """One-line description for users."""
        return f"workload {self.workload_id!r} was cancelled before it was submitted"


@attrs.frozen(kw_only=True)
class TooManyCancellations(Failure):
    """A cancellation of an unknown workload can't be remembered, and has no effect."""

    workload_id: str

    @property
    def message(self) -> str:
        """One-line description for users."""
        return (
            f"workload {self.workload_id!r} is not known, and too many unknown"
            " workloads were cancelled before it"
        )


@attrs.frozen(kw_only=True)
class TooManyWorkloads(Failure):
    """The limit of unfinished workloads is reached."""

    not_run: bool = True
    bound: int

    @property
    def message(self) -> str:
        """One-line description for users."""
        return f"{self.bound} workloads are unfinished, which is the bound"


@attrs.frozen(kw_only=True)
class NoCapacity(Failure):
    """The work ahead leaves a workload no time to be of use.

    Attributes
    ----------
    workload_id, queue : str
        The refused workload, and its queue.
    """

    not_run: bool = True
    workload_id: str
    queue: str

    @property
    def message(self) -> str:
        """One-line description for users."""
        return (
            f"workload {self.workload_id!r} was refused: the work ahead of queue"
            f" {self.queue!r} would make it end too late"
        )


@attrs.frozen(kw_only=True)
class UnknownWave(Failure):
    """No upkeep wave has this number."""

    wave: int

    @property
    def message(self) -> str:
        """One-line description for users."""
        return f"upkeep wave {self.wave} is not known"


@attrs.frozen(kw_only=True)
class UnknownZone(Failure):
    """The settings name no such availability zone."""

    zone: str
    known: tuple[str, ...]

    @property
    def message(self) -> str:
        """One-line description for users."""
        return (
            f"availability zone {self.zone[:MAX_SHOWN_CHARS]!r} is not known, "
            f"expected {', '.join(self.known) or 'a name'}"
        )


@attrs.frozen(kw_only=True)
class EvacuationSuperseded(Failure):
    """Another order for the availability zone took effect in between."""

    zone: str
    expected_revision: int
    revision: int

    @property
    def message(self) -> str:
        """One-line description for users."""
        return (
            f"availability zone {self.zone!r} is at revision {self.revision}, "
            f"and no longer at {self.expected_revision}: repeat the order"
        )
