"""Which control process an entry asks next."""

import abc

__all__ = ["LeaderRoute", "Route", "SearchingRoute"]

# A hint to a process that has just been silent is not followed for this long.
SILENCE_S = 1.0
# Far more than the replicas of a group; those of lost VMs are not kept for ever.
MAX_LEARNED = 64


class Route(abc.ABC):
    """Follows the leader from answers and hints.

    Attributes
    ----------
    leader_address : str or None
        "ip:port" of the process that is taken for the leader.
    is_confirmed : bool
        Whether that process was the last one asked and answered as the leader.
    """

    def __init__(self) -> None:
        self.leader_address: str | None = None
        self.is_confirmed = False

    @abc.abstractmethod
    def find_address(self, now_s: float) -> str | None:
        """Return the address to ask at an instant, None to wait for the leader."""

    def note_leader(self, address: str) -> None:
        """Note that a process answered as the leader."""
        self.leader_address = address
        self.is_confirmed = True

    def note_hint(self, asked: str, hinted: str) -> None:
        """Note that a process is not the leader and which one it named."""
        is_newer = bool(hinted) and not self.is_confirmed
        if is_newer or self.leader_address in (None, asked):
            self.leader_address = hinted if hinted and hinted != asked else None
            self.is_confirmed = False

    def note_silence(self, asked: str, now_s: float = 0.0) -> None:
        """Note that a process did not answer."""
        if self.leader_address == asked:
            self.leader_address = None
            self.is_confirmed = False


class LeaderRoute(Route):
    """Asks only the known leader, which another task finds.

    Parameters
    ----------
    addresses : tuple of str
        "ip:port" of all configured control processes.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        super().__init__()
        self._addresses = addresses
        self._next = 0

    def find_address(self, now_s: float) -> str | None:
        """Return the known leader."""
        return self.leader_address

    def choose(self) -> str:
        """Return the address to ask: the known leader, else the next in turn."""
        if self.leader_address is not None:
            return self.leader_address
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        return address


class SearchingRoute(Route):
    """Asks the known leader, or all known control processes in turn.

    Parameters
    ----------
    seeds : tuple of str
        "ip:port" of the control processes that the settings name.
    """

    def __init__(self, seeds: tuple[str, ...]) -> None:
        super().__init__()
        self._seeds = seeds
        self._learned: tuple[str, ...] = ()
        self._silent_until_s: dict[str, float] = {}
        self._next = 0

    @property
    def seeds(self) -> tuple[str, ...]:
        """Control processes that the settings name."""
        return self._seeds

    @property
    def addresses(self) -> tuple[str, ...]:
        """All known control processes."""
        return tuple(dict.fromkeys((*self._learned, *self._seeds)))

    def note_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take the control processes that changed settings name."""
        self._seeds = seeds

    def note_members(self, addresses: tuple[str, ...]) -> None:
        """Take the control processes that the leader has named."""
        self._learned = addresses

    def note_member(self, address: str) -> None:
        """Take a control process that has told where it is."""
        if address not in self._learned:
            self._learned = (*self._learned, address)[-MAX_LEARNED:]

    def find_address(self, now_s: float) -> str | None:
        """Return the known leader, or the next process that was not silent."""
        leader = self.leader_address
        if leader is not None and not self._is_silent(leader, now_s):
            return leader
        addresses = self.addresses
        for _ in addresses:
            address = addresses[self._next % len(addresses)]
            self._next += 1
            if not self._is_silent(address, now_s):
                return address
        # All were silent: the one that has been so for longest is asked first.
        return min(addresses, key=self._silent_until_s.get, default=None)

    def note_leader(self, address: str) -> None:
        """Note that a process answered as the leader."""
        super().note_leader(address)
        self._silent_until_s.pop(address, None)

    def _is_silent(self, address: str, now_s: float) -> bool:
        return now_s < self._silent_until_s.get(address, 0.0)

    def note_silence(self, asked: str, now_s: float = 0.0) -> None:
        """Note that a process did not answer."""
        super().note_silence(asked, now_s)
        self._silent_until_s[asked] = now_s + SILENCE_S
