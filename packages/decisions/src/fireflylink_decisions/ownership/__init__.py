"""Ownership of keys: who decides, who owns, which grants are due."""

from fireflylink_decisions.ownership._busy_watch import BusyWatch
from fireflylink_decisions.ownership._decidership import Decidership
from fireflylink_decisions.ownership._grant_book import (
    COMMAND_SECONDS,
    HOLD_SECONDS,
    OUTAGE_GRACE_SECONDS,
    RELEASE_SECONDS,
    BaseCommand,
    GrantBook,
    GrantCommand,
    ReleaseCommand,
    alone_from,
    refenced,
)
from fireflylink_decisions.ownership._key_load import KeyLoad, RangeLoad
from fireflylink_decisions.ownership._keyed_service import KeyedService
from fireflylink_decisions.ownership._plan_values import Candidate
from fireflylink_decisions.ownership._planner import first_table, plan
from fireflylink_decisions.ownership._service_times import ServiceTimes
from fireflylink_decisions.ownership._table_changes import TableChanges, changes_between

__all__ = [
    "COMMAND_SECONDS",
    "HOLD_SECONDS",
    "OUTAGE_GRACE_SECONDS",
    "RELEASE_SECONDS",
    "BaseCommand",
    "BusyWatch",
    "Candidate",
    "Decidership",
    "GrantBook",
    "GrantCommand",
    "KeyLoad",
    "KeyedService",
    "RangeLoad",
    "ReleaseCommand",
    "ServiceTimes",
    "TableChanges",
    "alone_from",
    "changes_between",
    "first_table",
    "plan",
    "refenced",
]
