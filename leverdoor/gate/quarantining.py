# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Requests that end targets, at a gate: what it sees, and what gates tell each other.

Each round a gate judges what it knows and tells some other gates, which pass on what is
new to them; so all know within a few rounds, at bytes that do not grow with their
number.

Owns the gate's quarantine and the checks of targets under way; lost with the process,
and told again by the other gates. Relies on `PeerGates` for who there is, and on the
gates' addresses for each other.
"""

import asyncio
from random import Random

import aiohttp
from loguru import logger

from leverdoor.gate.hop_client import CONNECT_TIMEOUT_S
from leverdoor.gate.peers import PeerGates
from leverdoor.metrics import GateMetrics
from leverdoor.model.resources import Target
from leverdoor.model.target_id import target_id
from leverdoor.quarantine.crashes import LostRun
from leverdoor.quarantine.ended_targets import EndedTargets, TargetCheck
from leverdoor.quarantine.fingerprint import fingerprint_text
from leverdoor.quarantine.notices import parse_notices, serialize_notices
from leverdoor.quarantine.quarantine import Quarantine
from leverdoor.quarantine.refusal import held_refusal
from leverdoor.quarantine.trying import tries_for_all
from leverdoor.sessions import new_session
from leverdoor.settings import parse_address

__all__ = ["NOTICES_PATH", "GateQuarantine"]

NOTICES_PATH = "/v1/internal/notices"
"""Path at which gates tell each other, on the address for other gates."""
NOTICE_INTERVAL_S = 0.2
"""Time between two rounds, in seconds: as heartbeats are sent."""
NOTICE_FANOUT = 8
"""Gates that are told in one round: with three rounds for each news 195 gates have it
after three rounds. Fewer: some have it later. More: more connections."""
NOTICE_TIMEOUT_S = 1.0
"""Longest time to tell one gate, in seconds: another round follows."""


class GateQuarantine:
    """The requests that one gate holds back."""

    def __init__(
        self, vm: str, peer_gates: PeerGates, metrics: GateMetrics, rng: Random
    ) -> None:
        """Create it; must be called on the loop.

        Args:
          vm: this gate's VM.
          neighbours: the other gates.
          metrics: shows how many requests are held back.
          rng: chooses whom to tell.
        """
        self._vm = vm
        self._peer_gates = peer_gates
        self._metrics = metrics
        self._rng = rng
        self._quarantine = Quarantine()
        self._ended = EndedTargets(_check_target, self._record_check)
        self._session = new_session(NOTICE_TIMEOUT_S)

    async def close(self) -> None:
        """Close the connections to other gates."""
        await self._session.close()

    # Requests.

    def check(self, fingerprint: int) -> None:
        """Check that no target is known to end under a request; 0 is none's.

        Raises:
          Refusal: it is held back.
        """
        now = asyncio.get_running_loop().time()
        hold = self._quarantine.hold(fingerprint, now)
        if hold is None:
            return
        mine = tries_for_all(self._vm, self._peer_gates.vms(), fingerprint)
        if not mine or not self._quarantine.try_once_more(hold, now):
            raise held_refusal(hold, now)
        logger.info("quarantine try", fingerprint=fingerprint_text(fingerprint))

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether a request may go to another target after a lost answer."""
        now = asyncio.get_running_loop().time()
        return not fingerprint or self._quarantine.may_retry(fingerprint, now)

    def lost(self, target: Target, fingerprint: int, began: float) -> None:
        """Take a lost answer; the target is looked at, since it may have ended."""
        if fingerprint:
            now = asyncio.get_running_loop().time()
            self._ended.check(target, LostRun(fingerprint, began, now))

    def answered(self, fingerprint: int) -> None:
        """Take a whole answer: its request is harmless."""
        if fingerprint:
            now = asyncio.get_running_loop().time()
            self._quarantine.answered(fingerprint, now)

    def _record_check(
        self, target: Target, found: TargetCheck, runs: list[LostRun], took_s: float
    ) -> None:
        """Note the runs that ended with a target; a drained one ended as planned."""
        logger.info("target checked", target=target.name, found=found.value)
        if found is not TargetCheck.ENDED or target.draining:
            return
        now = asyncio.get_running_loop().time()
        for run in runs:
            self._quarantine.crashed(target_id(target.name), run, now)

    # Other gates.

    def receive(self, notices: bytes) -> None:
        """Take what another gate tells."""
        now = asyncio.get_running_loop().time()
        self._quarantine.receive(parse_notices(notices), now)

    async def run(self) -> None:
        """Judge and tell other gates, round after round, until cancelled."""
        while True:
            await asyncio.sleep(NOTICE_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for change in self._quarantine.judge(now):
                logger.info(
                    "quarantine",
                    change=change.change,
                    fingerprint=fingerprint_text(change.fingerprint),
                    source=change.source,
                    ends=change.ends,
                    tries=change.tries,
                )
            self._metrics.quarantined.set(len(self._quarantine.holds))
            await self._send_notices(
                serialize_notices(self._quarantine.notices(now)), now
            )

    async def _send_notices(self, notices: bytes, now: float) -> None:
        """Tell some gates at once; one that is not reached is told by others."""
        if not notices:
            return
        relays = sorted(n.heartbeat.relay for n in self._peer_gates.usable(now))
        chosen = self._rng.sample(relays, min(NOTICE_FANOUT, len(relays)))
        await asyncio.gather(*(self._send_to_gate(relay, notices) for relay in chosen))

    async def _send_to_gate(self, relay: str, notices: bytes) -> None:
        url = f"http://{relay}{NOTICES_PATH}"
        try:
            async with self._session.post(url, data=notices) as answer:
                await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            logger.info("gate not told", relay=relay, error=repr(e))


async def _check_target(target: Target) -> TargetCheck:
    """Find out by a new connection whether a target still serves."""
    address = parse_address(target.address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return TargetCheck.ENDED
    except (OSError, TimeoutError):
        return TargetCheck.SILENT
    writer.close()
    return TargetCheck.SERVES
