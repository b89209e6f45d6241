# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""How old is what entries know of each other, and what does it cost?

    python benchmarks/knowledge.py --entries 195 --loss 0.05

`--design relay` plays a model of the design that digests were weighed against:
datagrams that pass on the freshest of what others said. Three regions, 5% of
datagrams lost; "direct" are heartbeats to four near and two far entries in turn,
as entries sent them before digests (no loss):

| entries | design | near p99 s | far p99 s | dead named s | kB/s, mean and most |
|---|---|---|---|---|---|
| 195 | direct | 3.0 | over 8.4 (median) | 13.6 | not measured |
| 195 | relay | 5.67 | 10.35 | 1.70 | 23.3, 23.7 |
| 195 | digest | 0.57 | 0.76 | 1.60 | 6.3, 57.0 |
| 65 | relay | 1.86 | 4.54 | 1.70 | 21.1, 21.5 |
| 65 | digest | 0.56 | 0.76 | 1.60 | 5.1, 16.3 |
| 12 | relay | 0.20 | 0.33 | 1.70 | 11.4, 11.6 |
| 12 | digest | 0.21 | 0.56 | 1.40 | 4.4, 5.1 |
"""

from collections import Counter
from random import Random

import click
import msgspec

from emulated_exchange import (
    BUSY_TARGETS,
    KnowledgeSite,
    Outgoing,
    measure,
)
from leverdoor.entry.membership.member import SERVING, DigestRow, Member, member_id
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import HeartbeatObservation

RELAYED = 16
"""Items of others in one datagram of the relaying design: about 1,200 bytes."""
RELAY_NEAR = 4
"""Datagrams of the relaying design to entries of the region, a round and entry."""
RELAY_FAR = 2
"""The same to other regions."""


class Item(msgspec.Struct, frozen=True, array_like=True):
    """What the relaying design passes on of an entry."""

    member: Member
    seq: int
    age_ms: int
    in_flight: dict[str, int]


class RelayNode:
    """A model of datagrams that relay the freshest of what others said."""

    def __init__(self, own: Member, targets: dict[str, list[str]], rng: Random) -> None:
        self.membership = Membership(own)
        self._rng = rng
        self._targets = targets[own.region]
        self._seq = 0
        self._items: dict[str, tuple[float, int, Item]] = {}
        """By entry: when its newest was sent, how often it was passed on, and it."""

    def round(self, now: float) -> list[Outgoing]:
        self._seq += 1
        counts = Counter(self._rng.choices(self._targets, k=BUSY_TARGETS))
        items = [Item(self.membership.own, self._seq, 0, dict(counts))]
        order = sorted(self._items, key=lambda n: self._items[n][1])
        for name in order[:RELAYED]:
            at, passed, item = self._items[name]
            self._items[name] = (at, passed + 1, item)
            age_ms = round((now - at) * 1000)
            items.append(msgspec.structs.replace(item, age_ms=age_ms))
        return [(items, self._partners())]

    def _partners(self) -> list[str]:
        near = [m.gossip for m in self.membership.known_in_own_region()]
        records = self.membership.records(self.membership.all_domains())
        far = sorted({r.member.gossip for r in records} - set(near))
        to = self._rng.sample(near, min(RELAY_NEAR, len(near)))
        return to + self._rng.sample(far, min(RELAY_FAR, len(far)))

    def take(self, message: list[Item], now: float) -> None:
        for item in message:
            name = item.member.name
            if name == self.membership.own.name:
                continue
            at = now - item.age_ms / 1000
            before = self._items.get(name)
            if before is None or item.seq > before[2].seq:
                self._items[name] = (at, 0, item)
            row = DigestRow(member_id(name), item.member.incarnation, SERVING)
            self.membership.record_heartbeat(HeartbeatObservation(row, at), now)


@click.command()
@click.option("--entries", default=195, help="How many entries.")
@click.option("--regions", default=3, help="In how many regions.")
@click.option("--loss", default=0.0, help="Share of datagrams that are lost.")
@click.option("--design", default="digest", type=click.Choice(["digest", "relay"]))
def main(entries: int, regions: int, loss: float, design: str) -> None:
    """Print one line of figures by name."""
    if design == "digest":
        site = KnowledgeSite(entries, regions, loss)
    else:
        site = KnowledgeSite(entries, regions, loss, RelayNode)
    line = measure(site).line()
    print(f"entries={entries} regions={regions} loss={loss} design={design} {line}")


if __name__ == "__main__":
    main()
