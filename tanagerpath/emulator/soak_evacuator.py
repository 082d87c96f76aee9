"""Operator of the soak who evacuates availability zones."""

import random

import anyio
import attrs
from returns.pipeline import is_successful

from tanagerpath.emulator.soak_clients import (
    EXCHANGE_TIMEOUT_S,
    PAUSE_S,
    ControlsMoved,
)
from tanagerpath.emulator.soak_evacuations import (
    EvacuationAcknowledged,
    EvacuationOrdered,
)
from tanagerpath.emulator.soak_interface import SoakInterface
from tanagerpath.emulator.soak_site import ZONES
from tanagerpath.runtime import Mailbox, Reply, Task
from tanagerpath.runtime.client import HttpClient

__all__ = ["EvacuatorTask", "WithdrawEvacuation"]

# Shortest and longest time until the next order; evacuations that last beyond their
# time limit show starts that come late.
STAYS_S = (1.0, 9.0)
PAUSES_S = (0.5, 3.0)


@attrs.frozen(eq=False)
class WithdrawEvacuation:
    """Ends the orders; `reply` gets True once no zone is evacuated."""

    reply: Reply[bool]


class EvacuatorTask(Task):
    """Evacuates one zone after the other; each order is sent until acknowledged.

    Parameters
    ----------
    interface : SoakInterface
        Form of the requests.
    judge : Mailbox
        Gets each order and each acknowledgement.
    source : random.Random
        Draws the zones and the times.
    """

    def __init__(
        self, interface: SoakInterface, judge: Mailbox, source: random.Random
    ) -> None:
        self._interface = interface
        self._judge = judge
        self._source = source
        self._addresses: tuple[str, ...] = ()
        self._index = 0
        self._end: Reply[bool] | None = None
        self.mailbox: Mailbox = Mailbox("evacuator")

    async def run(self) -> None:
        """Send orders until told to withdraw them."""
        while self._end is None:
            await self._wait(self._source.uniform(*PAUSES_S))
            if self._end is None:
                zone = self._source.choice(ZONES)
                await self._order(zone, True)
                await self._wait(self._source.uniform(*STAYS_S))
                await self._order(zone, False)
        self._end.send(True)

    async def _wait(self, duration_s: float) -> None:
        """Wait for a time, or until the orders are to end."""
        until_s = anyio.current_time() + duration_s
        while self._end is None:
            message = await self.mailbox.receive(until_s)
            if message is None:
                return
            self._take(message)

    def _take(self, message: ControlsMoved | WithdrawEvacuation) -> None:
        match message:
            case ControlsMoved(addresses):
                self._addresses = addresses
            case WithdrawEvacuation(reply):
                self._end = reply

    async def _order(self, zone: str, is_evacuated: bool) -> None:
        self._judge.post(EvacuationOrdered(zone, is_evacuated))
        while not await self._send(zone, is_evacuated):
            self._index += 1
            await anyio.sleep(PAUSE_S)
        at_s = anyio.current_time()
        self._judge.post(EvacuationAcknowledged(zone, is_evacuated, at_s))

    async def _send(self, zone: str, is_evacuated: bool) -> bool:
        """Send an order to one process; return whether it is acknowledged."""
        for message in self.mailbox.take_waiting():
            self._take(message)
        if not self._addresses:
            return False
        address = self._addresses[self._index % len(self._addresses)]
        client = HttpClient(address, 1)
        try:
            request = self._interface.change_evacuation(zone, is_evacuated)
            result = await client.send(request, timeout_s=EXCHANGE_TIMEOUT_S)
        finally:
            with anyio.CancelScope(shield=True):
                await client.close()
        return is_successful(result) and self._interface.is_accepted(result.unwrap())
