"""Settings of the policy that meets objectives."""

import attrs

__all__ = ["DeadlineTerms"]


@attrs.frozen(kw_only=True)
class DeadlineTerms:
    """Settings of the policy.

    Attributes
    ----------
    remote_patience : float
        Predicted run times that a task waits for its rack before it runs elsewhere.
    guaranteed_patience_s : float
        Longest such wait of guaranteed work in seconds.
    eviction_factor : float
        Work that may be lost to make room for urgent work that no guarantee covers,
        or that has a place where it would be late, in multiples of the urgent work.
    max_reservations : int
        Gangs for which upstreams are kept free at the same time.
    objective_share : float
        Share of the objective up to which a predicted end counts as in time;
        predictions are uncertain.
    """

    remote_patience: float = 1.0
    guaranteed_patience_s: float = 1.2
    eviction_factor: float = 2.0
    max_reservations: int = 8
    objective_share: float = 0.7
