"""Admission decisions of an entry: freshness, limits, retry budgets, routing."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "failures": [
            "EntryDraining",
            "EntryStale",
            "NoLeader",
            "OutcomeUncertain",
            "Overloaded",
        ],
        "freshness": [
            "DocumentView",
        ],
        "limits": [
            "RequestLimits",
            "RetryBudget",
        ],
        "routing": [
            "LeaderRoute",
            "Route",
            "SearchingRoute",
        ],
    },
)
