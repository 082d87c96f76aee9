"""Replicated log with elections, leases, snapshots and membership changes."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "config": [
            "ReplicaConfig",
            "RestoredState",
        ],
        "events": [
            "Action",
            "CommandProposed",
            "CommittedEntry",
            "DeliverCommitted",
            "EntryKind",
            "Event",
            "LogEntry",
            "MessageReceived",
            "NotLeader",
            "PersistState",
            "ProposalRejected",
            "ProposalUncertain",
            "ReportRole",
            "RequestSnapshot",
            "RestoreSnapshot",
            "Role",
            "SendMessage",
            "Snapshot",
            "SnapshotProvided",
            "StepDownRequested",
            "StorageLost",
            "StorageSynced",
            "Tick",
            "TransferRequested",
        ],
        "follower": [
            "LogDiverged",
        ],
        "membership": [
            "Member",
            "MemberRole",
            "Membership",
        ],
        "membership_reports": [
            "ChangeReason",
            "MembershipCommitted",
            "MembershipProposed",
            "MembershipReport",
            "PromotionDelay",
            "LearnerCaughtUp",
            "PromotionDelayed",
            "VoteChanged",
        ],
        "messages": [
            "AppendReply",
            "AppendRequest",
            "FoundingProposal",
            "JoinReply",
            "JoinRequest",
            "ReplicaMessage",
            "ReplicaNotice",
            "SnapshotChunk",
            "SnapshotChunkReply",
            "StaleTerm",
            "TimeoutNow",
            "VoteReply",
            "VoteRequest",
        ],
        "relaying": [
            "Relay",
        ],
        "replica": [
            "Replica",
        ],
        "voters": [
            "LossTolerance",
        ],
    },
)
