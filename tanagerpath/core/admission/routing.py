"""Choice of the control process that an entry asks next."""

import abc

__all__ = ["LeaderRoute", "Route", "SearchingRoute"]

# Time for which a process that did not reply is not asked, not even on a hint.
NO_REPLY_PAUSE_S = 1.0
# Far more than the replicas of a group; bounds the stale addresses of lost VMs.
MAX_LEARNED_ADDRESSES = 64


class Route(abc.ABC):
    """Tracks the leader from replies and leader hints.

    Attributes
    ----------
    leader_address : str or None
        "ip:port" of the process that is assumed to be the leader.
    is_confirmed : bool
        Whether that process itself replied as the leader.
    """

    def __init__(self) -> None:
        self.leader_address: str | None = None
        self.is_confirmed = False

    @abc.abstractmethod
    def find_address(self, now_s: float) -> str | None:
        """Return the address to ask now, or None to wait for a leader."""

    def note_leader(self, address: str) -> None:
        """Note that a process answered as the leader."""
        self.leader_address = address
        self.is_confirmed = True

    def note_hint(self, asked: str, hinted: str) -> None:
        """Note that a process is not the leader, and which one it named, if any."""
        is_newer = bool(hinted) and not self.is_confirmed
        if is_newer or self.leader_address in (None, asked):
            self.leader_address = hinted if hinted and hinted != asked else None
            self.is_confirmed = False

    def note_no_reply(self, asked: str, now_s: float = 0.0) -> None:
        """Note that a process did not answer."""
        if self.leader_address == asked:
            self.leader_address = None
            self.is_confirmed = False


class LeaderRoute(Route):
    """Asks only the known leader, which another task searches for.

    Parameters
    ----------
    addresses : tuple of str
        "ip:port" of all configured control processes.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        super().__init__()
        self._addresses = addresses
        self._next_index = 0

    def find_address(self, now_s: float) -> str | None:
        """Return the known leader."""
        return self.leader_address

    def choose(self) -> str:
        """Return the known leader, or the next configured process in turn."""
        if self.leader_address is not None:
            return self.leader_address
        address = self._addresses[self._next_index % len(self._addresses)]
        self._next_index += 1
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
        self._learned_addresses: tuple[str, ...] = ()
        self._avoided_until_s: dict[str, float] = {}
        self._next_index = 0

    @property
    def seeds(self) -> tuple[str, ...]:
        """Control processes from the settings."""
        return self._seeds

    @property
    def addresses(self) -> tuple[str, ...]:
        """All known control processes."""
        return tuple(dict.fromkeys((*self._learned_addresses, *self._seeds)))

    def replace_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the control processes from the settings."""
        self._seeds = seeds

    def replace_members(self, addresses: tuple[str, ...]) -> None:
        """Replace the control processes that the leader named."""
        self._learned_addresses = addresses

    def add_member(self, address: str) -> None:
        """Add a control process that announced its address."""
        if address not in self._learned_addresses:
            self._learned_addresses = (*self._learned_addresses, address)[
                -MAX_LEARNED_ADDRESSES:
            ]

    def find_address(self, now_s: float) -> str | None:
        """Return the known leader, or the next process that is not avoided."""
        leader = self.leader_address
        if leader is not None and not self._is_avoided(leader, now_s):
            return leader
        addresses = self.addresses
        for _ in addresses:
            address = addresses[self._next_index % len(addresses)]
            self._next_index += 1
            if not self._is_avoided(address, now_s):
                return address
        # None replied lately: the one that has been avoided for longest is asked.
        return min(addresses, key=self._avoided_until_s.get, default=None)

    def note_leader(self, address: str) -> None:
        """Note that a process answered as the leader."""
        super().note_leader(address)
        self._avoided_until_s.pop(address, None)

    def _is_avoided(self, address: str, now_s: float) -> bool:
        return now_s < self._avoided_until_s.get(address, 0.0)

    def note_no_reply(self, asked: str, now_s: float = 0.0) -> None:
        """Note that a process did not answer."""
        super().note_no_reply(asked, now_s)
        self._avoided_until_s[asked] = now_s + NO_REPLY_PAUSE_S
