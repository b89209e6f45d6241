# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""When this entry follows the store, when it asks it, and how long a watch waits.

A change that the store confirmed must be in force at every entry in touch within
2.5 s, whoever is dead, cut off or not served. Three rules do that, each by itself:

- The region's first entries by link that the store answers follow it. One that it does
  not answer says so and is passed over; it tries again after a while.
- The followers of all regions end their watches in turn, so that each entry knows an
  answer of the store that is well below `STALE_S` old.
- An entry whose configuration rests on an older answer asks the store itself, whatever
  the reason: followers that are not served, fetches without an answer, messages that
  don't come. It then follows the store for a while.

The longest way of a change, in seconds after the store confirmed it:

| at most | step |
| --- | --- |
| 1.2 | `STALE_S`: the answer that an entry knows is older than the change |
| 0.1 | the messages that told it, by which the age is too small |
| 0.1 | two places in the order of asking, by `ASK_SHARE` |
| 0.1 | `storage.following.POLL_S`: the age is looked at |
| 0.2 | a new connection to a store in another region, and the answer |
| 0.15 | `peer_link.BUSY_NEWS_S`: news to entries that the store does not answer |
| 0.15 | their fetch |
| 2.0 | |

A first packet that is lost on the way to the store adds 0.45 s, until that call is made
again.

Owns until when this entry follows out of turn, and since when the store does not answer
it; lost with the process. Relies on `Confirmation` for the age, on `Roles` for the
order, on `UnservedEntries` for who is not served. Pure but for the chance passed in;
both clocks are passed in as well.
"""

from collections.abc import Callable
from random import Random

from leverdoor.entry.configuration.confirmation import Confirmation
from leverdoor.entry.exchange.unserved import UnservedEntries
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.peer_record import NEVER
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.settings import EntrySettings
from leverdoor.storage.store_availability import MIN_FRACTION_OF_MEAN, StoreAvailability

__all__ = ["STALE_S", "StoreRole"]

STALE_S = 1.2
"""Age of the store's newest answer from which on an entry asks the store itself.

Answers come each `CONFIRM_EVERY_S`, and are known to all 0.8 s later (p99, 195 entries
and 5% of datagrams lost). Shorter, entries ask although nothing is wrong; longer, a
change that nobody passes on is later by as much.
"""
CONFIRM_EVERY_S = 0.42
"""Time between two answers of the store to any of its followers, in seconds.

Six followers that wait 2.5 s each. Shorter, more calls; longer, `STALE_S` must grow.
"""
LONGEST_WAIT_S = 2.5
"""Longest wait of one watch, in seconds.

Longer, a follower that is not served learns of it later from its own watch.
"""
SHORTEST_WAIT_S = 0.2
"""A watch that would end sooner waits until its next turn."""
RANK_STEP_S = 0.03
"""Time between two entries of a region that ask the store, by link, in seconds.

Shorter, more ask before the answer to the first has spread; longer, those whose
predecessors are not answered ask later.
"""
ASK_SHARE = 0.08
"""Part of the store's rate of reads that all entries together take to ask once.

Most of the tenth that they may take while it answers nobody: the rest is for those that
ask again, for followers and starts. Greater, an entry far down the order that alone is
answered asks sooner.
"""
ASK_AGAIN_SHARE = 0.025
"""The same for those that asked in vain: followers notice that the store is back."""
ASK_CALLS = 2
"""Calls that an entry makes as it asks in vain: the first one is made again."""
ALONE_SHARE = 0.5
"""The same where others know newer answers, which this entry can't fetch.

The store answers then, and others can't help. Smaller, such an entry of a large site
asks later; greater, many at once leave no reads for others.
"""
ASK_AGAIN_S = 1.0
"""Least mean pause after an entry asked in vain until it asks again, in seconds."""
OUT_OF_TURN = 2
"""Times as many entries of a region as follow the store may do so out of turn.

Fewer, the next ones may not be served either; all, each change costs as many calls as
there are entries. The others ask again when they must.
"""
OUT_OF_TURN_S = 5.0
"""How long an entry that asked and was answered follows the store, in seconds.

