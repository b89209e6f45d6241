# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Quarantines requests that crash targets, and gossips about them with other gates.

Each round a gate evaluates the crashes it knows and sends notices to a few other gates,
which pass on those new to them. All gates learn of a notice within a few rounds, and
the traffic per gate does not grow with the number of gates.

Owns the gate's quarantine and the running target checks. Both are lost when the process
ends; the other gates repeat the notices of their quarantines. Relies on `PeerGates` for
the usable gates and on their relay addresses.
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
from leverdoor.quarantine.crash_checker import CrashChecker, TargetCheckResult
from leverdoor.quarantine.crashes import LostRun
from leverdoor.quarantine.fingerprint import fingerprint_text
from leverdoor.quarantine.notices import parse_notices, serialize_notices
from leverdoor.quarantine.quarantine import Quarantine
from leverdoor.quarantine.refusal import quarantine_refusal
from leverdoor.quarantine.trial_owner import is_trial_owner
from leverdoor.sessions import MAX_REPORT_BYTES, new_session, read_body
from leverdoor.settings import parse_address

__all__ = ["NOTICES_PATH", "GateQuarantine"]

NOTICES_PATH = "/v1/internal/notices"
"""Path for notices between gates, served at the relay address."""
NOTICE_INTERVAL_S = 0.2
"""Interval between gossip rounds, in seconds: the heartbeat interval."""
NOTICE_FANOUT = 8
"""Number of gates that receive notices in one round.

A gate sends each notice in three rounds, after which all of 195 gates have it. With a
smaller fanout some gates receive it later; a greater one costs more connections.
"""
NOTICE_TIMEOUT_S = 1.0
"""Timeout for sending notices to one gate, in seconds; another round follows."""


class GateQuarantine:
    """The quarantine of one gate."""

    def __init__(
        self, vm: str, peer_gates: PeerGates, metrics: GateMetrics, rng: Random
    ) -> None:
        """Create a quarantine; must be called on the event loop.

        Args:
          vm: this gate's VM.
          peer_gates: the other gates.
          metrics: exports the number of quarantined requests.
          rng: selects the gates that receive notices.
        """
        self._vm = vm
        self._peer_gates = peer_gates
        self._metrics = metrics
        self._rng = rng
        self._quarantine = Quarantine()
        self._target_checks = CrashChecker(_check_target, self._record_check)
        self._session = new_session(NOTICE_TIMEOUT_S)

    async def close(self) -> None:
        """Close the connections to other gates."""
        await self._session.close()

    # Requests.

    def check(self, fingerprint: int) -> None:
        """Refuse a quarantined request unless this gate may run it as a trial.

        `is_trial_owner` selects the one gate that runs the trials of a fingerprint.
        Fingerprint 0 is never quarantined.

        Raises:
          Refusal: the request is quarantined.
        """
        now = asyncio.get_running_loop().time()
        hold = self._quarantine.active_hold(fingerprint, now)
        if hold is None:
            return
        is_tester = is_trial_owner(self._vm, self._peer_gates.vms(), fingerprint)
        if not is_tester or not self._quarantine.start_trial(hold, now):
            raise quarantine_refusal(hold, now)
        logger.info("quarantine try", fingerprint=fingerprint_text(fingerprint))

    def may_retry(self, fingerprint: int) -> bool:
        """Return whether a request may be sent to another target after a failure."""
        now = asyncio.get_running_loop().time()
        return not fingerprint or self._quarantine.may_retry(fingerprint, now)

    def lost(self, target: Target, fingerprint: int, began: float) -> None:
        """Record a lost response and check whether the target's process has ended."""
        if fingerprint:
            now = asyncio.get_running_loop().time()
            self._target_checks.check(target, LostRun(fingerprint, began, now))

    def answered(self, fingerprint: int) -> None:
        """Record a complete response: the request did not crash the target."""
        if fingerprint:
            now = asyncio.get_running_loop().time()
            self._quarantine.answered(fingerprint, now)

    def _record_check(
        self,
        target: Target,
        found: TargetCheckResult,
        runs: list[LostRun],
        took_s: float,
    ) -> None:
        """Record the runs lost in a crash; ignore the end of a draining target."""
        logger.info("target checked", target=target.name, found=found.value)
        if found is not TargetCheckResult.ENDED or target.draining:
            return
        now = asyncio.get_running_loop().time()
        for run in runs:
            self._quarantine.record_crash(target_id(target.name), run, now)

    # Gossip with other gates.

    def receive(self, notices: bytes) -> None:
        """Process the notices of another gate."""
        now = asyncio.get_running_loop().time()
        self._quarantine.receive(parse_notices(notices), now)

    async def run(self) -> None:
        """Evaluate crashes and send notices periodically, until cancelled."""
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
        """Send notices to random gates; an unreachable gate gets them from others."""
        if not notices:
            return
        relays = sorted(n.heartbeat.relay for n in self._peer_gates.usable(now))
        chosen = self._rng.sample(relays, min(NOTICE_FANOUT, len(relays)))
        await asyncio.gather(*(self._send_to_gate(relay, notices) for relay in chosen))

    async def _send_to_gate(self, relay: str, notices: bytes) -> None:
        url = f"http://{relay}{NOTICES_PATH}"
        try:
            async with self._session.post(url, data=notices) as answer:
                await read_body(answer, MAX_REPORT_BYTES)
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            logger.info("gate not told", relay=relay, error=repr(e))


async def _check_target(target: Target) -> TargetCheckResult:
    """Check whether a target still accepts connections."""
    address = parse_address(target.address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return TargetCheckResult.ENDED
    except (OSError, TimeoutError):
        return TargetCheckResult.SILENT
    writer.close()
    return TargetCheckResult.SERVES
