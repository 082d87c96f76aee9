"""Limits on the requests in flight, and budgets for retries."""

import collections

from tanagerpath.core.admission.failures import Overloaded

__all__ = ["RequestLimits", "RetryBudget"]

RETRY_RESERVE = 10.0
OVERLOAD_RETRY_AFTER_S = 1.0


class RequestLimits:
    """Limits the requests in flight, in total and for each organisation.

    Parameters
    ----------
    max_in_flight : int
        Most requests in total.
    max_per_organisation : int
        Most requests of one organisation, so that one cannot use up the total.
    """

    def __init__(self, max_in_flight: int, max_per_organisation: int) -> None:
        self._max_in_flight = max_in_flight
        self._max_per_organisation = max_per_organisation
        self._by_organisation: collections.Counter[str] = collections.Counter()
        self.in_flight = 0

    def admit(self, organisation: str, unix_s: float) -> Overloaded | None:
        """Admit and count a request, or return why it is rejected."""
        retry_at_unix_s = unix_s + OVERLOAD_RETRY_AFTER_S
        if self.in_flight >= self._max_in_flight:
            return Overloaded(
                queue="the entry",
                limit=self._max_in_flight,
                retry_at_unix_s=retry_at_unix_s,
            )
        if self._by_organisation[organisation] >= self._max_per_organisation:
            return Overloaded(
                queue=f"organisation {organisation!r}",
                limit=self._max_per_organisation,
                retry_at_unix_s=retry_at_unix_s,
            )
        self.in_flight += 1
        self._by_organisation[organisation] += 1
        return None

    def release(self, organisation: str) -> None:
        """Stop counting a request that has ended."""
        self.in_flight -= 1
        self._by_organisation[organisation] -= 1
        if not self._by_organisation[organisation]:
            del self._by_organisation[organisation]


class RetryBudget:
    """Token bucket that limits retries to a ratio of requests, so they can't multiply.

    Parameters
    ----------
    ratio : float
        Tokens added by each request.
    reserve : float
        Tokens at the start; the bucket holds ten times as many.
    """

    def __init__(self, ratio: float, reserve: float = RETRY_RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def note_request(self) -> None:
        """Count a request at its first attempt."""
        self._tokens = min(self._tokens + self._ratio, self._reserve * 10)

    def take_retry(self) -> bool:
        """Take a token for a retry; False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
