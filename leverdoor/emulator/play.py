# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Plays one experiment with one seed: the site, its clients and its troubles."""

from leverdoor.emulator.clients import EmulatedClients
from leverdoor.emulator.plan import Experiment
from leverdoor.emulator.results import Result
from leverdoor.emulator.site import EmulatedSite
from leverdoor.emulator.troubles import EmulatedTrouble

__all__ = ["play"]


def play(experiment: Experiment, seed: int) -> Result:
    """Play an experiment once.

    Each part draws from a generator of its own, so that a change of policy does not
    reshuffle the load or the troubles.
    """
    site = EmulatedSite(experiment, seed)
    site.start()
    for load in experiment.load:
        for place, region in enumerate(experiment.site.entries):
            EmulatedClients(site, load, region, place).start()
    for number, spec in enumerate(experiment.trouble):
        EmulatedTrouble(site, spec, site.generator(f"trouble {number}")).plan()
    site.clock.run(experiment.seconds)
    site.count_runs()
    return site.result
