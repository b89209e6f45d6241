# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Decides when an entry follows or queries the store, and how long a watch waits.

A change that the store confirmed must be in force within 2.5 s at every entry that can
exchange messages, even if other entries are dead, partitioned or not served by the
store. Three independent rules ensure this:

- In each region, the entries with the widest links among those that the store answers
  follow it. An entry whose store calls fail is unserved: it reports this to the others,
  is skipped in the order, and tries again later.
- The followers of all regions end their watches at staggered times, so that each entry
  knows a store answer much younger than `MAX_ANSWER_AGE_S`.
- An entry whose configuration rests on an older answer queries the store itself,
  whatever the cause: unserved followers, unanswered fetches or lost messages. It then
  follows the store temporarily.

Worst-case delay of a change in seconds after the store confirmed it:

| at most | step |
| --- | --- |
| 1.2 | `MAX_ANSWER_AGE_S`: an entry knows an answer older than the change |
| 0.1 | message delay, by which the entry underestimates the age of the answer |
| 0.1 | the delay of the third-ranked entry's query, by `QUERY_READ_SHARE` |
| 0.1 | `storage.following.POLL_S`: interval of the age check |
| 0.2 | a new connection to a store in another region, and the answer |
| 0.15 | `peer_link.ANNOUNCE_PACING_S`: announcement to entries without store answers |
| 0.15 | the fetch by those entries |
| 2.0 | |

The loss of the first packet to the store adds 0.45 s, until the call is retried.

Owns the end of this entry's temporary role as follower, the time of its next query, and
since when the store has not answered it; all are lost with the process. Relies on
`Confirmation` for the age of answers, on `Roles` for the order of entries, and on
`EntryReports` for the entries that the store does not answer. The module does no
I/O; the random generator and both clocks are passed in.
"""

from collections.abc import Callable
from random import Random

from leverdoor.entry.configuration.confirmation import Confirmation
from leverdoor.entry.exchange.entry_reports import EntryReports
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import NEVER
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.settings import EntrySettings
from leverdoor.storage.store_availability import MIN_FRACTION_OF_MEAN, StoreAvailability

__all__ = ["MAX_ANSWER_AGE_S", "StoreRole"]

MAX_ANSWER_AGE_S = 1.2
"""Age in seconds of the newest store answer above which an entry queries the store.

The store answers every `CONFIRM_INTERVAL_S`, and all entries know an answer 0.8 s later
(p99, 195 entries, 5% datagram loss). With a smaller value, entries query the store
without a fault. A greater value delays a change that nobody forwards by the difference.
"""
CONFIRM_INTERVAL_S = 0.42
"""Interval between two store answers to any of the followers, in seconds.

It results from six followers that wait 2.5 s each. A smaller value costs more calls. A
greater value requires a greater `MAX_ANSWER_AGE_S`. Sites with fewer followers have a
shorter cycle.
"""
MAX_WATCH_WAIT_S = 2.5
"""Maximum wait of one watch, in seconds.

With a greater value, an unserved follower detects later that its watch has failed.
"""
MIN_WATCH_WAIT_S = 0.2
"""Minimum wait of one watch, in seconds; a shorter one is extended by one period."""
MIN_QUERY_STAGGER_S = 0.03
"""Minimum delay between the queries of successive entries of a region, in seconds.

Entries query in the order of their link bandwidth. With a smaller value, more entries
query before the first answer has spread. With a greater value, entries whose
predecessors get no answer query later.
"""
QUERY_READ_SHARE = 0.08
"""Fraction of the store's read rate that the first queries of all entries may use.

While the store answers nobody, all entries together may use 0.1 of its reads. The
rest is for repeated queries, followers and starts. With a greater value, the only
served entry queries sooner if it ranks last.
"""
RETRY_READ_SHARE = 0.025
"""Fraction of the store's read rate for entries that repeat a failed query.

It can be small because the followers detect the return of the store.
"""
CALLS_PER_FAILED_QUERY = 2
"""Store calls of one failed query: the call and one retry."""
FETCH_FAILED_READ_SHARE = 0.5
"""Fraction of the store's read rate for an entry that cannot fetch a newer state.

Other entries know newer answers, so the store works, but they cannot help this entry.
With a smaller value, such an entry of a large site queries later. With a greater value,
many such entries at once leave no reads for the others.
"""
MIN_RETRY_PAUSE_S = 1.0
"""Minimum mean pause between a failed query and the next one, in seconds."""
TEMPORARY_FOLLOWER_FACTOR = 2
"""Number of candidates for temporary followers per regular follower of a region.

With a smaller factor, the candidates may be unserved as well. Without a limit, each
change would cost one call per entry. Entries beyond the limit query again when their
newest answer is too old.
"""
TEMPORARY_FOLLOW_S = 5.0
"""How long an entry follows the store after an answered query, in seconds.

