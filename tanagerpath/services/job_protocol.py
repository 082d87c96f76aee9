"""Requests of entries to the leader of the product's own interface."""

from tanagerpath.core.protocol.internal import InternalReply, InternalRequest
from tanagerpath.services.leader_link import LeaderProtocol

__all__ = ["JOB_PROTOCOL"]

JOB_PROTOCOL = LeaderProtocol("/internal/v1/request", InternalRequest, InternalReply)
