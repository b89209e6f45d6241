# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Reduced idle timeouts for services whose targets silently drop idle connections.

A target, or a middlebox in front of it, may drop an idle connection without closing it
and reset it when the next request is sent. A request that must not run twice then
fails, because nothing confirms that it did not run. When such a reset is detected, only
recently used connections are reused for some time, for all targets of the service.

Owns the services with a reduced idle timeout; lost with the process. Performs no I/O.
"""

__all__ = ["IdleTimeouts"]

RESET_WITHIN_S = 0.15
"""Time after sending within which a reset indicates a dropped connection, in seconds.

Greater than the round trip between regions (0.11 s), so that the reset arrives in time.
A target that fails while it runs a request usually takes longer. With a greater value,
such failures are mistaken for dropped connections, and new connections are opened. With
a smaller one, dropped connections to other regions go undetected.
"""
REDUCED_IDLE_S = 0.15
"""Reduced idle timeout, in seconds.

Successive requests still share a connection. With a greater value, more requests use a
dropped connection. With a smaller one, nearly every request opens a connection.
"""
REDUCTION_DURATION_S = 8.0
"""Duration of the reduction after the last lost reply, in seconds.

The usual duration of such a fault. A greater value opens connections unnecessarily.
With a smaller one, the fault is detected repeatedly, each time by losing a request.
"""


class IdleTimeouts:
    """The greatest idle time of reusable connections, by service."""

    def __init__(self) -> None:
        """Initialize without any reduced idle timeout."""
        self._reduced_until: dict[str, float] = {}

    def max_idle_s(self, service: str, now: float) -> float:
        """Return the idle time up to which a connection may be reused.

        Args:
          service: the service of the target.
          now: loop time in seconds.
        Returns: the idle time in seconds; infinite unless it is reduced.
        """
        if now < self._reduced_until.get(service, 0.0):
            return REDUCED_IDLE_S
        return float("inf")

    def record_lost_reply(
        self, service: str, idle_s: float, took_s: float, now: float
    ) -> bool:
        """Record a lost reply.

        The idle timeout of the service is reduced if the connection had been idle and
        was reset promptly.

        Args:
          service: the service of the target.
          idle_s: how long the connection was idle before the request, in seconds.
          took_s: time from sending the request to losing its reply, in seconds.
          now: loop time in seconds.
        Returns: whether this call starts a reduction of the service's idle timeout.
        """
        if idle_s < REDUCED_IDLE_S or took_s > RESET_WITHIN_S:
            return False
        was_reduced = now < self._reduced_until.get(service, 0.0)
        self._reduced_until[service] = now + REDUCTION_DURATION_S
        return not was_reduced
