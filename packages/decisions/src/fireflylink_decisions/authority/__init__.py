"""Authority to act on ownership records: endorsements, voters, settlement and grants."""

from fireflylink_decisions.authority._book import Authority, AuthorityBook
from fireflylink_decisions.authority._ledger import VoterLedger
from fireflylink_decisions.authority._round import EndorsementRound, majority_of
from fireflylink_decisions.authority._server_clock import ServerClock
from fireflylink_decisions.authority._settlement import Settlement
from fireflylink_decisions.authority._timing import (
    CLOCK_DRIFT,
    FENCE_WAIT,
    GRANT_TERM,
    RENEWAL_PERIOD,
)

__all__ = [
    "CLOCK_DRIFT",
    "FENCE_WAIT",
    "GRANT_TERM",
    "RENEWAL_PERIOD",
    "Authority",
    "AuthorityBook",
    "EndorsementRound",
    "ServerClock",
    "Settlement",
    "VoterLedger",
    "majority_of",
]
