"""How an entry knows that the documents it holds are in force."""

from tanagerpath.core.model import ServiceDocument
from tanagerpath.core.protocol.internal import FeedReply

__all__ = ["DocumentView"]


class DocumentView:
    """Documents as an entry holds them, with the proof of their age.

    A feed reply is given out under the leader's lease, so it shows every change that
    was accepted before the poll was sent. The view never moves to a lower index.

    Parameters
    ----------
    staleness_bound_s : float
        Age of the proof, in seconds, up to which the view is fresh.
    """

    def __init__(self, staleness_bound_s: float) -> None:
        self._staleness_bound_s = staleness_bound_s
        self._fresh_until_s: float | None = None
        self._documents: dict[str, ServiceDocument] = {}
        self.index = 0

    def take_feed(self, reply: FeedReply, asked_at_s: float) -> bool:
        """Take a feed reply in.

        Parameters
        ----------
        reply : FeedReply
            Reply of the leader.
        asked_at_s : float
            Instant at which the poll was sent.

        Returns
        -------
        bool
            False if the reply is older than the view and was dropped.
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
        """Tell whether the documents are known to be in force."""
        return self._fresh_until_s is not None and now_s < self._fresh_until_s

    def find_document(self, service: str) -> ServiceDocument | None:
        """Return the document of a service, or None."""
        return self._documents.get(service)
