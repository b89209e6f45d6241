# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The three digests that an aggregator sends in a round.

| scope | counts | goes to |
| --- | --- | --- |
| DOMAIN | its failure domain | aggregators of the region's other failure domains |
| REGION | its region | aggregators of other regions |
| ALL | all entries | the entries of its failure domain |

Owns no state but what its parts keep. Relies on `Merger` for counts and shares, on
`DomainViews` for who there is and on `WarmKeyRelay`; decides nothing about recipients.
"""

from collections.abc import Iterable, Mapping

import msgspec

from leverdoor.entry.exchange.domain_views import DomainViews
from leverdoor.entry.exchange.encoding import serialize_ids
from leverdoor.entry.exchange.exchange_types import EntryStatus
from leverdoor.entry.exchange.merging import MeanShares, Merger
from leverdoor.entry.exchange.messages import (
    Digest,
    DigestScope,
    DomainView,
    RegionCounts,
)
from leverdoor.entry.exchange.recipients import in_turn
from leverdoor.entry.exchange.target_counts import TargetCountCodec
from leverdoor.entry.exchange.unserved import UnservedEntries
from leverdoor.entry.exchange.usage_exchange import DigestUsage
from leverdoor.entry.exchange.warm_key_relay import WarmKeyRelay
from leverdoor.entry.membership.members import Membership

__all__ = ["SHARES_ROUNDS", "DigestRound", "DigestBuilder"]

SHARES_ROUNDS = 5
"""Rounds between two that carry the regions' shares, to save bytes.

Once a second, since shares move in seconds.
"""
FAR_REGIONS = 9
"""Other regions whose counts one digest carries at most.

27 regions are all covered within 0.6 s; more make the digest larger.
"""
FAR_DOMAINS = 18
"""Failure domains of other regions in one digest at most: two a region."""


class DigestRound(msgspec.Struct, frozen=True):
    """One round of this entry as an aggregator."""

    status: EntryStatus
    round_number: int
    """Number of the round."""
    seq: int
    """Number of this entry's newest heartbeat."""
    use: DigestUsage
    now: float
    """Monotonic time in seconds."""


class DigestBuilder:
    """Makes an aggregator's digests."""

    def __init__(
        self,
        membership: Membership,
        lists: TargetCountCodec,
        merger: Merger,
        views: DomainViews,
        warm_news: WarmKeyRelay,
        unserved: UnservedEntries,
    ) -> None:
        """Create it around what it reads."""
        self._membership = membership
        self._own = membership.own
        self._lists = lists
        self._merger = merger
        self._views = views
        self._warm_news = warm_news
        self._unserved = unserved

    def make(self, r: DigestRound) -> dict[DigestScope, Digest]:
        """Return the digests of a round by their scope."""
        domain = self._merger.of_domain(r.status.in_flight, r.now)
        region = self._merger.with_domains(domain, r.now)
        total = self._merger.with_regions(region, r.now)
        near = self._membership.domains(self._own.region)
        views = [self._view(name, r) for name in near]
        without_seqs = [msgspec.structs.replace(v, seqs=b"") for v in views]
        return {
            DigestScope.DOMAIN: self._of_domain(r, domain, without_seqs),
            DigestScope.REGION: self._of_region(r, region, without_seqs),
            DigestScope.ALL: self._of_all(r, total, views),
        }

    def _of_domain(
        self, r: DigestRound, counts: Mapping[str, int], near: list[DomainView]
    ) -> Digest:
        loads = self._counts(counts, self._lists.regions())
        digest = self._digest(r, DigestScope.DOMAIN, near, loads)
        unserved = self._unserved.of_domain(r.status.unserved, r.now)
        digest = msgspec.structs.replace(digest, unserved=serialize_ids(unserved))
        mean = self._merger.domain_shares(r.status.shares)
        warm = self._warm_news.for_region(r.status.warm_keys, r.now)
        return self._with_shares(r, digest, mean, warm)

    def _of_region(
        self, r: DigestRound, counts: Mapping[str, int], near: list[DomainView]
    ) -> Digest:
        loads = self._counts(counts, self._lists.regions())
        return self._digest(r, DigestScope.REGION, near, loads)

    def _of_all(
        self, r: DigestRound, counts: Mapping[str, int], near: list[DomainView]
    ) -> Digest:
        views = near + self._far_views(r)
        others = [name for name in self._lists.regions() if name != self._own.region]
        regions = [self._own.region, *in_turn(others, FAR_REGIONS, r.round_number)]
        loads = self._counts(counts, regions)
        digest = self._digest(r, DigestScope.ALL, views, loads)
        unserved = self._unserved.of_region(r.status.unserved, r.now)
        digest = msgspec.structs.replace(digest, unserved=serialize_ids(unserved))
        mean = self._merger.region_shares(r.status.shares)
        warm = self._warm_news.for_domain(r.status.warm_keys, r.now)
        return self._with_shares(r, digest, mean, warm)

    def _far_views(self, r: DigestRound) -> list[DomainView]:
        far = [
            domain
            for region in self._membership.other_regions()
            for domain in self._membership.domains(region)
        ]
        return [self._view(d, r) for d in in_turn(far, FAR_DOMAINS, r.round_number)]

    def _view(self, domain: str, r: DigestRound) -> DomainView:
        def newest_seq(name: str) -> int:
            return r.seq if name == self._own.name else self._merger.seq(name)

        return self._views.make(
            domain, r.status.state, newest_seq, r.round_number, r.now
        )

    def _counts(
        self, counts: Mapping[str, int], regions: Iterable[str]
    ) -> list[RegionCounts]:
        return [
            self._lists.serialize(region, counts)
            for region in regions
            if region in self._lists.regions()
        ]

    def _digest(
        self,
        r: DigestRound,
        scope: DigestScope,
        views: list[DomainView],
        loads: list[RegionCounts],
    ) -> Digest:
        return Digest(
            self._own.name,
            scope,
            r.round_number,
            self._own.incarnation,
            r.status.revision,
            self._own.pull,
            views,
            loads,
            outage_ms=r.status.outage_ms,
            use=r.use.by_scope[scope],
            use_age_ms=r.use.age_ms,
            silent=r.use.silent[scope],
            confirmed_ms=r.status.answer.age_ms,
            answer=r.status.answer.number,
            merged_ms=r.use.merged_ms,
        )

    def _with_shares(
        self, r: DigestRound, digest: Digest, mean: MeanShares, warm: list[int]
    ) -> Digest:
        """Return a digest with shares, in some rounds, and with news of warm keys."""
        has_shares = r.round_number % SHARES_ROUNDS < 2
        return msgspec.structs.replace(
            digest,
            entries=mean.entries,
            shares=mean.shares if has_shares else {},
            warm_keys=serialize_ids(warm),
        )