The time allows the regular followers to report that they are unserved, or to be served
again. With a greater value, more entries watch the store after a fault.
"""


class StoreRole:
    """Decides this entry's part in synchronizing its region with the store."""

    def __init__(
        self,
        membership: Membership,
        roles: Roles,
        unserved: EntryReports,
        confirmation: Confirmation,
        settings: Callable[[], EntrySettings],
        rng: Random,
    ) -> None:
        """Create the role.

        Args:
          membership: the known entries.
          roles: ranks the entries of the region.
          unserved: the entries that the store does not answer.
          confirmation: the store answer behind the configuration in force.
          settings: returns the settings in force.
          rng: adds jitter to calls to a store that does not answer.
        """
        self._membership = membership
        self._roles = roles
        self._unserved = unserved
        self._confirmation = confirmation
        self._settings = settings
        self._rng = rng
        self._temporary_until = NEVER
        self._served = StoreAvailability(rng)
        self._next_query_at = NEVER
        self._is_querying = False
        """Whether a query outside the follower role is in progress."""

    def is_unserved(self, now: float) -> bool:
        """Return whether the store recently failed to answer this entry."""
        return self._served.is_unserved(now)

    def follows(self, now: float) -> bool:
        """Return whether this entry follows the store now."""
        if now < self._temporary_until:
            return True
        followers_per_region = self._settings().watchers
        if self._served.may_try(now):
            return self._roles.follows_store(followers_per_region, now)
        return self._roles.follows_store(
            followers_per_region,
            now,
            self._unserved.others(now),
            self.is_unserved(now),
        )

    def must_ask(self, now: float) -> bool:
        """Return whether this entry must query the store without being a follower.

        It must if the newest answer that confirms its configuration is too old. Entries
        query in the order of their rank, so that only a few query first, and repeat a
        failed query no sooner than the read rate allows.
        """
        age_s = self._confirmation.age_s(now)
        if age_s <= MAX_ANSWER_AGE_S or now < self._next_query_at:
            return False
        # Unserved entries keep their rank; otherwise their failures would let the
        # others query sooner.
        rank = self._roles.rank_among_live(now, ())
        knows_newer_state = self._confirmation.has_answer_for_newer_position(
            MAX_ANSWER_AGE_S, now
        )
        stagger_s = self._query_stagger_s(
            FETCH_FAILED_READ_SHARE if knows_newer_state else QUERY_READ_SHARE, now
        )
        if not knows_newer_state:
            stagger_s = max(stagger_s, MIN_QUERY_STAGGER_S)
        return age_s > MAX_ANSWER_AGE_S + rank * stagger_s

    def is_stale(self, now: float) -> bool:
        """Return whether the newest known answer is older than `MAX_ANSWER_AGE_S`."""
        return self._confirmation.age_s(now) > MAX_ANSWER_AGE_S

    def _rank_among_served(self, now: float) -> int:
        """Return this entry's rank among the region's served entries, from 0."""
        return self._roles.rank_among_live(now, self._unserved.others(now))

    def _query_stagger_s(self, share: float, now: float) -> float:
        """Return the minimum delay between two querying entries of the region, in s.

        The read rate covers the failed queries of one entry per region and delay.

        Args:
          share: fraction of the store's read rate available to all regions together.
          now: monotonic time in seconds.
        """
        regions = len(self._membership.live_regions(now))
        return (
            regions
            * CALLS_PER_FAILED_QUERY
            / (share * self._settings().store_reads_per_s)
        )

    def asked(self) -> None:
        """Record that this entry starts a query outside the follower role."""
        self._is_querying = True

    def answered(self, now: float) -> None:
        """Record that the store answered this entry."""
        self._served.answered()
        if (
            self._is_querying
            and self._rank_among_served(now)
            < TEMPORARY_FOLLOWER_FACTOR * self._settings().watchers
        ):
            self._temporary_until = now + TEMPORARY_FOLLOW_S
        self._is_querying = False

    def failed(self, now: float) -> None:
        """Record that the store failed to answer this entry."""
        if self._is_querying:
            reads_per_s = RETRY_READ_SHARE * self._settings().store_reads_per_s
            mean_s = self._membership.count * CALLS_PER_FAILED_QUERY / reads_per_s
            jitter = MIN_FRACTION_OF_MEAN + self._rng.random()
            self._next_query_at = now + max(MIN_RETRY_PAUSE_S, mean_s) * jitter
        self._is_querying = False
        self._served.failed(now)
        self._temporary_until = NEVER

    def wait_s(self, now: float, time_of_day: float) -> float:
        """Return the maximum wait of a watch that starts now, in seconds.

        The watches of all regions' followers end at evenly spaced times of a period.
        Clock differences between entries only make the spacing uneven.

        Args:
          now: monotonic time in seconds.
          time_of_day: seconds since the epoch, roughly equal at all entries.
        """
        regions = self._membership.live_regions(now)
        followers_per_region = self._settings().watchers
        rank = self._rank_among_served(now)
        slots = followers_per_region * len(regions)
        slot = regions.index(self._membership.own.region) * followers_per_region
        slot += rank % followers_per_region
        cycle_s = min(MAX_WATCH_WAIT_S, slots * CONFIRM_INTERVAL_S)
        wait_s = (slot * cycle_s / slots - time_of_day) % cycle_s
        return wait_s if wait_s >= MIN_WATCH_WAIT_S else wait_s + cycle_s
