"""Settings of `DeadlinePolicy`."""

import attrs

__all__ = ["DeadlineTerms"]


@attrs.frozen(kw_only=True)
class DeadlineTerms:
    """Settings of `DeadlinePolicy`.

    Attributes
    ----------
    locality_wait_factor : float
        Longest wait of a task for its preferred rack, in predicted run times.
    optional_wait_share : float
        Limit of that wait for guaranteed work, and longest time after the arrival of
        urgent work in which it preempts runs on faster upstreams. Both are shares of
        the time within which guaranteed work must begin.
    eviction_factor : float
        Largest loss of work by preemption for urgent work that no guarantee covers
        or that fits elsewhere but late, in multiples of the urgent work.
    max_reservations : int
        Largest number of gangs with reservations at the same time.
    objective_share : float
        Share of the objective up to which a predicted end counts as on time, as
        predictions are uncertain.
    """

    locality_wait_factor: float = 1.0
    optional_wait_share: float = 0.3
    eviction_factor: float = 2.0
    max_reservations: int = 8
    objective_share: float = 0.7
