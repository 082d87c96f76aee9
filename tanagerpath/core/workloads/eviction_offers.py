"""What upstreams offer to urgent work as more and more of their runs are preempted."""

from collections.abc import Callable

import attrs

from tanagerpath.core.workloads.resources import Resources
from tanagerpath.core.workloads.runs import RunView
from tanagerpath.core.workloads.sessions import UpstreamSession
from tanagerpath.core.workloads.specs import StepKey

__all__ = ["GangKey", "UpstreamOffer", "UpstreamSearch", "Victim", "find_gang_key"]

# Step and run number that the members of a gang share.
GangKey = tuple[StepKey, int]


@attrs.frozen(eq=False)
class Victim:
    """A run that may be preempted."""

    is_sensitive: bool
    lost_cores_s: float
    number: int
    view: RunView

    @property
    def rank(self) -> tuple[bool, float, int]:
        """Sort key in the order of preference."""
        return self.is_sensitive, self.lost_cores_s, self.number


@attrs.frozen(eq=False)
class UpstreamOffer:
    """Further tasks that fit on one upstream once `victims` are preempted.

    Attributes
    ----------
    session : UpstreamSession
        The upstream.
    count : int
        Number of tasks.
    victims : tuple of Victim
        The runs to preempt.
    lost_cores_s : float
        Core seconds of work that they lose.
    has_sensitive : bool
        Whether one of them is urgent or long-running.
    members : int
        Number of candidate upstreams with members of the largest gang among them.
    """

    session: UpstreamSession
    count: int
    victims: tuple[Victim, ...] = ()
    lost_cores_s: float = 0.0
    has_sensitive: bool = False
    members: int = 1

    def rank(self, wanted: int) -> tuple[bool, float]:
        """Return the sort key of the offer for a number of tasks.

        The loss of a gang counts for all upstreams on which its members free capacity.
        """
        tasks = min(self.count * self.members, wanted)
        return self.has_sensitive, self.lost_cores_s / tasks


@attrs.define(eq=False)
class UpstreamSearch:
    """What one upstream offers, as more and more of its runs are preempted.

    Attributes
    ----------
    session : UpstreamSession
        The upstream.
    needed : Resources
        What a task takes.
    limit : int
        Largest number of tasks.
    free : Resources
        Capacity that is free, or will be after the stops that were chosen.
    victims : list of Victim
        Runs that may be preempted, the preferred ones first.
    offered : int
        Number of tasks of the accepted offers.
    revision : int
        Number of changes; earlier offers are out of date.
    """

    session: UpstreamSession
    needed: Resources
    limit: int
    free: Resources
    victims: list[Victim]
    offered: int = 0
    revision: int = 0

    def make_offer(
        self, stopped: set[GangKey], count_members: Callable[[RunView], int]
    ) -> UpstreamOffer | None:
        """Return the next offer, None if there is no further one.

        Parameters
        ----------
        stopped : set of (StepKey, int)
            Gangs that are preempted anyway, whose members are no victims.
        count_members : callable
            Returns the number of candidate upstreams with members of a gang.
        """
        if self.offered >= self.limit:
            return None
        free = self.free
        chosen: list[Victim] = []
        gangs: set[GangKey] = set()
        members = 1
        fitting = self.needed.count_in(free, self.limit)
        victims = iter(self.victims)
        while fitting <= self.offered:
            victim = next(victims, None)
            if victim is None:
                return None
            view = victim.view
            if view.spec.gang:
                key = find_gang_key(view)
                if key in stopped or key in gangs:
                    if key in gangs:
                        free = free + view.spec.reserved
                        fitting = self.needed.count_in(free, self.limit)
                    continue
                gangs.add(key)
                members = max(members, count_members(view))
            chosen.append(victim)
            free = free + view.spec.reserved
            fitting = self.needed.count_in(free, self.limit)
        return UpstreamOffer(
            self.session,
            fitting - self.offered,
            tuple(chosen),
            sum(victim.lost_cores_s for victim in chosen),
            any(victim.is_sensitive for victim in chosen),
            members,
        )

    def accept(self, offer: UpstreamOffer, tasks: int) -> None:
        """Note that an offer is used for some tasks."""
        chosen = {victim.view for victim in offer.victims}
        if chosen:
            self.victims = [one for one in self.victims if one.view not in chosen]
        self.offered += tasks
        self.revision += 1

    def add_free(self, freed: Resources) -> None:
        """Add capacity that the stop of a run frees."""
        self.free = self.free + freed
        self.revision += 1


def find_gang_key(view: RunView) -> GangKey:
    """Return the key of the gang run that a run is a member of."""
    return view.task.step_key, view.run
