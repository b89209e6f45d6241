# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Opens connections to targets, directly or through a peer.

A direct attempt that fails is judged by a peer: if it reaches the target, only this
entry's link is lost, and its stream is used; if it does not, the target has failed.
Links that are known to be lost are not tried by requests, but by probes.

Owns the checks in progress and the attempts that wait; lost with the process. Relies on
`LinkTable` for the links and on `RelayClient` for the peers.
"""

import asyncio
from collections.abc import Callable

from leverdoor.entry.links.link_table import LinkTable
from leverdoor.entry.links.relay_client import NoRelay, RelayClient, TargetUnreached
from leverdoor.entry.links.verifying import LinkVerifier
from leverdoor.entry.membership.member import Member
from leverdoor.entry.requests.connection import (
    RequestNotSent,
    TargetConnection,
    open_connection,
)
from leverdoor.entry.requests.replies import TargetReply
from leverdoor.entry.requests.reply_resources import ReplyResources
from leverdoor.model.resources import Target
from leverdoor.settings import parse_address

__all__ = ["Connector", "any_region"]

CONNECT_TIMEOUT_S = 0.4
"""Connect timeout within the region, in seconds.

Tolerates the retransmission of one lost packet (0.2 s) and detects a dead target
before 0.5 s.
"""
REMOTE_CONNECT_TIMEOUT_S = 0.8
"""Connect timeout to other regions, in seconds.

