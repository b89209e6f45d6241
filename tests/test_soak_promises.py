# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The checks of a soak find what they are for, and nothing else."""

import pytest

from leverdoor.standins.soak.promises import breaches
from leverdoor.standins.soak.record import (
    Attempt,
    Leave,
    NamedLimit,
    Probe,
    Record,
    RecordedRun,
)
from leverdoor.standins.soak.run import LEAVE_S, note_leaves


def attempt(request_id: str = "r", **more: object) -> Attempt:
    fields: dict[str, object] = {
        "entry": "n",
        "path": "/file/x",
        "once": True,
        "digest": "d",
        "deadline_ms": 5000,
        "sent_at": 1.0,
        "ended_at": 2.0,
        "status": 200,
        "own": True,
        "stamped": True,
        "workspace": "free",
    }
    return Attempt(request_id=request_id, **(fields | more))  # type: ignore[arg-type]


def run(request_id: str = "r", **more: object) -> RecordedRun:
    fields: dict[str, object] = {
        "target": "t",
        "service": "file",
        "path": "/file/x",
        "digest": "d",
        "deadline_ms": 2000,
        "at": 1.5,
        "region": "b",
        "workspace": "free",
    }
    return RecordedRun(request_id=request_id, **(fields | more))  # type: ignore[arg-type]


def test_what_went_well_breaks_nothing() -> None:
    record = Record(
        attempts=[attempt(), attempt("s", status=503, own=False, stamped=False)],
        runs=[run()],
        leaves=[Leave("t", 1.6)],
        probes=[Probe("n", 1, 1, 0.0, 0.1), Probe("n", 1, 2, 0.2, 0.3)],
        stops=[("n", 1.0, 3.0)],
    )
    assert breaches(record) == []


@pytest.mark.parametrize(
    ("word", "record"),
    [
        ("UNASKED", Record(attempts=[attempt()], runs=[run(keyed=True)])),
        ("UNASKED", Record(attempts=[attempt()], runs=[run(workspace="small")])),
        (
            "HOME",
            Record(
                attempts=[attempt(workspace="homed")],
                runs=[run(workspace="homed", region="b")],
            ),
        ),
        (
            "QUOTA",
            Record(
                attempts=[attempt(f"r{i}", workspace="small") for i in range(90)],
                runs=[run(f"r{i}", workspace="small") for i in range(90)],
            ),
        ),
        ("MIXED", Record(attempts=[attempt(own=False)], runs=[run()])),
        ("MIXED", Record(attempts=[attempt()])),
        ("MIXED", Record(attempts=[attempt(status=502)], runs=[run()])),
        (
            "REFUSED",
            Record(attempts=[attempt(status=503, stamped=False)], runs=[run()]),
        ),
        ("UNASKED", Record(runs=[run()])),
        ("UNASKED", Record(attempts=[attempt()], runs=[run(digest="other")])),
        ("BUDGET", Record(attempts=[attempt()], runs=[run(deadline_ms=6000)])),
        ("ROUTE", Record(attempts=[attempt()], runs=[run(service="look")])),
        ("TWICE", Record(attempts=[attempt()], runs=[run(), run(target="u")])),
        (
            "BUDGET",
            Record(attempts=[attempt(once=False)], runs=[run(), run(), run()]),
        ),
        (
            "DRAIN",
            Record(attempts=[attempt()], runs=[run()], leaves=[Leave("t", 1.4)]),
        ),
        (
            "CONFIG",
            Record(probes=[Probe("n", 1, 2, 0.0, 0.1), Probe("n", 1, 1, 0.2, 0.3)]),
        ),
        (
            "LOST",
            Record(
                attempts=[attempt(status=0, stamped=False)],
                runs=[run()],
                stops=[("n", 1.2, 3.0)],
            ),
        ),
    ],
)
def test_what_went_wrong_is_told(word: str, record: Record) -> None:
    found = breaches(record)
    assert len(found) == 1
    assert found[0].startswith(word)


def test_what_is_no_breach() -> None:
    """Another life may know less; probes that overlap have no order; crossing cuts."""
    probes = [Probe("n", 1, 2, 0.0, 0.1), Probe("n", 2, 1, 0.2, 0.3)]
    assert breaches(Record(probes=probes)) == []
    probes = [Probe("n", 1, 2, 0.0, 0.3), Probe("n", 1, 1, 0.2, 0.4)]
    assert breaches(Record(probes=probes)) == []
    cut = attempt(status=0, stamped=False)
    stops = [("n", 1.2, 3.0)]
    assert breaches(Record(attempts=[cut], stops=stops)) == []
    struck = [("n", 0.0, 0.5)]
    record = Record(attempts=[cut], runs=[run()], stops=stops, unplanned=struck)
    assert breaches(record) == []


