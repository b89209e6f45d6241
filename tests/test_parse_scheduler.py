# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Whose bytes are parsed in a turn of the event loop, and how many."""

import asyncio

from leverdoor.http.parse_scheduler import (
    HALF_LIFE_S,
    LIGHT_WORK,
    REQUEST_WORK,
    SLICE_WORK,
    TURN_WORK,
    ParseScheduler,
    RecentWork,
    holds_several,
)

NOW = 100.0


class Connection:
    """A connection with some slices to parse."""

    def __init__(self, scheduler: ParseScheduler, name: str, slices: int) -> None:
        self.recent_work = RecentWork(NOW)
        self.sends_ahead = False
        self.scheduler = scheduler
        self.name = name
        self.slices = slices
        self.log: list[str] = []

    def parse_slice(self) -> None:
        self.log.append(self.name)
        self.slices -= 1
        self.scheduler.count(self, SLICE_WORK, NOW)
        if self.slices:
            self.scheduler.wait(self, NOW)


def connections(scheduler: ParseScheduler, *slices: int) -> list[Connection]:
    log: list[str] = []
    made = [Connection(scheduler, str(i), n) for i, n in enumerate(slices)]
    for connection in made:
        connection.log = log
    return made


async def turn() -> None:
    """Let one turn of the event loop pass."""
    await asyncio.sleep(0)


async def test_a_turn_is_bounded_whatever_waits() -> None:
    scheduler = ParseScheduler()
    crowd = connections(scheduler, *[100] * 50)
    for connection in crowd:
        scheduler.wait(connection, NOW)
    await turn()
    assert len(crowd[0].log) == TURN_WORK // SLICE_WORK


async def test_a_light_connection_comes_before_a_crowd_that_waits() -> None:
    scheduler = ParseScheduler()
    *crowd, caller = connections(scheduler, *[100] * 50, 1)
    for connection in crowd:
        connection.recent_work.add(int(2 * LIGHT_WORK), NOW)
        scheduler.wait(connection, NOW)
    await turn()
    scheduler.wait(caller, NOW)
    await turn()
    done = caller.log
    assert done[TURN_WORK // SLICE_WORK] == caller.name


async def test_costly_connections_take_turns() -> None:
    scheduler = ParseScheduler()
    crowd = connections(scheduler, 3, 3, 3)
    for connection in crowd:
        connection.recent_work.add(int(2 * LIGHT_WORK), NOW)
        scheduler.wait(connection, NOW)
    await turn()
    assert crowd[0].log == ["0", "1", "2"] * 3


async def test_nothing_more_is_parsed_at_once_in_a_turn_that_is_used_up() -> None:
    scheduler = ParseScheduler()
    busy, caller = connections(scheduler, 1, 1)
    assert scheduler.may_parse(caller, NOW)
    scheduler.count(busy, TURN_WORK, NOW)
    assert not scheduler.may_parse(caller, NOW)
    await turn()
    assert scheduler.may_parse(caller, NOW)


async def test_a_single_request_does_not_wait_for_those_sent_ahead() -> None:
    """2,000 connections with 200 requests each came before it, two requests a slice."""
    scheduler = ParseScheduler()
    *crowd, caller = connections(scheduler, *[100] * 50, 1)
    for connection in crowd:
        connection.sends_ahead = True
        scheduler.wait(connection, NOW)
    scheduler.wait(caller, NOW)
    await turn()
    assert caller.log[0] == caller.name


async def test_requests_sent_ahead_go_by_recent_work() -> None:
    scheduler = ParseScheduler()
    crowd = connections(scheduler, *[1] * 4)
    for work, connection in enumerate(crowd):
        connection.sends_ahead = True
        connection.recent_work.add((4 - work) * 2 * REQUEST_WORK, NOW)
        scheduler.wait(connection, NOW)
    assert not scheduler.may_parse(crowd[0], NOW)
    await turn()
    assert crowd[0].log == ["3", "1", "2", "0"]


async def test_nobody_waits_for_ever_behind_callers_with_little_work() -> None:
    scheduler = ParseScheduler()
    *callers, uploader = connections(scheduler, *[1] * 50, 1)
    for caller in callers:
        scheduler.wait(caller, NOW)
    uploader.recent_work.add(int(2 * LIGHT_WORK), NOW)
    scheduler.wait(uploader, NOW)
    await turn()
    assert uploader.name in uploader.log


def test_received_bytes_may_hold_several_requests() -> None:
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    assert not holds_several(request)
    assert not holds_several(request[:-2])
    assert holds_several(2 * request)


def test_work_is_forgotten_with_time() -> None:
    work = RecentWork(NOW)
    work.add(1_000, NOW)
    assert work.at(NOW) == 1_000
    assert work.at(NOW + HALF_LIFE_S) == 500


async def test_an_error_of_one_connection_leaves_no_other_waiting() -> None:
    """Those that waited behind it were not parsed until other bytes arrived."""
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    scheduler = ParseScheduler()
    failing, other = connections(scheduler, 1, 1)

    def fail() -> None:
        raise ValueError("not expected")

    failing.parse_slice = fail  # type: ignore[method-assign]
    scheduler.wait(failing, NOW)
    scheduler.wait(other, NOW)
    for _ in range(3):
        await turn()
    assert other.log == [other.name]
