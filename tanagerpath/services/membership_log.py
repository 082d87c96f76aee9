"""Log lines about membership changes of the replication group."""

from structlog.typing import FilteringBoundLogger

from tanagerpath.core import consensus

__all__ = ["log_membership_report"]


def log_membership_report(
    log: FilteringBoundLogger, report: consensus.MembershipReport
) -> None:
    """Log one membership report of a replica."""
    match report:
        case consensus.MembershipProposed(index, reason, replica_id, voters, learners):
            log.info(
                "membership proposed",
                index=index,
                reason=str(reason),
                replica=replica_id,
                voters=voters,
                learners=learners,
            )
        case consensus.MembershipCommitted(index, voters, learners):
            log.info(
                "membership committed", index=index, voters=voters, learners=learners
            )
        case consensus.PromotionDelayed():
            log.info(
                "learner waits for a vote",
                replica=report.replica_id,
                reason=str(report.delay),
                match_index=report.match_index,
                commit_index=report.commit_index,
                waited_s=round(report.waited_s, 3),
            )
        case consensus.LearnerCaughtUp(replica_id, match_index, elapsed_s):
            log.info(
                "learner has caught up",
                replica=replica_id,
                match_index=match_index,
                elapsed_s=round(elapsed_s, 3),
            )
        case consensus.VoteChanged(is_voter, index):
            log.info("vote changed", is_voter=is_voter, index=index)
