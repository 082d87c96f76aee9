"""Seeded world in memory for the check of the whole core.

Network, clocks and disks are the models that the check of the replica uses. All
randomness comes from one source, so a seed repeats a run exactly.
"""

import heapq
import random
from collections.abc import Callable

import attrs

from tanagerpath.core.consensus.simulated import NetworkFaults, SimulatedClock
from tanagerpath.errors import Failure

__all__ = ["Party", "Refused", "Silence", "World"]

START_UNIX_S = 1_700_000_000.0
# A refused connection tells the sender at once that nothing was received.
REFUSAL_DELAY_S = 0.001
REFUSAL_SHARE = 0.5

Respond = Callable[[object], None]


@attrs.frozen(kw_only=True)
class Silence(Failure):
    """An exchange ended without a reply; the request may have been received."""

    address: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.address} did not answer in time"


@attrs.frozen(kw_only=True)
class Refused(Failure):
    """No process accepts connections at the address, so nothing was received."""

    address: str

    @property
    def message(self) -> str:
        """One line for people."""
        return f"{self.address} refused the connection"


class World:
    """Event queue and network between named parties.

    Parameters
    ----------
    seed : int
        Seed of all decisions.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.faults = NetworkFaults()
        self.cuts: set[tuple[str, str]] = set()
        self.steps = 0
        self.trace: list[str] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._queued = 0

    @property
    def unix_s(self) -> float:
        """UTC seconds."""
        return START_UNIX_S + self.now_s

    def note(self, line: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{self.now_s:9.4f} {line}")

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call `action` after `delay_s` seconds of virtual time."""
        self._queued += 1
        heapq.heappush(self._queue, (self.now_s + delay_s, self._queued, action))

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Run until `condition` holds; return False if it does not in `limit_s`."""
        end_s = self.now_s + limit_s
        while not condition():
            if not self._queue or self._queue[0][0] > end_s:
                self.now_s = end_s
                return False
            self.now_s, _, action = heapq.heappop(self._queue)
            self.steps += 1
            action()
        return True

    def transmit(
        self,
        sender: str,
        receiver: str,
        deliver: Callable[[], None],
        repeat: bool = True,
    ) -> None:
        """Let the network carry a message; `repeat` allows a second copy."""
        if (sender, receiver) in self.cuts:
            return
        delays = self.faults.draw_delays(self.random)
        for delay_s in delays if repeat else delays[:1]:
            self.schedule(delay_s, deliver)

    def exchange(
        self,
        sender: "Party",
        receiver: "Party",
        request: object,
        finish: Respond,
        timeout_s: float,
        repeat: bool = True,
    ) -> None:
        """Carry out one exchange over a connection.

        Parameters
        ----------
        sender, receiver : Party
            Who asks whom.
        request : object
            Passed to `receiver.serve`, twice if the network repeats it.
        finish : callable
            Called once with the reply, `Silence` or `Refused`, unless the process of
            the sender has ended by then.
        timeout_s : float
            Seconds after which the sender gives up.
        repeat : bool
            Whether the network may repeat the request.
        """
        start = sender.starts
        open_ = [True]

        def conclude(reply: object) -> None:
            if open_ and sender.starts == start and sender.is_up:
                open_.clear()
                sender.receive(lambda: finish(reply))

        def respond(reply: object) -> None:
            self.transmit(receiver.name, sender.name, lambda: conclude(reply))

        def serve() -> None:
            if receiver.is_up:
                receiver.receive(lambda: receiver.serve(request, respond))

        reachable = (sender.name, receiver.name) not in self.cuts
        if not receiver.is_up and reachable and self.random.random() < REFUSAL_SHARE:
            refused = Refused(address=receiver.name)
            self.schedule(REFUSAL_DELAY_S, lambda: conclude(refused))
            return
        self.transmit(sender.name, receiver.name, serve, repeat)
        silence = Silence(address=receiver.name)
        self.schedule(timeout_s, lambda: conclude(silence))


class Party:
    """A process that exchanges messages; may crash, freeze and start again.

    Parameters
    ----------
    world : World
        Where it lives.
    name : str
        Name in the network.
    """

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.starts = 0
        self.is_up = False
        self.frozen = False
        self.clock = SimulatedClock(0.0, 1.0)
        self._waiting: list[Callable[[], None]] = []

    @property
    def local_s(self) -> float:
        """What the clock of the process shows."""
        return self.clock.read_s(self.world.now_s)

    def begin(self) -> None:
        """Start the process with a new clock."""
        self.starts += 1
        self.is_up = True
        self.frozen = False
        self._waiting.clear()
        self.clock = SimulatedClock.from_random(self.world.random)

    def end(self) -> None:
        """Kill the process."""
        self.is_up = False
        self.frozen = False
        self._waiting.clear()

    def freeze(self) -> None:
        """Stop the process for a while; its messages wait and its clock goes on."""
        self.frozen = self.is_up

    def thaw(self) -> None:
        """Let a frozen process go on."""
        if not self.frozen:
            return
        self.frozen = False
        waiting, self._waiting = self._waiting, []
        for action in waiting:
            action()

    def receive(self, action: Callable[[], None]) -> None:
        """Handle something now, or once the process goes on."""
        if self.frozen:
            self._waiting.append(action)
        else:
            action()

    def serve(self, request: object, respond: Respond) -> None:
        """Handle a request; `respond` may be called at any later instant."""
        raise NotImplementedError

    def repeat(self, interval_s: float, action: Callable[[], None]) -> None:
        """Call `action` again and again while this process lives."""
        start = self.starts

        def run() -> None:
            if self.is_up and self.starts == start:
                if not self.frozen:
                    action()
                self.world.schedule(interval_s, run)

        self.world.schedule(0.0, run)
