"""Cancellations of workloads that were not known, each of them a promise.

A caller that cancels a workload may rely on it that nothing of it runs. Its submission
may still be under way, so the log remembers the cancellation for the leaders to come.
"""

import itertools
from collections import Counter

import attrs

from tanagerpath.core.workloads.expiring_records import ExpiringRecords, RecordKey

__all__ = ["LATE_SUBMISSION_S", "CancellationMemory", "CancellationRecord"]

# Longest time for which a submission may be under way, as through a frozen process, and
# by which the clocks of two leaders may differ in addition.
LATE_SUBMISSION_S = 30.0
# A cancellation that is repeated within this time is covered by the earlier one.
MAX_REPEAT_S = 10.0
MAX_CANCELLATIONS = 10_000
# One organisation must not use up the room of the others.
MAX_PER_ORGANISATION = 2_500


@attrs.frozen(kw_only=True)
class CancellationRecord:
    """A cancelled workload that was not known.

    Attributes
    ----------
    workload_id, organisation : str
        Its identity, and who cancelled it.
    refused_until_unix_s : float
        Time in UTC seconds before which no submission of it is accepted.
    """

    workload_id: str
    organisation: str
    refused_until_unix_s: float

    @property
    def key(self) -> RecordKey:
        """Organisation and identity."""
        return self.organisation, self.workload_id


class CancellationMemory(ExpiringRecords[CancellationRecord]):
    """Cancellations of unknown workloads, the least recent first.

    A cancellation is never dropped before its time. Without room none is added, and the
    caller must not be told that its workload is cancelled.

    Parameters
    ----------
    records : tuple of CancellationRecord
        Cancellations of a snapshot, in their order.
    """

    def __init__(self, records: tuple[CancellationRecord, ...] = ()) -> None:
        super().__init__(records)
        self._counts = Counter(record.organisation for record in records)

    def find_valid(
        self, organisation: str, workload_id: str, now_unix_s: float
    ) -> CancellationRecord | None:
        """Return the cancellation of a workload that no submission may undo yet."""
        record = self.find(organisation, workload_id)
        if record is None or self._is_expired(record, now_unix_s):
            return None
        return record

    def covers_repeat(
        self, organisation: str, workload_id: str, now_unix_s: float
    ) -> bool:
        """Return whether a repeated cancellation needs no record of its own."""
        needed_until_unix_s = now_unix_s + LATE_SUBMISSION_S - MAX_REPEAT_S
        record = self.find(organisation, workload_id)
        return record is not None and record.refused_until_unix_s >= needed_until_unix_s

    def add(self, record: CancellationRecord, now_unix_s: float) -> bool:
        """Remember a cancellation; return False if there is no room for it."""
        self._drop_expired(now_unix_s)
        if self.find(*record.key) is None and not self._has_room(record.organisation):
            return False
        self.forget(*record.key)
        self._records[record.key] = record
        self._counts[record.organisation] += 1
        return True

    def forget(self, *key: str) -> None:
        """Delete the record of a key, if any is kept; see the base class."""
        record = self.find(*key)
        if record is None:
            return
        super().forget(*key)
        self._counts[record.organisation] -= 1
        if not self._counts[record.organisation]:
            del self._counts[record.organisation]

    def find_room_unix_s(self, organisation: str, now_unix_s: float) -> float:
        """Return the time from which an organisation can cancel an unknown workload.

        Parameters
        ----------
        organisation : str
            The organisation.
        now_unix_s : float
            Time in UTC seconds.

        Returns
        -------
        float
            Time in UTC seconds, `now_unix_s` if there is room.
        """
        expired = self._list_expired(now_unix_s)
        expired_here = sum(owner == organisation for owner, _ in expired)
        has_own_room = self._counts[organisation] - expired_here < MAX_PER_ORGANISATION
        if has_own_room and len(self) - len(expired) < MAX_CANCELLATIONS:
            return now_unix_s
        waiting = itertools.islice(self._records.values(), len(expired), None)
        return next(
            record.refused_until_unix_s
            for record in waiting
            if has_own_room or record.organisation == organisation
        )

    def _has_room(self, organisation: str) -> bool:
        if len(self) >= MAX_CANCELLATIONS:
            return False
        return self._counts[organisation] < MAX_PER_ORGANISATION

    def _is_expired(self, record: CancellationRecord, now_unix_s: float) -> bool:
        return now_unix_s >= record.refused_until_unix_s
