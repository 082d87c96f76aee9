"""Records of the replicated state that are kept for a time."""

import abc
from typing import Generic, Protocol, TypeVar

__all__ = ["ExpiringRecords", "RecordKey"]

# A workload as its organisation and identity, or an incarnation of an upstream as the
# identity of both.
RecordKey = tuple[str, str]


class _Keyed(Protocol):
    @property
    def key(self) -> RecordKey: ...


R = TypeVar("R", bound=_Keyed)


class ExpiringRecords(abc.ABC, Generic[R]):
    """Records by their keys, the least recent first.

    Times come with the commands of the replicated log, so that all replicas hold the
    same records.

    Parameters
    ----------
    records : tuple
        Records of a snapshot, in their order.
    """

    def __init__(self, records: tuple[R, ...] = ()) -> None:
        self._records = {record.key: record for record in records}

    def __len__(self) -> int:
        return len(self._records)

    def list_records(self) -> tuple[R, ...]:
        """Return all records, the least recent first."""
        return tuple(self._records.values())

    def find(self, *key: str) -> R | None:
        """Return the record of a key, None if none is kept."""
        return self._records.get(key)

    def count_at(self, now_unix_s: float) -> int:
        """Return the number of records that are kept at a time."""
        return len(self._records) - len(self._list_expired(now_unix_s))

    def forget(self, *key: str) -> None:
        """Delete the record of a key, if any is kept."""
        self._records.pop(key, None)

    def _drop_expired(self, now_unix_s: float) -> None:
        for key in self._list_expired(now_unix_s):
            self.forget(*key)

    def _list_expired(self, now_unix_s: float) -> list[RecordKey]:
        """Return the oldest records that are no longer needed."""
        expired = []
        for key, record in self._records.items():
            if not self._is_expired(record, now_unix_s):
                break
            expired.append(key)
        return expired

    @abc.abstractmethod
    def _is_expired(self, record: R, now_unix_s: float) -> bool:
        """Return whether a record is no longer needed."""
