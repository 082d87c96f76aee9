"""Configuration of queues, pools and organisations, and its validation."""

import attrs

from tanagerpath.core.workloads.failures import (
    InvalidConfiguration,
    UnknownKey,
    UnknownQueue,
)
from tanagerpath.core.workloads.resources import Resources
from tanagerpath.errors import Failure

__all__ = [
    "AdviceTerms",
    "CallerLimits",
    "Configuration",
    "Organisation",
    "Pool",
    "Queue",
]


@attrs.frozen(kw_only=True)
class AdviceTerms:
    """Timing of the advice service, which must allow each upstream for a task.

    Attributes
    ----------
    decision_s, per_upstream_s : float
        Seconds that a decision takes, and the addition for each upstream in it.
    validity_s : float
        Seconds for which a ticket is valid.
    """

    decision_s: float = 0.0
    per_upstream_s: float = 0.0
    validity_s: float = 0.0


@attrs.frozen(kw_only=True)
class Queue:
    """A queue to which callers submit workloads of one kind.

    Attributes
    ----------
    name : str
        Name of the queue.
    host, prefix : str
        Host and path prefix of its calls.
    pool : str
        Pool of upstreams that runs its tasks.
    priority : int
        0 is the highest, called urgent, and may preempt others.
    max_attempts : int
        Failed runs of a task, or of a gang, after which the workload fails.
    objective_factor : float
        Objective of a workload as a multiple of its critical path.
    objective_margin_s : float
        Seconds that are added to the objective.
    public : bool
        Whether calls are accepted without a key.
    timeout_s : float
        Time limit of a call.
    advice : AdviceTerms or None
        Timing of the advice service; None if the queue needs no advice.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    objective_margin_s: float = 0.0
    public: bool = False
    timeout_s: float = 3.0
    advice: AdviceTerms | None = None


@attrs.frozen(kw_only=True)
class Pool:
    """A pool of upstreams of one service.

    Attributes
    ----------
    name : str
        Name of the pool in the heartbeats of its upstreams.
    refuses_overload : bool
        Whether its upstreams refuse tasks that exceed their free resources.
    standby : bool
        Whether its VMs are switched off.
    """

    name: str
    refuses_overload: bool = False
    standby: bool = False


@attrs.frozen(kw_only=True)
class Organisation:
    """An organisation that submits workloads.

    Attributes
    ----------
    name : str
        Name of the organisation.
    api_keys : tuple of str
        API keys of its calls.
    guaranteed : Resources
        Capacity that is guaranteed at all times to its workloads of priority 0.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    guaranteed: Resources = Resources()


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits of the requests and connections of callers; None for a default.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int or None
        Size of all header fields, and of the body.
    header_timeout_s : float or None
        Time until the header of a request is complete.
    idle_timeout_s : float or None
        Time after which an idle connection is closed.
    """

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_s: float | None = None
    idle_timeout_s: float | None = None


@attrs.frozen(kw_only=True)
class Configuration:
    """A complete configuration.

    Attributes
    ----------
    version : int
        Version number; the highest takes effect.
    queues, pools, organisations : tuple
        Definitions.
    document : str
        Text that the operator sent, returned to readers unchanged.
    caller_limits : CallerLimits or None
        Limits for callers; None if the configuration has none.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    document: str = ""
    caller_limits: CallerLimits | None = None

    def find_fault(self) -> InvalidConfiguration | None:
        """Return the first error in the configuration, None if it is valid."""
        return self._find_queue_fault() or self._find_key_fault()

    def _find_queue_fault(self) -> InvalidConfiguration | None:
        pools = {pool.name for pool in self.pools}
        routes: set[tuple[str, str]] = set()
        for queue in self.queues:
            if queue.pool not in pools:
                return InvalidConfiguration(
                    field=f"queue {queue.name}",
                    value=repr(queue.pool),
                    expected="a service of this configuration",
                )
            if queue.timeout_s <= 0:
                return InvalidConfiguration(
                    field=f"queue {queue.name}",
                    value=f"timeout {queue.timeout_s:g} s",
                    expected="a timeout above 0",
                )
            route = (queue.host.lower(), queue.prefix)
            if route in routes:
                return InvalidConfiguration(
                    field=f"queue {queue.name}",
                    value=f"{queue.host}{queue.prefix}",
                    expected="a host and prefix that no other queue has",
                )
            routes.add(route)
        return None

    def _find_key_fault(self) -> InvalidConfiguration | None:
        owners: dict[str, str] = {}
        for organisation in self.organisations:
            for key in organisation.api_keys:
                owner = owners.setdefault(key, organisation.name)
                if owner != organisation.name:
                    return InvalidConfiguration(
                        field=f"organisation {organisation.name}",
                        value=f"a key of {owner}",
                        expected="keys that no other organisation has",
                    )
        return None

    def has_queue(self, name: str) -> bool:
        """Return whether there is a queue of this name."""
        return any(queue.name == name for queue in self.queues)

    def find_queue(self, host: str, path: str) -> Queue | UnknownQueue:
        """Return the queue of a host with the longest matching path prefix."""
        wanted = host.lower()
        matching = [
            queue
            for queue in self.queues
            if queue.host.lower() == wanted and path.startswith(queue.prefix)
        ]
        if not matching:
            return UnknownQueue(host=host, path=path, version=self.version)
        return max(matching, key=lambda queue: len(queue.prefix))

    def find_organisation(self, queue: Queue, api_key: str) -> str | UnknownKey:
        """Return the organisation of a key; empty for an unknown key if public."""
        for organisation in self.organisations:
            if api_key and api_key in organisation.api_keys:
                return organisation.name
        if queue.public:
            return ""
        return UnknownKey(queue=queue.name, version=self.version)

    def identify(
        self, host: str, path: str, api_key: str
    ) -> tuple[Queue, str] | Failure:
        """Return the queue of a call and the caller's organisation."""
        queue = self.find_queue(host, path)
        if isinstance(queue, Failure):
            return queue
        organisation = self.find_organisation(queue, api_key)
        if isinstance(organisation, Failure):
            return organisation
        return queue, organisation
