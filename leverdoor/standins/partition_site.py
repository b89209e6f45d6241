# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Entries as real processes whose links to targets can be cut, each by itself.

State: as of `EntrySite`, and a file for each entry with the links that are cut now.
Relies on `link_cuts`, which applies the file within the entry's process.
"""

from collections.abc import Iterable
from pathlib import Path

from leverdoor.codec import serialize_json
from leverdoor.standins.entry_process import EntryProcess, Place
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.link_cuts import LINK_CUTS, LinkCutKind, LinkCuts

__all__ = ["PartitionSite"]


class PartitionSite(EntrySite):
    """A deployment in which entries lose their links to targets."""

    def _entry(self, name: str, place: Place, store: str) -> EntryProcess:
        entry = super()._entry(name, place, store)
        entry.program = "leverdoor.standins.partitioned"
        entry.environment[LINK_CUTS] = str(self._cuts(name))
        return entry

    def _cuts(self, name: str) -> Path:
        return Path(self._folder.name) / f"{name}.cuts"

    def cut_links(
        self, entries: Iterable[str], targets: Iterable[str], kind: LinkCutKind
    ) -> None:
        """Cut the links of entries to targets; other links of these are whole."""
        addresses = [
            self._addresses[name] for name in targets if name in self._addresses
        ]
        for name in entries:
            self._write(name, LinkCuts(kind, addresses))

    def restore_links(self, entries: Iterable[str]) -> None:
        """End all cuts of entries."""
        for name in entries:
            self._write(name, LinkCuts())

    def _write(self, name: str, cuts: LinkCuts) -> None:
        fresh = self._cuts(f"{name}.new")
        fresh.write_bytes(serialize_json(cuts))
        fresh.replace(self._cuts(name))
