"""Which control process an entry asks next."""

__all__ = ["LeaderRoute"]


class LeaderRoute:
    """Follows the leader from hints, and searches when there is none.

    Parameters
    ----------
    addresses : tuple of str
        "ip:port" of all configured control processes.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._next = 0
        self.leader_address: str | None = None

    def choose(self) -> str:
        """Return the address to ask: the known leader, else the next in turn."""
        if self.leader_address is not None:
            return self.leader_address
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        return address

    def note_leader(self, address: str) -> None:
        """Note that a process answered as the leader."""
        self.leader_address = address

    def note_hint(self, asked: str, hinted: str) -> None:
        """Note that a process is not the leader and which one it named."""
        if self.leader_address in (None, asked):
            self.leader_address = hinted if hinted and hinted != asked else None

    def note_silence(self, asked: str) -> None:
        """Note that a process did not answer."""
        if self.leader_address == asked:
            self.leader_address = None
