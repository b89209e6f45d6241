# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""One emulated entry as far as targets' limits go, and the ways that are weighed.

State: of one entry, lost when it is killed. Relies on the product's own modules for
every decision; the ways that were weighed against them stand here.
"""

from collections.abc import Callable
from random import Random

import msgspec

from emulated_exchange import Outgoing
from leverdoor.entry.exchange.exchange import Exchange
from leverdoor.entry.exchange.exchange_types import EntryStatus, PeerUpdate
from leverdoor.entry.exchange.messages import ExchangeMessage
from leverdoor.entry.limits.limiter import Limiter
from leverdoor.entry.limits.limiter_selector import LimiterSelector
from leverdoor.entry.membership.member import SERVING, Member
from leverdoor.entry.membership.members import Membership
from leverdoor.entry.membership.roles import Roles
from leverdoor.entry.pause_detector import PauseDetector
from leverdoor.entry.placement.fleet import Fleet
from leverdoor.entry.placement.room_rejections import RoomRejections
from leverdoor.errors import Refusal
from leverdoor.limits.advertised import LimitAdvertisement
from leverdoor.model.resources import Target, Workspace
from leverdoor.model.target_id import target_id
from leverdoor.workspaces.quota import Quotas
from leverdoor.workspaces.quota_bounds import QuotaBounds

__all__ = ["LimitNode", "Surroundings"]


class Surroundings(msgspec.Struct, frozen=True):
    """What all emulated entries share."""

    targets: list[Target]
    per_s: float
    """The limit that each of them names."""
    bounds: QuotaBounds
    """Those of limits, for the way that tells use."""
    clock: Callable[[], float]
    """Counts also the time in which an entry is frozen, in seconds."""


class _EvenPart:
    """A token bucket that saves up one request."""

    def __init__(self, now: float) -> None:
        self._tokens = 1.0
        self._at = now

    def spend(self, per_s: float, now: float) -> bool:
        self._tokens = min(self._tokens + (now - self._at) * per_s, 1.0)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LimitNode:
    """One entry as far as targets' limits go."""

    def __init__(self, own: Member, shared: Surroundings, now: float) -> None:
        rng = Random(f"{own.name} {now}")
        self.membership = Membership(own)
        self.exchange = Exchange(self.membership, Roles(self.membership, rng))
        self.fleet = Fleet()
        self.book = self.fleet.limits
        self.pauses = PauseDetector(now, shared.clock)
        self.role = LimiterSelector(self.membership, lambda: SERVING, self.pauses)
        by_id = {target_id(t.name): t for t in shared.targets}
        self.limiter = Limiter(self.fleet, self.role, self.pauses, by_id.get)
        self.notes = {t.name: RoomRejections() for t in shared.targets}
        self._own_words: dict[int, LimitAdvertisement] = {}
        self._parts: dict[str, _EvenPart] = {}
        self._workspaces = {
            t.name: Workspace(name=t.name, rate_per_s=shared.per_s, burst=0.0)
            for t in shared.targets
        }
        self._quotas = Quotas(shared.bounds, rng, now, first_start=not now)
        self.exchange.use.renew(
            self._quotas.admission_limits(self._workspaces.values())
        )

    def round(self, now: float) -> list[Outgoing]:
        """Return what it sends in a round."""
        self.pauses.uninterrupted_s(now)
        self._quotas.entries = self.membership.count
        status = EntryStatus(
            SERVING,
            1,
            {},
            {},
            -1,
            [],
            use=self._quotas.report(now),
            uptime_s=self._quotas.counting_for_s(now),
            limits=list(self._own_words.values()),
        )
        sendings, update = self.exchange.round(status, now)
        self._receive(update, now)
        self.exchange.forget(now)
        return [(s.message, s.destinations) for s in sendings]

    def take(self, message: ExchangeMessage, now: float) -> None:
        """Take a message."""
        self._receive(self.exchange.take(message, 1, now), now)

    def _receive(self, update: PeerUpdate, now: float) -> None:
        for word in update.limits:
            self.book.take(word)
        if update.use is not None:
            self._quotas.receive(update.use, now)

    def answered(self, target: Target, per_s: float | None, now: float) -> None:
        """Take what an answer of a target names."""
        word = LimitAdvertisement(target_id(target.name), per_s, now)
        self.book.take(word)
        if self.book.newest_of(word.target) is word:
            self._own_words[word.target] = word

    # The ways that were weighed.

    def admits_evenly(self, target: Target, per_s: float, now: float) -> bool:
        """Keep an even part of the limit, alone."""
        part = self._parts.setdefault(target.name, _EvenPart(now))
        return part.spend(per_s / self.membership.count, now)

    def admits_as_told(self, target: Target, now: float) -> bool:
        """Keep the limit as a quota: by the use that all tell in digests."""
        self._quotas.entries = self.membership.count
        try:
            self._quotas.admit(self._workspaces[target.name], now)
        except Refusal:
            return False
        return True