def test_a_target_that_just_left_may_be_used_up_to_the_bound_on_leaving() -> None:
    """Seed 211636890: its registration went six seconds after an outage and the site
    was well 0.3 s later, while the entries held it as expired for 1.9 s."""
    leaves = note_leaves({"late": 10.0, "early": 1.0}, settled_at=10.3)
    assert leaves == [Leave("late", 10.0 + LEAVE_S), Leave("early", 10.3)]


def limited(count: int, since: float, **more: object) -> Record:
    """A limit of 3.5 a second, named at 0, and so many requests in 4 s."""
    runs = [run(f"r{i}", target="t", at=since + i * 4.0 / count) for i in range(count)]
    attempts = [attempt(f"r{i}") for i in range(count)]
    named = [NamedLimit("t", 0.0, 3.5)]
    return Record(attempts=attempts, runs=runs, limits=named, **more)  # type: ignore[arg-type]


def limit_lines(record: Record) -> list[str]:
    return [line for line in breaches(record) if line.startswith("LIMIT")]


def test_more_than_a_target_named_is_found() -> None:
    """26 are allowed in any 4 s from 4 s after it was named."""
    assert limit_lines(limited(26, 4.2)) == []
    assert limit_lines(limited(28, 4.2)) == ["LIMIT t: 28 in a window, 26 allowed"]
    assert limit_lines(limited(60, 0.0)) == []
    disturbed = [("n", 3.9, 9.0)]
    assert limit_lines(limited(40, 4.2, unplanned=disturbed)) == []


def test_a_limit_that_fell_or_ended_is_found_from_when_it_is_known() -> None:
    record = limited(28, 10.2)
    record.limits.append(NamedLimit("t", 9.0, None))
    assert limit_lines(record) == []
    record = limited(20, 14.2)
    record.limits.append(NamedLimit("t", 9.0, 1.0))
    assert limit_lines(record) == ["LIMIT t: 20 in a window, 11 allowed"]


def test_departures_that_the_store_lost_count_from_when_they_are_written_again() -> (
    None
):
    (leave,) = note_leaves({"t": 1.0}, settled_at=10.0, written_again_at=9.0)
    assert leave.at == 9.0 + LEAVE_S


def fatal_record(cut_until: float) -> Record:
    """Three crashes before an entry loses its links at 4.0, and four afterwards."""
    times = [1.0, 1.1, 1.2, 9.0, 9.1, 9.2, 9.3]
    names = [f"f-{i}" for i in range(len(times))]
    return Record(
        attempts=[
            attempt(name, path="/look/fatal-0", once=False, status=502, own=False)
            for name in names
        ],
        runs=[
            run(name, path="/look/fatal-0", service="look", target=name, at=at)
            for name, at in zip(names, times, strict=True)
        ],
        fatal=["/look/fatal-0"],
        links_cut=[("n", 4.0, cut_until)],
    )


def fatal_breaches(record: Record) -> list[str]:
    return [line for line in breaches(record) if "more" in line]


def test_a_fatal_request_is_sent_on_by_entries_that_cannot_tell_a_crash() -> None:
    assert fatal_breaches(fatal_record(cut_until=6.0)) == []


def test_a_fatal_request_is_held_back_by_entries_that_have_links_again() -> None:
    [line] = fatal_breaches(fatal_record(cut_until=4.5))
    assert line == "BUDGET /look/fatal-0: sent 4 times more, 7 ended"


def test_crashes_that_no_entry_could_tell_do_not_count_as_known() -> None:
    record = fatal_record(cut_until=6.0)
    record.links_cut = [("n", 0.5, 1.15)]
    assert fatal_breaches(record) == []


def unanswered(count: int = 4, **more: object) -> Record:
    lost = {"status": 0, "own": False, "stamped": False}
    attempts = [attempt(f"r{n}", **lost) for n in range(count)]
    return Record(attempts=attempts, **more)  # type: ignore[arg-type]


def test_requests_without_an_answer_at_an_undisturbed_entry_are_found() -> None:
    assert breaches(unanswered()) == ["LOST 4 requests without an answer at n"]
    elsewhere = [("m", 1.0, 3.0)]
    assert breaches(unanswered(unplanned=elsewhere, ways_refused=[("n", 1.0)]))


def test_requests_that_an_entry_could_not_answer_are_no_breach() -> None:
    assert breaches(unanswered(3)) == []
    assert breaches(unanswered(unplanned=[("n", 1.0, 1.9)])) == []
    assert breaches(unanswered(stops=[("n", 1.5, 2.5)])) == []
    assert breaches(unanswered(ways_refused=[("n", 1.9)])) == []
