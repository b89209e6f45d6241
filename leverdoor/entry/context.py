# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""What the parts of an entry are created from."""

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
    """An entry's settings at its start, and what connects it to its surroundings."""

    settings: EntrySettings
    store: LeasingStore
    network: PeerNetwork
    wire: Wire
    events: Events
    rng: Random
    """Where all chance comes from."""
    time_of_day: Callable[[], float] = time.time
    """Returns seconds since the epoch; the loop's clock is for all else."""
