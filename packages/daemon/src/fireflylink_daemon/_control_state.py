"""What the control task knows and decides, without input or output."""

from fireflylink_core import (
    AuthorityReport,
    CrashReport,
    DocumentKind,
    EndorseReply,
    EndorseRequest,
    Isolation,
    Member,
    MemberProgress,
    MemberState,
    OwnershipTable,
    SyncReply,
    SyncRequest,
    data_centre_of_table,
    isolation_of_table,
    table_id_of,
)
from fireflylink_daemon._crash_reports import crash_reports, merge_crash_reports
from fireflylink_daemon._document_cache import DocumentCache
from fireflylink_daemon._reports import ReportBoard
from fireflylink_decisions.admission import PoisonDetector
from fireflylink_decisions.authority import (
    GRANT_TERM,
    Authority,
    AuthorityBook,
    EndorsementRound,
    Settlement,
    VoterLedger,
)
from fireflylink_decisions.membership import (
    MEMBER_LOSS_TIMEOUT,
    ConfigurationProgress,
    InForce,
    MemberDirectory,
    RootSuccession,
    parent_candidates,
)

MILLISECONDS_PER_SECOND = 1000.0
MAX_FIRST_VOTERS = 5


class ControlState:
    """Membership, documents, authority and reports of one daemon.

    Every method takes the time in seconds on the daemon's clock, so that the state can be driven by
    a manual clock. It is owned by the control task.
    """

    __slots__ = (
        "book",
        "cache",
        "directory",
        "ledger",
        "myself",
        "poison",
        "progress",
        "reports",
        "root",
        "settlements",
        "started",
        "succession",
        "was_root",
    )

    def __init__(self, myself: Member, cache: DocumentCache, started: float) -> None:
        self.myself = myself
        self.started = started
        self.cache = cache
        self.directory = MemberDirectory()
        self.ledger = VoterLedger(myself.instance_id, started)
        self.book = AuthorityBook()
        self.settlements: dict[str, Settlement] = {}
        self.succession = RootSuccession(myself.instance_id)
        self.progress = ConfigurationProgress()
        self.reports = ReportBoard()
        self.poison = PoisonDetector()
        self.root = ""
        self.was_root = False

    # Roles

    def order_of_succession(self) -> tuple[str, ...]:
        """Returns the daemons of this data centre in the order in which they become its root.

        The voters of the keep table come first. The others follow, so that a data centre whose
        voters were all replaced still has a root that reads the platform. Daemons that leave come
        last.
        """
        table = self.cache.tables.get(table_id_of(self.myself.data_centre, Isolation.KEEP))
        members = self.directory.members(self.myself.data_centre)
        leaving = {member.instance_id for member in members if member.state is MemberState.LEAVING}
        voters = table.voters if table is not None else ()
        ranked = dict.fromkeys((*voters, *(member.instance_id for member in members)))
        return tuple(sorted(ranked, key=lambda instance_id: instance_id in leaving))

    def is_root(self, now: float) -> bool:
        """Whether this daemon has to act as the root of its data centre.

        A daemon that has just started knows of no other member yet, so it waits as long as it would
        for a silent one.
        """
        if now < self.started + MEMBER_LOSS_TIMEOUT:
            return False
        is_root = self.succession.is_root(self.order_of_succession(), now)
        if is_root and not self.was_root:
            self.directory.restart_watch(now)
        if self.was_root and not is_root:
            # A daemon that still named itself would be its relays' parent and their child at once.
            self.root = ""
        self.was_root = is_root
        if is_root:
            self.root = self.myself.instance_id
        return is_root

    def parents(self) -> tuple[Member, ...]:
        """Returns the daemons to ask for news, best first."""
        order = self.order_of_succession()
        members = self.directory.members(self.myself.data_centre)
        voters = order[:MAX_FIRST_VOTERS]
        candidates = parent_candidates(self.myself.instance_id, members, voters, self.root)
        known = (self.directory.find(instance_id) for instance_id in candidates)
        return tuple(
            member
            for member in known
            if member is not None and member.instance_id != self.myself.instance_id
        )

    def own_tables(self) -> tuple[OwnershipTable, ...]:
        """Returns the tables whose home is this data centre."""
        tables = self.cache.tables
        ids = (table_id_of(self.myself.data_centre, mode) for mode in Isolation)
        return tuple(tables[table_id] for table_id in ids if table_id in tables)

    # Endorsements

    def begin_round(self, table: OwnershipTable, now: float) -> EndorsementRound:
        """Starts a round of endorsements, with this daemon's own answer if it is a voter."""
        endorsement_round = EndorsementRound(
            table.table_id, table.version, table.voters, table.previous_voters, now
        )
        if self.myself.instance_id in endorsement_round.electorate:
            endorsement_round.record(self.ledger.endorse(table.table_id, table.version), now)
        return endorsement_round

    def close_round(self, endorsement_round: EndorsementRound, now: float) -> bool:
        """Takes the authority of a round that has a majority; tells whether it has."""
        if not endorsement_round.has_majority:
            return False
        table_id = endorsement_round.table_id
        deadline = endorsement_round.started + GRANT_TERM
        self.book.add(Authority(table_id, endorsement_round.version, deadline, True), now)
        self.settlement(table_id).note_majority(endorsement_round.version, now)
        return True

    def take_platform_word(self, table: OwnershipTable, started: float, now: float) -> None:
        """Takes authority from a platform read that showed this version of a table."""
        deadline = started + GRANT_TERM
        self.book.add(Authority(table.table_id, table.version, deadline, False), now)

    def has_majority_authority(self, until: float) -> bool:
        """Whether a majority of voters gave authority for every own table until a time."""
        return all(
            self.book.deadline(table.table_id, table.version, table.version, by_majority=True)
            > until
            for table in self.own_tables()
        )

    def settlement(self, table_id: str) -> Settlement:
        """Returns the settlement of a table."""
        return self.settlements.setdefault(table_id, Settlement())

    def settled_versions(self, now: float) -> dict[str, int]:
        """Returns the settled version of each table."""
        return {
            table_id: settlement.settled_version(now)
            for table_id, settlement in self.settlements.items()
        }

    def answer_endorse(self, request: EndorseRequest) -> EndorseReply:
        """Answers as a voter."""
        return self.ledger.endorse(request.table_id, request.version)

    def recovering_tables(self) -> tuple[OwnershipTable, ...]:
        """Returns the tables for which this daemon is a voter that has not recovered."""
        return tuple(
            table
            for table in self.cache.tables.values()
            if self.myself.instance_id in (*table.voters, *table.previous_voters)
            and self.ledger.is_recovering(table.table_id)
        )

    # Sync

    def distant_sync_request(self, now: float) -> SyncRequest:
        """Returns what the root of a data centre tells the other roots.

        They do not plan for its servers, so it passes no reports on, and none are kept for that.
        """
        self.reports.new_load_reports()
        return SyncRequest(
            sender=self.myself,
            configuration_version=self.cache.configuration.version,
            table_versions=self.cache.table_versions(),
            members_digest=self.directory.digest(),
            progress=(),
            servers=(),
            loads=(),
            crashes=crash_reports(self.poison, now),
        )

    def sync_request(self, now: float) -> SyncRequest:
        """Returns what this daemon tells its parent, loads only once each."""
        return SyncRequest(
            sender=self.myself,
            configuration_version=self.cache.configuration.version,
            table_versions=self.cache.table_versions(),
            members_digest=self.directory.digest(),
            progress=self.progress.recent(now),
            servers=self.reports.server_reports(now),
            loads=self.reports.new_load_reports(),
            crashes=crash_reports(self.poison, now),
        )

    def answer_sync(self, request: SyncRequest, now: float) -> SyncReply:
        """Answers a child, or the root of another data centre."""
        sender = request.sender
        self.directory.hear(sender, now)
        is_child = sender.data_centre == self.myself.data_centre
        if is_child:
            self._take_child(request, now)
        self.take_crashes(request.crashes, now)
        digest = self.directory.digest()
        current = request.members_digest == digest
        return SyncReply(
            root=self.root,
            configuration_version=self.cache.configuration.version,
            documents=self.cache.newer_than(request.configuration_version, request.table_versions),
            authorities=self._authority_reports(is_child, now),
            members=() if current else self.directory.members(),
            members_digest=digest,
            crashes=crash_reports(self.poison, now),
        )

    def _take_child(self, request: SyncRequest, now: float) -> None:
        self.progress.note(
            MemberProgress(request.sender.instance_id, request.configuration_version), now
        )
        for progress in request.progress:
            self.directory.hear_of(progress.instance_id, now)
            self.progress.note(progress, now)
        self.reports.take_servers(request.servers, now)
        self.reports.take_loads(request.loads, now)

    def _authority_reports(self, is_child: bool, now: float) -> tuple[AuthorityReport, ...]:
        reports = []
        for table_id, settlement in sorted(self.settlements.items()):
            settled = settlement.settled_version(now)
            entries = self.book.entries(table_id) if is_child else ()
            for entry in entries:
                remaining_ms = int((entry.deadline - now) * MILLISECONDS_PER_SECOND)
                if remaining_ms > 0:
                    reports.append(
                        AuthorityReport(
                            table_id, entry.version, remaining_ms, settled, entry.by_majority
                        )
                    )
            if not entries and settled:
                reports.append(AuthorityReport(table_id, settled, 0, settled, False))
        return tuple(reports)

    def take_sync_reply(self, peer: Member, sent: float, reply: SyncReply, now: float) -> bool:
        """Takes a parent's answer; tells whether it brought a newer document."""
        self.succession.note_answer(peer.instance_id, now)
        self.directory.hear(peer, now)
        is_parent = peer.data_centre == self.myself.data_centre
        if is_parent:
            stale = reply.root == self.myself.instance_id and not self.was_root
            self.root = "" if stale else reply.root
        changed = False
        for document in reply.documents:
            changed |= self.cache.take(document).value_or(False)
        for report in reply.authorities:
            self.settlement(report.table_id).note_settled(report.settled_version)
            if is_parent:
                self.book.add_report(report, sent, now)
        if reply.members:
            self.directory.take_list(reply.members, now)
        self.take_crashes(reply.crashes, now)
        return changed

    def take_crashes(self, reports: tuple[CrashReport, ...], now: float) -> bool:
        """Takes reports of crashed servers; tells whether any of them was not known."""
        before = len(self.poison.reports(now))
        merge_crash_reports(self.poison, reports, now)
        return len(self.poison.reports(now)) > before

    def in_force(self) -> InForce:
        """Returns how far the newest configuration has come in this data centre."""
        version = self.cache.configuration.version
        # A report that is older than any other is never passed on to the parent, where it would
        # replace the current version that the sender of a Sync states itself.
        self.progress.note(MemberProgress(self.myself.instance_id, version), float("-inf"))
        expected = tuple(
            member.instance_id for member in self.directory.members(self.myself.data_centre)
        )
        return self.progress.in_force(version, expected)

    def yield_tables_elsewhere(self) -> tuple[OwnershipTable, ...]:
        """Returns the tables of other data centres that yield when their home is cut off."""
        return tuple(
            table
            for table in self.cache.tables.values()
            if isolation_of_table(table.table_id) is Isolation.YIELD
            and data_centre_of_table(table.table_id) != self.myself.data_centre
        )

    def configuration_version(self) -> int:
        """Returns the version of the configuration that is in force here."""
        return self.cache.version(DocumentKind.CONFIGURATION, "")
