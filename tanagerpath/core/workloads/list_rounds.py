"""Rounds in which each upstream lists its runs before tasks start again."""

import attrs

__all__ = ["ListRound"]

# Rounds may begin one after the other for the first MAX_SERIES_S of each interval, so
# that a leader that stalls all the time does not hold tasks back for good.
SERIES_INTERVAL_S = 8.0
MAX_SERIES_S = 4.0


@attrs.define
class ListRound:
    """The current round.

    An upstream that has been silent may list the end of a run that was closed without
    it. Tasks that have had a run therefore wait until each upstream has replied, or has
    not replied to a renewal that was sent during the round.

    Attributes
    ----------
    limit_s : float
        Longest duration of a round in seconds.
    began_s : float
        Time at which the round began.
    series_began_s : float
        Time at which the first round of a series began.
    """

    limit_s: float
    began_s: float
    series_began_s: float

    @classmethod
    def from_start(cls, now_s: float, limit_s: float) -> "ListRound":
        """Return the first round of a term."""
        return cls(limit_s, now_s, now_s)

    def begin(self, now_s: float) -> None:
        """Begin another round, unless there have been too many."""
        age_s = now_s - self.series_began_s
        if age_s >= SERIES_INTERVAL_S:
            self.series_began_s = now_s
        if age_s >= SERIES_INTERVAL_S or age_s < MAX_SERIES_S:
            self.began_s = now_s

    def is_open(self, now_s: float) -> bool:
        """Return whether the round can still be waited for."""
        return now_s < self.began_s + self.limit_s
