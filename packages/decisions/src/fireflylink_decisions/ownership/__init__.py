"""Key ownership: election of the decider, planning of ownership tables, tracking of grants."""

from fireflylink_decisions.ownership._candidate import Candidate
from fireflylink_decisions.ownership._commands import (
    BaseCommand,
    GrantCommand,
    ReleaseCommand,
    keys_and_fence,
)
from fireflylink_decisions.ownership._decider_election import DeciderElection
from fireflylink_decisions.ownership._first_tables import (
    first_fence,
    initial_table,
    with_new_fence,
)
from fireflylink_decisions.ownership._grant_timing import (
    CLOCK_DRIFT_FACTOR,
    GRANT_TIMEOUT_SECONDS,
    HOLD_SECONDS,
    OUTAGE_GRACE_SECONDS,
    RELEASE_TIMEOUT_SECONDS,
    former_deciders_may_grant_until,
)
from fireflylink_decisions.ownership._grant_tracker import GrantTracker
from fireflylink_decisions.ownership._hold_end import HoldEnd, HoldEndReason
from fireflylink_decisions.ownership._key_load import KeyLoad, RangeLoad
from fireflylink_decisions.ownership._keyed_service import KeyedService
from fireflylink_decisions.ownership._overload_detector import OverloadDetector
from fireflylink_decisions.ownership._planner import plan_table
from fireflylink_decisions.ownership._service_time_estimates import ServiceTimeEstimates
from fireflylink_decisions.ownership._table_changes import TableChanges, changes_between
from fireflylink_decisions.ownership._table_draft import TableDraft

__all__ = [
    "CLOCK_DRIFT_FACTOR",
    "GRANT_TIMEOUT_SECONDS",
    "HOLD_SECONDS",
    "OUTAGE_GRACE_SECONDS",
    "RELEASE_TIMEOUT_SECONDS",
    "BaseCommand",
    "Candidate",
    "DeciderElection",
    "GrantCommand",
    "GrantTracker",
    "HoldEnd",
    "HoldEndReason",
    "KeyLoad",
    "KeyedService",
    "OverloadDetector",
    "RangeLoad",
    "ReleaseCommand",
    "ServiceTimeEstimates",
    "TableChanges",
    "TableDraft",
    "changes_between",
    "first_fence",
    "former_deciders_may_grant_until",
    "initial_table",
    "keys_and_fence",
    "plan_table",
    "with_new_fence",
]
