# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The three digests that an aggregator sends in a round.

| scope | counted entries | recipients |
| --- | --- | --- |
| DOMAIN | own failure domain | aggregators of the region's other failure domains |
| REGION | own region | aggregators of other regions |
| ALL | all entries | entries of the own failure domain |

Owns no state. Relies on `LoadMerger` for counts and shares, on `DomainViews` for the
entries, on `WarmKeyRelay` for warm keys, and on `SpeedRelay` for slow targets. The
caller selects the recipients.
"""

from collections.abc import Iterable, Mapping

import msgspec

from leverdoor.entry.exchange.admitted_keys import AdmittedKeyMeans
from leverdoor.entry.exchange.domain_views import DomainViews
from leverdoor.entry.exchange.encoding import serialize_hashes
from leverdoor.entry.exchange.entry_reports import EntryReports
from leverdoor.entry.exchange.exchange_types import EntryStatus
from leverdoor.entry.exchange.merging import LoadMerger, WeightedShares
from leverdoor.entry.exchange.messages import (
    Digest,
    DigestScope,
    DomainView,
    RegionCounts,
    Shares,
)
from leverdoor.entry.exchange.recipients import rotate
from leverdoor.entry.exchange.speed_encoding import serialize_speeds
from leverdoor.entry.exchange.speed_relay import SpeedRelay
from leverdoor.entry.exchange.target_counts import TargetCountCodec
from leverdoor.entry.exchange.usage_exchange import DigestUsage
from leverdoor.entry.exchange.warm_key_relay import WarmKeyRelay
from leverdoor.entry.membership.members import Membership

__all__ = ["SHARES_INTERVAL_ROUNDS", "DigestRound", "DigestBuilder"]

SHARES_INTERVAL_ROUNDS = 5
"""Interval at which messages carry the regions' shares, in rounds.

Once a second saves bytes and suffices, because shares change over seconds. Digests
carry them in two successive rounds, since an aggregator sends to each ordinary entry in
every second round.
"""
MAX_OTHER_REGIONS = 9
"""Maximum number of other regions whose counts a digest carries.

Covers 27 other regions in three rounds (0.6 s). If greater, digests grow.
"""
MAX_OTHER_REGION_DOMAINS = 18
"""Maximum number of other regions' failure domains in a digest: two per region."""


class DigestRound(msgspec.Struct, frozen=True):
    """Inputs of the digests of a round."""

    status: EntryStatus
    round_number: int
    """Number of the round."""
    seq: int
    """Sequence number of this entry's newest heartbeat."""
    usage: DigestUsage
    now: float
    """Monotonic time in seconds."""


