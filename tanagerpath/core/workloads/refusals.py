"""Refused submissions that are remembered, as a refusal promises that nothing runs."""

import attrs

from tanagerpath.core.workloads.expiring_records import ExpiringRecords, RecordKey

__all__ = ["MAX_REFUSALS", "MAX_RETRY_S", "RefusalMemory", "RefusalRecord"]

MAX_REFUSALS = 4096
# Longest time from a refusal to the returned time. Callers that would have to wait
# longer do not come back.
MAX_RETRY_S = 30.0
# A refusal is kept after its returned time, so that a workload that returns is known
# to have waited.
RETURN_GRACE_S = 30.0


@attrs.frozen(kw_only=True)
class RefusalRecord:
    """A workload that was refused and has not been accepted since.

    Attributes
    ----------
    workload_id, queue, organisation : str
        Its identity, and where it was submitted by whom.
    priority : int
        Priority of the queue.
    first_refused_unix_s, refused_unix_s : float
        Times of the first and of the last refusal in UTC seconds.
    retry_at_unix_s : float
        Time before which no submission of it is accepted.
    work_s : float
        Seconds for which its work takes the whole pool.
    count : int
        Number of refusals.
    """

    workload_id: str
    queue: str
    organisation: str
    priority: int = 0
    first_refused_unix_s: float
    refused_unix_s: float
    retry_at_unix_s: float
    work_s: float = 0.0
    count: int = 1

    @property
    def key(self) -> RecordKey:
        """Organisation and identity."""
        return self.organisation, self.workload_id


class RefusalMemory(ExpiringRecords[RefusalRecord]):
    """Refusals by organisation and identity, the least recent first."""

    def find_valid(
        self, organisation: str, workload_id: str, now_unix_s: float
    ) -> RefusalRecord | None:
        """Return the refusal of a workload whose returned time is still to come."""
        record = self.find(organisation, workload_id)
        if record is None or now_unix_s >= record.retry_at_unix_s:
            return None
        return record

    def add(self, refused: RefusalRecord) -> bool:
        """Remember a refusal; return False if nothing changes.

        A valid refusal is not replaced, and without room none is added.
        """
        now_unix_s = refused.refused_unix_s
        if self.find_valid(*refused.key, now_unix_s) is not None:
            return False
        self._drop_expired(now_unix_s)
        earlier = self._records.pop(refused.key, None)
        if earlier is not None:
            refused = attrs.evolve(
                refused,
                first_refused_unix_s=earlier.first_refused_unix_s,
                count=earlier.count + 1,
            )
        elif len(self._records) >= MAX_REFUSALS:
            return False
        self._records[refused.key] = refused
        return True

    def _is_expired(self, record: RefusalRecord, now_unix_s: float) -> bool:
        return now_unix_s >= record.refused_unix_s + MAX_RETRY_S + RETURN_GRACE_S
