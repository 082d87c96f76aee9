"""Faults of the soak, and the sequence in which they overlap; no input or output."""

import abc
import math

import attrs

__all__ = [
    "FAULTS",
    "LEADER",
    "Fault",
    "FaultSequence",
    "FaultStep",
    "FaultTarget",
    "Freeze",
    "Kill",
    "Terminate",
]

# Stands in a step for the VM whose process leads when the step begins.
LEADER = "leader"


class FaultTarget(abc.ABC):
    """What can be done to the control processes, by the name of their VM."""

    @abc.abstractmethod
    def kill(self, vm_id: str) -> None:
        """End the process at once."""

    @abc.abstractmethod
    def terminate(self, vm_id: str) -> None:
        """Ask the process to end."""

    @abc.abstractmethod
    def freeze(self, vm_id: str) -> None:
        """Keep the process from running."""

    @abc.abstractmethod
    def resume(self, vm_id: str) -> None:
        """Let a frozen process run again."""

    @abc.abstractmethod
    def wipe(self, vm_id: str) -> None:
        """Remove the data folder; the process must have ended."""

    @abc.abstractmethod
    def move(self, vm_id: str) -> None:
        """Give the VM another address and an empty folder; the old ones are gone."""

    @abc.abstractmethod
    def reload(self, vm_id: str) -> None:
        """Write the settings with the present addresses and tell the process."""

    @abc.abstractmethod
    async def start(self, vm_id: str) -> None:
        """Start the process again once it has ended, and wait until it listens."""


class Fault(abc.ABC):
    """A fault of one control process.

    `is_loss` says whether the VM counts as lost while the fault lasts and for the time
    of catching up after it.
    """

    name = ""
    is_loss = True

    @abc.abstractmethod
    def begin(self, target: FaultTarget, vm_id: str) -> None:
        """Inflict the fault."""

    async def end(self, target: FaultTarget, vm_id: str) -> None:
        """Bring the process back."""
        await target.start(vm_id)


class Kill(Fault):
    """The process is killed and starts again with its data."""

    name = "kill"

    def begin(self, target: FaultTarget, vm_id: str) -> None:
        """Kill the process."""
        target.kill(vm_id)


class Terminate(Fault):
    """The process stops gracefully and starts again with its data."""

    name = "terminate"

    def begin(self, target: FaultTarget, vm_id: str) -> None:
        """Ask the process to end."""
        target.terminate(vm_id)


class Freeze(Fault):
    """The process stands still and wakes again."""

    name = "freeze"

    def begin(self, target: FaultTarget, vm_id: str) -> None:
        """Freeze the process."""
        target.freeze(vm_id)

    async def end(self, target: FaultTarget, vm_id: str) -> None:
        """Resume the process."""
        target.resume(vm_id)


class Wipe(Fault):
    """The process is killed and starts again without its data."""

    name = "wipe"

    def begin(self, target: FaultTarget, vm_id: str) -> None:
        """Kill the process and remove its data."""
        target.kill(vm_id)
        target.wipe(vm_id)


class Replace(Fault):
    """The VM is gone for good; another one takes its place at another address."""

    name = "replace"

    def begin(self, target: FaultTarget, vm_id: str) -> None:
        """Kill the process and give its place another address."""
        target.kill(vm_id)
        target.move(vm_id)


class Reload(Fault):
    """The settings of the process change while it runs."""

    name = "reload"
    is_loss = False

    def begin(self, target: FaultTarget, vm_id: str) -> None:
        """Change the settings."""
        target.reload(vm_id)

    async def end(self, target: FaultTarget, vm_id: str) -> None:
        """Leave the process as it is."""
        return None


FAULTS: tuple[Fault, ...] = (
    Kill(),
    Terminate(),
    Freeze(),
    Wipe(),
    Replace(),
    Reload(),
)


@attrs.frozen
class FaultStep:
    """One fault of a sequence.

    Attributes
    ----------
    fault : Fault
        What happens.
    vm_id : str
        Where it happens, or `LEADER`.
    pause_s : float
        Least time in seconds after the begin of the step before it.
    duration_s : float
        Time in seconds from the begin of the fault to its end.
    """

    fault: Fault
    vm_id: str
    pause_s: float
    duration_s: float


class FaultSequence:
    """Says when each step of a series begins and ends, within the tolerated losses.

    A step that would exceed them, or whose VM is lost, waits and holds back those after
    it, so that the order of a seed never depends on the speed of the machine.

    Parameters
    ----------
    steps : tuple of FaultStep
        The series.
    tolerated_losses : int
        VMs that may be lost at the same time.
    catch_up_s : float
        Time in seconds for which a VM that is back counts as lost.
    now_s : float
        Instant at which the series begins.
    """

    def __init__(
        self,
        steps: tuple[FaultStep, ...],
        tolerated_losses: int,
        catch_up_s: float,
        now_s: float,
    ) -> None:
        self._steps = list(steps)
        self._tolerated_losses = tolerated_losses
        self._catch_up_s = catch_up_s
        self._last_begin_s = now_s
        self._lost_until_s: dict[str, float] = {}
        self._running: list[tuple[float, FaultStep]] = []

    def begin_due(self, now_s: float, leader_id: str = LEADER) -> FaultStep | None:
        """Return the next step if it begins now; call again until there is none.

        A step at the leader waits until a process that is not lost leads, which
        `leader_id` names.
        """
        if not self._steps:
            return None
        step = self._steps[0]
        if step.vm_id == LEADER:
            step = attrs.evolve(step, vm_id=leader_id)
        if step.vm_id == LEADER:
            return None
        lost = self.list_lost(now_s)
        if now_s < self._last_begin_s + step.pause_s or step.vm_id in lost:
            return None
        if step.fault.is_loss:
            if len(lost) >= self._tolerated_losses:
                return None
            self._lost_until_s[step.vm_id] = math.inf
            self._running.append((now_s + step.duration_s, step))
        self._last_begin_s = now_s
        del self._steps[0]
        return step

    def end_due(self, now_s: float) -> FaultStep | None:
        """Return a step whose fault ends now; call again until there is none."""
        for index, (ends_s, step) in enumerate(self._running):
            if ends_s <= now_s:
                del self._running[index]
                return step
        return None

    def note_back(self, vm_id: str, now_s: float) -> None:
        """Note that the process of a VM runs again."""
        self._lost_until_s[vm_id] = now_s + self._catch_up_s

    def list_lost(self, now_s: float) -> list[str]:
        """Return the VMs that count as lost."""
        return [vm for vm, until_s in self._lost_until_s.items() if until_s > now_s]

    def is_over(self, now_s: float) -> bool:
        """Whether all steps are done and no VM counts as lost."""
        return not self._steps and not self.list_lost(now_s)
