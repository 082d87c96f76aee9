"""Incarnations of upstreams that have left for good."""

import attrs

from tanagerpath.core.workloads.expiring_records import ExpiringRecords, RecordKey

__all__ = ["LATE_HEARTBEAT_S", "WithdrawalMemory", "WithdrawalRecord"]

# Longest time for which a heartbeat may be under way, as through a frozen process, and
# by which the clocks of two leaders may differ in addition.
LATE_HEARTBEAT_S = 30.0


@attrs.frozen(kw_only=True)
class WithdrawalRecord:
    """An incarnation that has announced its end and left.

    Attributes
    ----------
    upstream_id, incarnation : str
        The incarnation.
    withdrawn_at_unix_s : float
        Time of the withdrawal in UTC seconds.
    refused_until_unix_s : float
        Time in UTC seconds before which its heartbeats do not register it again.
    """

    upstream_id: str
    incarnation: str
    withdrawn_at_unix_s: float
    refused_until_unix_s: float

    @property
    def key(self) -> RecordKey:
        """Identity of the upstream and of its incarnation."""
        return self.upstream_id, self.incarnation


class WithdrawalMemory(ExpiringRecords[WithdrawalRecord]):
    """Incarnations that have left, the least recent first."""

    def add(self, record: WithdrawalRecord) -> None:
        """Remember that an incarnation has left."""
        self._drop_expired(record.withdrawn_at_unix_s)
        self._records[record.key] = record

    def contains(self, upstream_id: str, incarnation: str, now_unix_s: float) -> bool:
        """Return whether heartbeats of an incarnation are out of date."""
        record = self.find(upstream_id, incarnation)
        return record is not None and not self._is_expired(record, now_unix_s)

    def _is_expired(self, record: WithdrawalRecord, now_unix_s: float) -> bool:
        return now_unix_s >= record.refused_until_unix_s