Until the followers before it have told that they are not served, or are served again.
Longer, more entries watch the store after a trouble.
"""


class StoreRole:
    """What this entry does to keep the region in step with the store."""

    def __init__(
        self,
        membership: Membership,
        roles: Roles,
        unserved: UnservedEntries,
        confirmation: Confirmation,
        settings: Callable[[], EntrySettings],
        rng: Random,
    ) -> None:
        """Create it.

        Args:
          membership: the entries known.
          roles: the order of the region's entries.
          unserved: which of them the store does not answer.
          confirmation: what the configuration in force rests on.
          settings: returns the settings in force.
          rng: spreads calls to a store that does not answer.
        """
        self._membership = membership
        self._roles = roles
        self._unserved = unserved
        self._confirmation = confirmation
        self._settings = settings
        self._rng = rng
        self._out_of_turn_until = NEVER
        self._served = StoreAvailability(rng)
        self._ask_at = NEVER
        self._asks = False
        """Whether it asks out of turn now."""

    def unserved(self, now: float) -> bool:
        """Return whether the store did not answer this entry lately."""
        return self._served.is_unserved(now)

    def follows(self, now: float) -> bool:
        """Return whether this entry follows the store now."""
        if now < self._out_of_turn_until:
            return True
        followers = self._settings().watchers
        if self._served.may_try(now):
            return self._roles.follows_store(followers, now)
        return self._roles.follows_store(
            followers, now, self._unserved.all_known(now), self.unserved(now)
        )

    def must_ask(self, now: float) -> bool:
        """Return whether this entry is to ask the store out of turn.

        It is once the newest answer that its configuration rests on is too old, by
        place, so that a few ask first; and no sooner again than the rate allows.
        """
        age_s = self._confirmation.age_s(now)
        if age_s <= STALE_S or now < self._ask_at:
            return False
        # Unserved ones count here: as the first fail, the others must not ask faster.
        place = self._roles.place(now, ())
        alone = self._confirmation.knows_newer(STALE_S, now)
        step_s = self._step_s(ALONE_SHARE if alone else ASK_SHARE, now)
        if not alone:
            step_s = max(step_s, RANK_STEP_S)
        return age_s > STALE_S + place * step_s

    def is_stale(self, now: float) -> bool:
        """Return whether what is in force may lack changes that are due."""
        return self._confirmation.age_s(now) > STALE_S

    def _place(self, now: float) -> int:
        """Return this entry's place among the region's that are served, from 0."""
        return self._roles.place(now, self._unserved.all_known(now))

    def _step_s(self, share: float, now: float) -> float:
        """Return the least time between two entries of the region that ask, in s.

        Args:
          share: part of the store's reads that all regions together may take.
          now: monotonic time in seconds.
        """
        regions = len(self._membership.live_regions(now))
        return regions * ASK_CALLS / (share * self._settings().store_reads_per_s)

    def asked(self) -> None:
        """Record that this entry begins to ask out of turn."""
        self._asks = True

    def answered(self, now: float) -> None:
        """Record that the store answered this entry."""
        self._served.answered()
        if self._asks and self._place(now) < OUT_OF_TURN * self._settings().watchers:
            self._out_of_turn_until = now + OUT_OF_TURN_S
        self._asks = False

    def failed(self, now: float) -> None:
        """Record that the store did not answer this entry."""
        if self._asks:
            reads_per_s = ASK_AGAIN_SHARE * self._settings().store_reads_per_s
            mean_s = self._membership.count * ASK_CALLS / reads_per_s
            spread = MIN_FRACTION_OF_MEAN + self._rng.random()
            self._ask_at = now + max(ASK_AGAIN_S, mean_s) * spread
        self._asks = False
        self._served.failed(now)
        self._out_of_turn_until = NEVER

    def wait_s(self, now: float, time_of_day: float) -> float:
        """Return how long a watch that begins now may wait, in seconds.

        The followers of all regions have turns, evenly spread over one wait. Clocks
        that differ make turns uneven, no more.

        Args:
          now: monotonic time in seconds.
          time_of_day: seconds since the epoch; all entries have about the same.
        """
        regions = self._membership.live_regions(now)
        followers = self._settings().watchers
        place = self._place(now)
        turns = followers * len(regions)
        turn = regions.index(self._membership.own.region) * followers
        turn += place % followers
        period_s = min(LONGEST_WAIT_S, turns * CONFIRM_EVERY_S)
        wait_s = (turn * period_s / turns - time_of_day) % period_s
        return wait_s if wait_s >= SHORTEST_WAIT_S else wait_s + period_s
