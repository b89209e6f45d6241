# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Served shares while entries have lost their links to targets, with real entries.

`python benchmarks/lost_links.py [--kind hang] [--cut half] [--seconds 8] [--rate 15]`
starts twelve entries in six failure domains and 24 targets, cuts the links of some
entries for a while, and prints for each second since the cut which share of first tries
was served at those entries and at the others, and the 95th percentile of the latency.
"""

import argparse
import asyncio
from collections.abc import Iterable

from leverdoor.standins.entry_process import Place
from leverdoor.standins.link_cuts import LinkCutKind
from leverdoor.standins.partition_site import PartitionSite
from leverdoor.standins.upstreams import UpstreamStandin

DOMAINS = [f"{region}{i}" for region in "abc" for i in (1, 2)]
PLACES = {f"n{i}": Place(DOMAINS[i % 6], DOMAINS[i % 6][0]) for i in range(12)}
WARM_UP_S = 2.0
AFTER_S = 3.0
"""Time for which requests are sent before and after the cut, in seconds."""
CUTS = {
    "half": [f"n{i}" for i in range(0, 12, 2)],
    "eleven": [f"n{i}" for i in range(11)],
    "all": list(PLACES),
    "domain": [n for n, p in PLACES.items() if p.zone == "a1"],
    "region": [n for n, p in PLACES.items() if p.region == "a"],
}
"""Entries whose links are cut."""


def targets() -> list[UpstreamStandin]:
    return [
        UpstreamStandin(f"i-{service}-{domain}-{i}", service, domain)
        for service in ("look", "file")
        for domain in DOMAINS
        for i in range(2)
    ]


class Sample:
    """One request."""

    def __init__(self, entry: str, at: float) -> None:
        self.entry = entry
        self.at = at
        self.took_s = 0.0
        self.status = 0


async def send(site: PartitionSite, sample: Sample, number: int) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    headers = {"X-Affinity-Key": str(number % 40)}
    entry = site.entries[sample.entry]
    if number % 3:
        answer = await site.request(entry, "GET", "/look/x", None, headers)
    else:
        answer = await site.request(entry, "POST", "/file/x", b"x" * 300, headers)
    sample.took_s = loop.time() - began
    sample.status = answer.status


def line(name: str, samples: list[Sample]) -> str:
    if not samples:
        return f"{name}: -"
    served = sum(s.status == 200 for s in samples) / len(samples)
    p95_s = sorted(s.took_s for s in samples)[int(0.95 * len(samples))]
    return f"{name}: {served:.3f} of {len(samples)}, p95 {p95_s:.2f} s"


def report(samples: Iterable[Sample], cut: list[str], seconds: float) -> None:
    samples = list(samples)
    for second in range(-int(WARM_UP_S), int(seconds + AFTER_S)):
        here = [s for s in samples if second <= s.at < second + 1]
        inside = [s for s in here if s.entry in cut]
        outside = [s for s in here if s.entry not in cut]
        print(f"{second:3} s  {line('cut', inside)}; {line('others', outside)}")
    late = [s for s in samples if 4.0 <= s.at < seconds]
    print("from 4 s:", line("cut", [s for s in late if s.entry in cut]), end="; ")
    print(line("others", [s for s in late if s.entry not in cut]))


async def play(options: argparse.Namespace) -> None:
    site = PartitionSite(PLACES, targets())
    cut = CUTS[options.cut]
    lost = [n for n in site.targets if options.service in ("", n.split("-")[1])]
    loop = asyncio.get_running_loop()
    samples: list[Sample] = []
    try:
        await site.start()
        began = loop.time() + WARM_UP_S
        tasks = []
        is_cut = False
        number = 0
        while (at := loop.time() - began) < options.seconds + AFTER_S:
            wanted = 0 <= at < options.seconds
            if options.flap and wanted:
                wanted = at % 3.0 < 2.0
            if wanted != is_cut:
                is_cut = wanted
                if is_cut:
                    site.cut_links(cut, lost, LinkCutKind(options.kind))
                else:
                    site.restore_links(cut)
            for entry in PLACES:
                number += 1
                sample = Sample(entry, at)
                samples.append(sample)
                tasks.append(asyncio.create_task(send(site, sample, number)))
            await asyncio.sleep(1 / options.rate)
        await asyncio.gather(*tasks)
    finally:
        await site.stop()
    report(samples, cut, options.seconds)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", default="hang", choices=list(LinkCutKind))
    parser.add_argument("--cut", default="half", choices=list(CUTS))
    parser.add_argument("--service", default="", help="only targets of this service")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rate", type=float, default=15.0)
    parser.add_argument("--flap", action="store_true", help="2 s cut, 1 s whole")
    asyncio.run(play(parser.parse_args()))


if __name__ == "__main__":
    main()
