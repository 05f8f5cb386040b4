"""Generated faults: crashes, changes of gateways with and without handover, clock steps."""

import random

from fireflylink_experiments.request_faults._faulty_gateway import FaultyGateway
from fireflylink_experiments.request_faults._world import GROUPS, Entry, World

STORM_PERIOD_SECONDS = 0.1
CALM_PERIOD_SECONDS = 3.0
PHASE_SECONDS = 4.0
PHASES_PER_STORM = 4
"""Every fourth phase is a storm, in which the next fault comes before the last one is over."""

HANDOVER_POLL_SECONDS = 0.005
HOP_SECONDS = 0.001
LEARN_SECONDS = 0.4
FORGET_SHARE = 0.5
"""Gateways that drop what they know of shards that were taken from them; others keep it."""


class Faults:
    """Causes one fault after the other at random times, several at once included."""

    __slots__ = ("busy_shards", "counts", "random_source", "storms_until", "world")

    def __init__(self, world: World, seed: int, storms_until: float) -> None:
        self.world = world
        self.storms_until = storms_until
        self.random_source = random.Random(seed)
        self.counts: dict[str, int] = {}
        self.busy_shards: set[int] = set()

    def run(self) -> None:
        """Causes a fault and schedules the next."""
        source = self.random_source
        fault = source.choice(
            (
                self.crash,
                self.vanish,
                self.lose_gateway,
                self.move_shards,
                self.take_shards,
                self.replace_gateway,
                self.step_clock,
            )
        )
        name = fault.__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        fault()
        self.world.loop.after(source.expovariate(1.0 / self.period()), self.run)

    def period(self) -> float:
        """Returns the mean time between faults in the present phase."""
        now = self.world.loop.now
        storm = now < self.storms_until and int(now / PHASE_SECONDS) % PHASES_PER_STORM == 1
        return STORM_PERIOD_SECONDS if storm else CALM_PERIOD_SECONDS

    def crash(self) -> None:
        """Crashes a server."""
        group = self.world.servers[self.random_source.randrange(GROUPS)]
        server = group[self.random_source.choice(sorted(group))]
        if not server.down:
            server.crash(self.random_source.uniform(0.01, 0.6))

    def vanish(self) -> None:
        """Restarts a server without a sign: its connections go silent."""
        group = self.world.servers[self.random_source.randrange(GROUPS)]
        server = group[self.random_source.choice(sorted(group))]
        if not server.down:
            server.vanish(self.random_source.uniform(0.01, 0.2))

    def lose_gateway(self) -> None:
        """Loses the gateway of a group; another daemon takes over without a handover."""
        group = self.random_source.randrange(GROUPS)
        if self.busy(group):
            return
        world = self.world
        world.gateways[group].lose()
        world.loop.after(self.random_source.uniform(0.05, 2.0), self.take_over, group)

    def take_over(self, group: int) -> None:
        """Starts a new gateway without knowledge of what was run."""
        world = self.world
        if not world.gateways[group].lost:
            return
        gateway = world.make_gateway(group)
        world.gateways[group] = gateway
        gateway.take_over(world.shards_of(group), whole_group=True)

    def replace_gateway(self) -> None:
        """Hands all shards of a group over to a new daemon."""
        group = self.random_source.randrange(GROUPS)
        world = self.world
        old = world.gateways[group]
        if old.lost or self.busy(group):
            return
        shards = world.shards_of(group)
        new = world.make_gateway(group)
        self.busy_shards.update(shards)
        old.reply_all(old.admission.stop_admitting("moved"))
        new.admission.expect_handover(shards, whole_group=True)
        world.gateways[group] = new
        self.hand_over(old, new, shards, whole_group=True)

    def move_shards(self) -> None:
        """Hands some shards over to another group."""
        chosen = self.choose_shards()
        if chosen is None:
            return
        source, target, shards = chosen
        world = self.world
        old = world.gateways[source]
        new = world.gateways[target]
        self.busy_shards.update(shards)
        self.assign(shards, target)
        new.admission.expect_handover(shards)
        old.reply_all(old.admission.stop_admitting("moved", shards))
        self.hand_over(old, new, shards, whole_group=False)

    def take_shards(self) -> None:
        """Moves shards to another group without a handover; requests for them may still run."""
        chosen = self.choose_shards()
        if chosen is None:
            return
        source, target, shards = chosen
        world = self.world
        old = world.gateways[source]
        old.reply_all(old.admission.stop_admitting("moved", shards))
        if self.random_source.random() < FORGET_SHARE:
            old.admission.drop_shards(shards)
        self.assign(shards, target)
        world.gateways[target].start_term(shards)

    def choose_shards(self) -> tuple[int, int, tuple[int, ...]] | None:
        """Draws two live groups, and shards of the larger one that are not being handed over."""
        world = self.world
        pair = self.random_source.sample(range(GROUPS), 2)
        target, source = sorted(pair, key=lambda group: len(world.shards_of(group)))
        shards = [s for s in world.shards_of(source) if s not in self.busy_shards]
        if world.gateways[source].lost or world.gateways[target].lost or len(shards) < 2:
            return None
        count = self.random_source.randint(1, len(shards) // 2)
        return source, target, tuple(self.random_source.sample(shards, count))

    def assign(self, shards: tuple[int, ...], group: int) -> None:
        """Changes the table and lets the entry daemons learn it later."""
        world = self.world
        for shard in shards:
            world.table[shard] = group
        for entry in world.entries:
            delay = self.random_source.random() * LEARN_SECONDS
            world.loop.after(delay, entry.table.update, dict.fromkeys(shards, group))

    def hand_over(
        self, old: FaultyGateway, new: FaultyGateway, shards: tuple[int, ...], whole_group: bool
    ) -> None:
        """Transfers the shards once their last request has ended, unless a daemon is lost."""
        loop = self.world.loop
        if old.lost or new.lost:
            self.busy_shards.difference_update(shards)
            new.take_over(shards, whole_group)
            return
        handover = old.admission.export_handover(shards).value_or(None)
        if handover is None:
            loop.after(HANDOVER_POLL_SECONDS, self.hand_over, old, new, shards, whole_group)
            return
        self.busy_shards.difference_update(shards)
        loop.after(HOP_SECONDS, new.import_handover, handover)

    def busy(self, group: int) -> bool:
        """Whether shards of a group are being handed over."""
        return any(shard in self.busy_shards for shard in self.world.shards_of(group))

    def step_clock(self) -> None:
        """Moves the wall clock of a daemon within the bounds."""
        world = self.world
        clocks: tuple[FaultyGateway | Entry, ...] = (*world.gateways, *world.entries)
        clocks[self.random_source.randrange(len(clocks))].wall_offset_ms = world.clock_offset()
