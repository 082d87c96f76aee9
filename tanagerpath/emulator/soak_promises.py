"""What callers of the soak were told, and what may not be shown afterwards."""

import enum

import attrs

__all__ = [
    "ConfigurationAcknowledged",
    "ConfigurationShown",
    "Promises",
    "Shown",
    "SoakEvent",
    "WorkloadAccepted",
    "WorkloadCancelSent",
    "WorkloadRefused",
    "WorkloadShown",
]


class Shown(enum.StrEnum):
    """What a reply says of a workload."""

    OPEN = "open"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    MISSING = "missing"
    UNCLEAR = "unclear"


_FINAL = (Shown.COMPLETED, Shown.FAILED, Shown.CANCELLED)


@attrs.frozen
class ConfigurationAcknowledged:
    """A configuration was acknowledged; the exchange began and ended in seconds."""

    version: int
    began_s: float
    ended_s: float


@attrs.frozen
class ConfigurationShown:
    """A control process showed a configuration.

    Attributes
    ----------
    process : str
        Name of the process; another one after each start.
    version : int
        Version that was read.
    is_whole : bool
        Whether the content is what was sent under this version.
    began_s, ended_s : float
        Instants of the exchange.
    """

    process: str
    version: int
    is_whole: bool
    began_s: float
    ended_s: float


@attrs.frozen
class WorkloadAccepted:
    """A workload was accepted."""

    workload_id: str
    began_s: float
    ended_s: float


@attrs.frozen
class WorkloadRefused:
    """A workload was refused as not run, and no try before had an unclear end."""

    workload_id: str


@attrs.frozen
class WorkloadCancelSent:
    """The cancellation of a workload is about to be sent."""

    workload_id: str


@attrs.frozen
class WorkloadShown:
    """A reply told the state of a workload."""

    workload_id: str
    shown: Shown
    began_s: float
    ended_s: float


SoakEvent = (
    ConfigurationAcknowledged
    | ConfigurationShown
    | WorkloadAccepted
    | WorkloadCancelSent
    | WorkloadRefused
    | WorkloadShown
)


class Promises:
    """Compares each reply with what earlier replies have promised.

    A reply is judged by what was promised before its exchange began, because exchanges
    that overlap may take effect in any order.
    """

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.acknowledged_version = 0
        self._acknowledged: list[tuple[float, int]] = []
        self._shown: dict[str, tuple[float, int]] = {}
        self._accepted_s: dict[str, float] = {}
        self._settled: dict[str, tuple[Shown, float]] = {}
        self._cancels_sent: set[str] = set()
        self._refused: set[str] = set()
        self._served_s: dict[str, float] = {}

    @property
    def accepted_count(self) -> int:
        """Number of accepted workloads."""
        return len(self._accepted_s)

    def handle(self, event: SoakEvent) -> None:
        """Take what a caller saw."""
        match event:
            case ConfigurationAcknowledged(version, began_s, ended_s):
                self.acknowledged_version = max(self.acknowledged_version, version)
                self._acknowledged.append((ended_s, self.acknowledged_version))
                self._note_served("configuration change", began_s)
            case ConfigurationShown():
                self._take_configuration(event)
            case WorkloadAccepted(workload_id, began_s, ended_s):
                self._accepted_s.setdefault(workload_id, ended_s)
                self._note_served("workload", began_s)
            case WorkloadCancelSent(workload_id):
                self._cancels_sent.add(workload_id)
            case WorkloadRefused(workload_id):
                self._refused.add(workload_id)
            case WorkloadShown():
                self._take_workload(event)

    def list_unserved(self, since_s: float, processes: tuple[str, ...]) -> list[str]:
        """Return the requests that were not served since an instant.

        Parameters
        ----------
        since_s : float
            An exchange that began later counts.
        processes : tuple of str
            Control processes that must show the configuration.
        """
        wanted = ("configuration change", "workload", *map(_name_read, processes))
        return [one for one in wanted if self._served_s.get(one, 0.0) <= since_s]

    def list_unsettled(self) -> list[str]:
        """Return the accepted workloads that have not reached their final state.

        It is `COMPLETED`, unless a cancellation was sent, which may come too late.
        """
        return [one for one in self._accepted_s if not self._is_settled(one)]

    def _is_settled(self, workload_id: str) -> bool:
        shown, _ = self._settled.get(workload_id, (Shown.OPEN, 0.0))
        is_cancelled = shown is Shown.CANCELLED and workload_id in self._cancels_sent
        return shown is Shown.COMPLETED or is_cancelled

    def _note_served(self, request: str, began_s: float) -> None:
        self._served_s[request] = max(began_s, self._served_s.get(request, 0.0))

    def _take_configuration(self, event: ConfigurationShown) -> None:
        self._note_served(_name_read(event.process), event.began_s)
        floor = max(
            (v for at_s, v in self._acknowledged if at_s <= event.began_s), default=0
        )
        if event.version < floor:
            self.broken.append(
                f"{event.process} showed configuration {event.version} at "
                f"{event.ended_s:.2f} s after {floor} was acknowledged"
            )
        shown_s, shown = self._shown.get(event.process, (0.0, 0))
        if event.version < shown and shown_s <= event.began_s:
            self.broken.append(
                f"{event.process} showed configuration {event.version} at "
                f"{event.ended_s:.2f} s after it had shown {shown}"
            )
        if event.version >= shown:
            self._shown[event.process] = (event.ended_s, event.version)
        if not event.is_whole:
            self.broken.append(
                f"{event.process} showed other content under {event.version}"
            )

    def _take_workload(self, event: WorkloadShown) -> None:
        workload_id = event.workload_id
        if event.shown is Shown.UNCLEAR:
            return
        if workload_id in self._refused:
            if event.shown is not Shown.MISSING:
                self.broken.append(
                    f"workload {workload_id} was refused as not run and is there"
                )
            return
        if self._accepted_s.get(workload_id, event.began_s) < event.began_s and (
            event.shown is Shown.MISSING
        ):
            self.broken.append(
                f"workload {workload_id} was accepted and is missing at "
                f"{event.ended_s:.2f} s"
            )
        self._check_final_state(event)

    def _check_final_state(self, event: WorkloadShown) -> None:
        workload_id, shown = event.workload_id, event.shown
        final, settled_s = self._settled.get(workload_id, (shown, event.began_s))
        if shown not in (final, Shown.MISSING) and settled_s < event.began_s:
            self.broken.append(
                f"workload {workload_id} was shown as {final} and is {shown} at "
                f"{event.ended_s:.2f} s"
            )
        if shown is Shown.FAILED:
            self.broken.append(f"workload {workload_id} failed without cause")
        if shown in _FINAL:
            self._settled.setdefault(workload_id, (shown, event.ended_s))


def _name_read(process: str) -> str:
    return f"configuration read at {process}"
