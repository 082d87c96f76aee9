"""Freshness of the service documents that an entry holds."""

from tanagerpath.core.model import ServiceDocument
from tanagerpath.core.protocol.internal import FeedReply

__all__ = ["DocumentView"]


class DocumentView:
    """Documents that an entry holds, with the instant until which they are fresh.

    The leader replies under its lease, so a feed reply includes every change that was
    accepted before the poll was sent. The index of the view never decreases.

    Parameters
    ----------
    staleness_bound_s : float
        Time in seconds after a poll was sent for which its reply counts as fresh.
    """

    def __init__(self, staleness_bound_s: float) -> None:
        self._staleness_bound_s = staleness_bound_s
        self._fresh_until_s: float | None = None
        self._documents: dict[str, ServiceDocument] = {}
        self.index = 0

    def apply_feed(self, reply: FeedReply, asked_at_s: float) -> bool:
        """Apply a feed reply.

        Parameters
        ----------
        reply : FeedReply
            Reply of the leader.
        asked_at_s : float
            Instant at which the poll was sent.

        Returns
        -------
        bool
            False if the reply would revert the view and was dropped.
        """
        if reply.index < self.index:
            return False
        if reply.complete:
            newest = {document.service: document for document in reply.documents}
            if self._would_revert(newest):
                return False
            self._documents = newest
        else:
            for document in reply.documents:
                self._documents[document.service] = document
        self.index = reply.index
        fresh_until_s = asked_at_s + self._staleness_bound_s
        self._fresh_until_s = max(self._fresh_until_s or fresh_until_s, fresh_until_s)
        return True

    def _would_revert(self, newest: dict[str, ServiceDocument]) -> bool:
        return any(
            service not in newest or newest[service].revision < document.revision
            for service, document in self._documents.items()
        )

    def is_fresh(self, now_s: float) -> bool:
        """Whether the documents are known to be up to date."""
        return self._fresh_until_s is not None and now_s < self._fresh_until_s

    def find_document(self, service: str) -> ServiceDocument | None:
        """Return the document of a service, or None."""
        return self._documents.get(service)
