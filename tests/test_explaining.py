# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Failed requests of real runs are explained from their id and the logs alone."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from leverdoor.analysis.explaining import explain
from leverdoor.analysis.log_lines import parse_log
from leverdoor.cli import main
from leverdoor.standins.entry_process import Place
from leverdoor.standins.entry_site import EntrySite
from leverdoor.standins.upstreams import UpstreamStandin


@pytest.fixture
async def site() -> AsyncIterator[EntrySite]:
    target = UpstreamStandin("i-1", "look", "a1", slots=2, work_s=0.05)
    made = EntrySite(
        {"n1": Place("a1", "a")}, [target, UpstreamStandin("i-2", "file", "a1")]
    )
    try:
        await made.start()
        yield made
    finally:
        await made.stop()


def cause(site: EntrySite, request_id: str) -> str:
    """Ask the command line, as an engineer on call does."""
    logs = [str(e.log) for e in site.entries.values()]
    done = CliRunner().invoke(main, ["explain", request_id, *logs])
    assert done.exit_code == 0, done.output
    return done.stdout.splitlines()[-1]


async def test_a_refusal_for_want_of_room(site: EntrySite) -> None:
    n1 = site.entries["n1"]
    answers = await asyncio.gather(
        *(site.request(n1, "GET", "/look/x") for _ in range(60))
    )
    refused = next(a for a in answers if a.status == 503)
    said = cause(site, refused.request_id)
    assert said.startswith("cause: No target had room in time: look in a: i-1 ")


async def test_a_request_whose_time_was_over(site: EntrySite) -> None:
    site.targets["i-1"].work_s = 5.0
    deadline = {"X-Deadline-Ms": "300"}
    n1 = site.entries["n1"]
    answer = await site.request(n1, "GET", "/look/x", None, deadline)
    assert answer.status == 504
    said = cause(site, answer.request_id)
    assert said.startswith("cause: i-1 was still at work when the time was over")


async def test_an_answer_that_was_lost(site: EntrySite) -> None:
    site.targets["i-2"].work_s = 5.0
    n1 = site.entries["n1"]
    asked = asyncio.create_task(site.request(n1, "POST", "/file/x", b"x"))
    while not site.targets["i-2"].runs:
        await asyncio.sleep(0.005)
    await site.end_target("i-2")
    answer = await asked
    assert answer.status == 502
    said = cause(site, answer.request_id)
    assert said.startswith("cause: i-2 took it and its answer was lost")


async def test_an_unknown_route(site: EntrySite) -> None:
    n1 = site.entries["n1"]
    answer = await site.request(n1, "GET", "/nowhere")
    said = cause(site, answer.request_id)
    assert said == (
        "cause: Configuration 00000001 has no route for records.example /nowhere."
    )


def test_a_request_that_no_log_names(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text("not JSON\n{}\n{broken\n")
    done = CliRunner().invoke(main, ["explain", "1", str(log)])
    assert done.exit_code == 14
    assert explain("1", parse_log(["x"]).events) is None


RECORDED = """\
12.1 n1 {"t":1.0,"event":"target_ejected","entry":"n1","target":"i-1",\
"reason":"answer lost","ejected_s":0.5}
12.2 n1 {"t":1.2,"event":"store","entry":"n1","change":"lost","revision":9,\
"detail":"HTTP 503"}
12.9 n1 {"t":2.5,"event":"attempt_failed","entry":"n1","request_id":"r","route":"x",\
"service":"s","key":"k","version":"2","target":"i-1","region":"a","attempt":1,\
"reason":"share","load":3,"slots":2,"load_age_ms":90,"seen":true,"expected_ms":200,\
"took_ms":1400,"outcome":"ANSWER_LOST"}
12.9 n1 {"t":2.5,"event":"target_ejected","entry":"n1","target":"i-1",\
"reason":"answer lost","ejected_s":1.0}
12.9 n1 {"t":2.5,"event":"refused","entry":"n1","request_id":"r","code":3101,\
"name":"ANSWER_LOST","run":"maybe","detail":"closed","retry_after_ms":0,\
"version":"2","took_ms":1400}
"""


def test_the_way_and_the_beliefs_are_told_in_order() -> None:
    found = explain("r", parse_log(RECORDED.splitlines()).events)
    assert found is not None
    assert [line.split(" ")[0] for line in found.way] == ["+1400", "+1400"]
    assert "load 3/2 reported 90 ms before" in found.way[0]
    assert found.beliefs[0].startswith("0.1 s before: i-1 (asked) is ejected")
    assert "the store lost HTTP 503" in found.beliefs[1]
    assert found.cause.endswith("(closed); i-1 failed 2 requests then.")
