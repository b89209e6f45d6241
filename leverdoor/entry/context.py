# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The dependencies that an entry passes to its components.

Owns no state; relies on the daemon to create the store, the network and the log.
"""

import time
from collections.abc import Callable
from random import Random

import msgspec

from leverdoor.entry.events import Events
from leverdoor.entry.exchange.peer_network import PeerNetwork
from leverdoor.entry.settings import EntrySettings
from leverdoor.entry.wire import Wire
from leverdoor.storage.store import LeasingStore

__all__ = ["EntryContext"]


class EntryContext(msgspec.Struct, frozen=True):
    """An entry's initial settings and its external dependencies."""

    settings: EntrySettings
    store: LeasingStore
    network: PeerNetwork
    wire: Wire
    events: Events
    rng: Random
    """Source of all randomness of the entry."""
    time_of_day: Callable[[], float] = time.time
    """Returns seconds since the epoch; all other times are event loop times."""
