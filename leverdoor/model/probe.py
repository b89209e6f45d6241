# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The result of probing a target, which an agent sends to its gate. Owns no state."""

import msgspec

__all__ = ["Probe"]


class Probe(msgspec.Struct, frozen=True, array_like=True):
    """The result of one probe.

    `ok`: the target was reachable. `leaving`: it announced that it is leaving.
    `in_flight`: the number of requests in progress that it reported. `taken_at`:
    monotonic time of the agent in seconds, comparable with the gate's because both run
    on one VM.
    """

    ok: bool
    leaving: bool = False
    in_flight: int = 0
    taken_at: float = 0.0
    reports: bool = True
    """Whether the target serves a report path; some targets do not."""