The round trip to another region takes up to 0.11 s. A greater value delays the retry of
a request whose target is dead. With a smaller one, a packet lost between regions makes
a target appear dead.
"""


def any_region(region: str) -> bool:
    """Let a connection pass through any region."""
    return True


class Connector:
    """Opens connections to targets."""

    def __init__(
        self,
        region: str,
        on_reply: Callable[[Target, TargetReply], None],
        on_connect: Callable[[str, str], None],
        links: LinkTable | None = None,
        relays: RelayClient | None = None,
        verifier: LinkVerifier | None = None,
        on_link_change: Callable[[Target], None] = lambda target: None,
        resources: ReplyResources | None = None,
    ) -> None:
        """Create the connector.

        Args:
          region: the region of this entry.
          on_reply: called with each complete reply when it arrives.
          on_connect: called with the service and the result of each attempt to open a
            connection: "opened", "refused", "timeout", or "relayed".
          links: the links to targets; a table of its own if omitted.
          relays: opens streams through peers; None if there are no peers.
          verifier: tells a failed target from a lost link if no peer can; None to take
            all for lost links then.
          on_link_change: called with each target whose link was found lost, or works
            again; what this entry noted of the target's health is then void.
          resources: what the connections to all targets share.
        """
        self._resources = resources or ReplyResources()
        self.links = links or LinkTable()
        self._region = region
        self._on_reply = on_reply
        self._on_connect = on_connect
        self._relays = relays
        self._verifier = verifier
        self._on_link_change = on_link_change
        self._waiting: dict[asyncio.Task[TargetConnection], Target] = {}
        """Direct attempts in progress of requests, and their targets."""
        self._checks: dict[str, asyncio.Task[None]] = {}
        """By target, the check of a link in progress."""
        self.links.on_lost.append(self._cancel_lost_attempts)
        self.opened = 0
        """Number of attempts to open a direct connection so far."""

    async def open(
        self, target: Target, priority: int, may_pass: Callable[[str], bool]
    ) -> TargetConnection:
        """Open a connection to a target.

        Args:
          target: the target.
          priority: priority of the request to be sent; 0 is the most urgent.
          may_pass: returns whether the request may pass through a region.
        Raises:
          RequestNotSent: no connection could be opened.
        """
        if not self.links.must_relay(target):
            return await self._open_direct_first(target, priority, may_pass)
        try:
            return await self._open_relayed(target, priority, may_pass)
        except NoRelay as e:
            if not self.links.may_connect(target):
                raise RequestNotSent(f"no path: {e}", link_lost=True) from None
        except TargetUnreached as e:
            self.links.record_down(target)
            raise RequestNotSent(str(e), e.refused) from None
        return await self._open_direct(target)

    async def _open_direct_first(
        self, target: Target, priority: int, may_pass: Callable[[str], bool]
    ) -> TargetConnection:
        """Try a direct connection; if it fails, let a peer judge and carry it."""
        attempt = asyncio.ensure_future(self._open_direct(target))
        self._waiting[attempt] = target
        try:
            return await attempt
        except RequestNotSent as e:
            failure = e
            if not e.connection_refused and self._reaches_group(target):
                # The target is likely down; its link is checked without the request.
                self.check(target)
                raise
        except asyncio.CancelledError:
            if _is_cancelling():
                attempt.cancel()
                raise
            # Others found meanwhile that the link is lost.
            failure = RequestNotSent("the link is lost")
        finally:
            self._waiting.pop(attempt, None)
        return await self._judge(target, failure, priority, may_pass)

    def _reaches_group(self, target: Target) -> bool:
        """Return whether other links of the target's group worked meanwhile."""
        now = asyncio.get_running_loop().time()
        return self.links.group_has_been_alive(target, now - CONNECT_TIMEOUT_S)

    async def _judge(
        self,
        target: Target,
        failure: RequestNotSent,
        priority: int,
        may_pass: Callable[[str], bool],
    ) -> TargetConnection:
        """Return a stream to a target that could not be reached directly.

        Raises:
          RequestNotSent: the target has failed, or no peer can tell.
        """
        if self._relays is None or not self._relays.selector.has_peers():
            raise failure
        try:
            connection = await self._open_relayed(target, priority, may_pass)
        except TargetUnreached as e:
            self.links.record_down(target)
            raise RequestNotSent(f"{failure}; {e}", e.refused) from None
        except NoRelay as e:
            if await self._is_down(target, failure.connection_refused):
                self.links.record_down(target)
                reason = f"{failure}; {e}"
                raise RequestNotSent(reason, failure.connection_refused) from None
            self._record_lost(target, not failure.connection_refused)
            raise RequestNotSent(f"{failure}; {e}", link_lost=True) from None
        self._record_lost(target, not failure.connection_refused)
        self._on_link_change(target)
        return connection

    async def _is_down(self, target: Target, refused: bool) -> bool:
        """Return whether a target that no peer judged is the likely cause."""
        if self._verifier is None:
            return False
        since = asyncio.get_running_loop().time()
        return await self._verifier.reaches_others(target, refused=refused, since=since)

    def _record_lost(self, target: Target, hangs: bool) -> None:
        now = asyncio.get_running_loop().time()
        self.links.record_lost(target, hangs, now)

    def _cancel_lost_attempts(self) -> None:
        """Let no request wait for a connection over a link that is known to be lost."""
        for attempt, other in list(self._waiting.items()):
            if self.links.must_relay(other):
                attempt.cancel()

    async def _open_direct(self, target: Target) -> TargetConnection:
        """Open a direct connection; other regions have a longer connect timeout.

        Raises:
          RequestNotSent: the connection could not be opened within the timeout.
        """
        address = parse_address(target.address)
        same_region = target.region == self._region
        timeout_s = CONNECT_TIMEOUT_S if same_region else REMOTE_CONNECT_TIMEOUT_S
        self.opened += 1
        try:
            connection = await open_connection(
                address.host,
                address.port,
                timeout_s,
                lambda reply: self._handle_direct_reply(target, reply),
                self._resources,
            )
        except RequestNotSent as e:
            result = "refused" if e.connection_refused else "timeout"
            self._on_connect(target.service, result)
            raise
        self._on_connect(target.service, "opened")
        self._record_alive(target, opened=True)
        return connection

    def _handle_direct_reply(self, target: Target, reply: TargetReply) -> None:
        self._record_alive(target, opened=False)
        self._on_reply(target, reply)

    def _record_alive(self, target: Target, *, opened: bool) -> None:
        now = asyncio.get_running_loop().time()
        if self.links.record_alive(target, now, opened=opened):
            self._on_link_change(target)

    async def _open_relayed(
        self, target: Target, priority: int, may_pass: Callable[[str], bool]
    ) -> TargetConnection:
        """Open a stream through a peer.

        Raises:
          NoRelay: no peer accepted.
          TargetUnreached: a peer with links does not reach the target.
        """
        if self._relays is None:
            raise NoRelay("no peer is known")

        def create_protocol(peer: Member) -> TargetConnection:
            return TargetConnection(
                lambda reply: self._on_reply(target, reply),
                peer.name,
                peer.region,
                self._resources,
            )

        connection = await self._relays.open(
            target, priority, may_pass, create_protocol
        )
        self._on_connect(target.service, "relayed")
        return connection

    def may_reuse(
        self,
        connection: TargetConnection,
        target: Target,
        may_pass: Callable[[str], bool],
    ) -> bool:
        """Return whether an idle connection to a target may carry a request."""
        if not connection.via:
            return self.links.trusts_kept_connections(target)
        return (
            self._relays is not None
            and self.links.must_relay(target)
            and self._relays.selector.keeps_streams(connection.via)
            and may_pass(connection.via_region)
        )

    def check(self, target: Target) -> None:
        """Check in the background the link of a kept connection that failed."""
        if target.name in self._checks or self.links.is_lost(target):
            return
        task = asyncio.ensure_future(self._check(target))
        self._checks[target.name] = task
        task.add_done_callback(lambda _: self._checks.pop(target.name, None))

    async def _check(self, target: Target) -> None:
        connection = await self.probe_link(target)
        if connection is not None:
            connection.close()

    async def probe_link(self, target: Target) -> TargetConnection | None:
        """Try a direct connection to a target whose link is lost or in doubt.

        Returns: the connection; None if it could not be opened.
        """
        try:
            return await self._open_direct(target)
        except RequestNotSent as e:
            failure = e
        if self.links.must_relay(target):
            now = asyncio.get_running_loop().time()
            self.links.record_lost(target, not failure.connection_refused, now)
            return None
        try:
            return await self._judge(target, failure, 0, any_region)
        except RequestNotSent:
            return None

    def close(self) -> None:
        """Cancel the checks in progress."""
        for task in list(self._checks.values()):
            task.cancel()


def _is_cancelling() -> bool:
    """Return whether the current task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
