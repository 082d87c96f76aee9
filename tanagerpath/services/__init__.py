"""Applications and the tasks that they are made of."""

from tanagerpath.services.peers import CONSENSUS_PATH, PeerSet, PeerTask

__all__ = ["CONSENSUS_PATH", "PeerSet", "PeerTask"]
