"""Admission decisions of an entry: freshness, limits, retry budgets, routing."""

from tanagerpath.core.admission.failures import (
    EntryDraining,
    EntryStale,
    NoLeader,
    OutcomeUncertain,
    Overloaded,
)
from tanagerpath.core.admission.freshness import DocumentView
from tanagerpath.core.admission.limits import RequestLimits, RetryBudget
from tanagerpath.core.admission.routing import LeaderRoute, Route, SearchingRoute

__all__ = [
    "DocumentView",
    "EntryDraining",
    "EntryStale",
    "LeaderRoute",
    "NoLeader",
    "OutcomeUncertain",
    "Overloaded",
    "RequestLimits",
    "RetryBudget",
    "Route",
    "SearchingRoute",
]