class DigestBuilder:
    """Builds an aggregator's digests."""

    def __init__(
        self,
        membership: Membership,
        target_count_codec: TargetCountCodec,
        merger: LoadMerger,
        views: DomainViews,
        relay: WarmKeyRelay,
        speed_relay: SpeedRelay,
        admitted_keys: AdmittedKeyMeans,
        unserved: EntryReports,
        without_links: EntryReports,
    ) -> None:
        """Create the builder from the sources of the digests' contents."""
        self._membership = membership
        self._own = membership.own
        self._target_count_codec = target_count_codec
        self._merger = merger
        self._views = views
        self._warm_key_relay = relay
        self._speed_relay = speed_relay
        self._admitted_keys = admitted_keys
        self._unserved = unserved
        self._without_links = without_links

    def build(self, digest_round: DigestRound) -> dict[DigestScope, Digest]:
        """Return the digests of a round by scope."""
        domain = self._merger.domain_counts(
            digest_round.status.in_flight, digest_round.now
        )
        region = self._merger.region_counts(domain, digest_round.now)
        all_entries = self._merger.all_entries_counts(region, digest_round.now)
        region_domains = self._membership.domains(self._own.region)
        views = [self._view(name, digest_round) for name in region_domains]
        without_seqs = [msgspec.structs.replace(v, seqs=b"") for v in views]
        return {
            DigestScope.DOMAIN: self._domain_digest(digest_round, domain, without_seqs),
            DigestScope.REGION: self._region_digest(digest_round, region, without_seqs),
            DigestScope.ALL: self._all_entries_digest(digest_round, all_entries, views),
        }

    def _domain_digest(
        self,
        digest_round: DigestRound,
        counts: Mapping[str, int],
        own_region_views: list[DomainView],
    ) -> Digest:
        loads = self._serialize_counts(counts, self._target_count_codec.regions())
        digest = self._create_digest(
            digest_round, DigestScope.DOMAIN, own_region_views, loads
        )
        unserved = self._unserved.in_domain(
            digest_round.status.unserved, digest_round.now
        )
        without_links = self._without_links.in_domain(
            digest_round.status.links_lost, digest_round.now
        )
        speeds = self._speed_relay.domain_speeds(
            digest_round.status.speeds, digest_round.now
        )
        digest = msgspec.structs.replace(
            digest,
            unserved=serialize_hashes(unserved),
            without_links=serialize_hashes(without_links),
            speeds=serialize_speeds(speeds),
        )
        mean = self._merger.domain_shares(digest_round.status.shares)
        warm_hashes = self._warm_key_relay.keys_for_region(
            digest_round.status.warm_keys, digest_round.now
        )
        admitted = self._admitted_keys.domain_mean(
            digest_round.status.admitted_keys, digest_round.now
        )
        return self._with_shares_and_warm_keys(
            digest_round, digest, mean, admitted, warm_hashes
        )

    def _region_digest(
        self,
        digest_round: DigestRound,
        counts: Mapping[str, int],
        own_region_views: list[DomainView],
    ) -> Digest:
        loads = self._serialize_counts(counts, self._target_count_codec.regions())
        return self._create_digest(
            digest_round, DigestScope.REGION, own_region_views, loads
        )

    def _all_entries_digest(
        self,
        digest_round: DigestRound,
        counts: Mapping[str, int],
        own_region_views: list[DomainView],
    ) -> Digest:
        views = own_region_views + self._other_region_views(digest_round)
        others = [
            name
            for name in self._target_count_codec.regions()
            if name != self._own.region
        ]
        regions = [
            self._own.region,
            *rotate(others, MAX_OTHER_REGIONS, digest_round.round_number),
        ]
        loads = self._serialize_counts(counts, regions)
        digest = self._create_digest(digest_round, DigestScope.ALL, views, loads)
        unserved = self._unserved.in_region(
            digest_round.status.unserved, digest_round.now
        )
        without_links = self._without_links.in_region(
            digest_round.status.links_lost, digest_round.now
        )
        speeds = self._speed_relay.region_speeds(
            digest_round.status.speeds, digest_round.now
        )
        digest = msgspec.structs.replace(
            digest,
            unserved=serialize_hashes(unserved),
            without_links=serialize_hashes(without_links),
            speeds=serialize_speeds(speeds),
        )
        mean = self._merger.region_shares(digest_round.status.shares)
        warm_hashes = self._warm_key_relay.keys_for_domain(
            digest_round.status.warm_keys, digest_round.now
        )
        admitted = self._admitted_keys.region_mean(
            digest_round.status.admitted_keys, digest_round.now
        )
        return self._with_shares_and_warm_keys(
            digest_round, digest, mean, admitted, warm_hashes
        )

    def _other_region_views(self, digest_round: DigestRound) -> list[DomainView]:
        other_domains = [
            domain
            for region in self._membership.other_regions()
            for domain in self._membership.domains(region)
        ]
        return [
            self._view(d, digest_round)
            for d in rotate(
                other_domains, MAX_OTHER_REGION_DOMAINS, digest_round.round_number
            )
        ]

    def _view(self, domain: str, digest_round: DigestRound) -> DomainView:
        def heartbeat_seq(name: str) -> int:
            return (
                digest_round.seq
                if name == self._own.name
                else self._merger.newest_seq(name)
            )

        return self._views.build(
            domain,
            digest_round.status.state,
            heartbeat_seq,
            digest_round.round_number,
            digest_round.now,
        )

    def _serialize_counts(
        self, counts: Mapping[str, int], regions: Iterable[str]
    ) -> list[RegionCounts]:
        return [
            self._target_count_codec.serialize(region, counts)
            for region in regions
            if region in self._target_count_codec.regions()
        ]

    def _create_digest(
        self,
        digest_round: DigestRound,
        scope: DigestScope,
        views: list[DomainView],
        loads: list[RegionCounts],
    ) -> Digest:
        return Digest(
            self._own.name,
            scope,
            digest_round.round_number,
            self._own.incarnation,
            digest_round.status.position.revision,
            self._own.pull,
            views,
            loads,
            outage_age_ms=digest_round.status.outage_age_ms,
            use=digest_round.usage.by_scope[scope],
            use_age_ms=digest_round.usage.age_ms,
            silent=digest_round.usage.silent[scope],
            confirmed_ms=digest_round.status.answer.age_ms,
            answer=digest_round.status.answer.number,
            merged_ms=digest_round.usage.merged_ms,
            era=digest_round.status.position.era,
        )

    def _with_shares_and_warm_keys(
        self,
        digest_round: DigestRound,
        digest: Digest,
        mean: WeightedShares,
        admitted_keys: Shares,
        warm_hashes: list[int],
    ) -> Digest:
        """Return a copy of a digest with warm keys and, in some rounds, shares."""
        has_shares = digest_round.round_number % SHARES_INTERVAL_ROUNDS < 2
        return msgspec.structs.replace(
            digest,
            entries=mean.entries,
            shares=mean.shares if has_shares else {},
            admitted_keys=admitted_keys if has_shares else {},
            warm_keys=serialize_hashes(warm_hashes),
        )
