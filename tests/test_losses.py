# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Where requests were lost, told from log lines alone."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from leverdoor.analysis.log_lines import parse_log
from leverdoor.analysis.losses import Cause, Kind, Loss, find_losses, summarize
from leverdoor.analysis.plots import plot_losses
from leverdoor.cli import main
from leverdoor.errors import Code, LeverdoorError

START = {"event": "process", "change": "start", "region": "a", "domain": "a1"}


def line(at: float, event: str, **fields: object) -> str:
    return json.dumps({"t": at, "event": event, "entry": "n1"} | fields)


def attempt(at: float, name: str, took_ms: int, **fields: object) -> str:
    given: dict[str, object] = {
        "request_id": name,
        "route": "r",
        "service": "s",
        "region": "a",
        "load": 0.0,
        "slots": 4,
        "cold_share": 0.0,
        "took_ms": took_ms,
        "latency_target_ms": 250,
        "outcome": "200",
    }
    return line(at, "attempt", **(given | fields))


def warm_runs() -> list[str]:
    """Runs whose times show what warm and cold ones take: 108 and 360 ms."""
    times = [108 if i % 3 else 360 for i in range(90)]
    return [attempt(2.0, f"w{i}", took) for i, took in enumerate(times)]


def one_loss(*lines: str) -> tuple[Kind, Cause]:
    start = line(1.0, **START)  # type: ignore[arg-type]
    report = find_losses(parse_log([start, *warm_runs(), *lines]))
    found = [x for x in report.losses if x.request_id == "q"]
    assert len(found) == 1
    assert (found[0].region, found[0].domain) == ("a", "a1")
    return found[0].kind, found[0].cause


@pytest.mark.parametrize(
    ("lines", "kind", "cause"),
    [
        ([attempt(9.0, "q", 380)], Kind.LATE, Cause.COLD_RUN),
        ([attempt(9.0, "q", 300, load=5.2)], Kind.LATE, Cause.WAITED),
        ([attempt(9.0, "q", 380, region="b", load=5.0)], Kind.LATE, Cause.WAITED),
        ([attempt(9.0, "q", 380, region="b")], Kind.LATE, Cause.COLD_RUN),
        (
            [
                attempt(8.0, "q", 200, outcome="CONNECT_FAILED"),
                attempt(8.2, "q", 110),
            ],
            Kind.LATE,
            Cause.REPEATED,
        ),
        ([attempt(9.0, "q", 90, outcome="500")], Kind.FAILED, Cause.TARGET_FAILED),
        (
            [line(9.0, "refused", request_id="q", service="s", code=3002)],
            Kind.REFUSED,
            Cause.NO_ROOM,
        ),
        (
            [
                attempt(9.0, "q", 9, outcome="TARGET_REFUSED"),
                line(9.0, "refused", request_id="q", service="s", code=3016),
            ],
            Kind.REFUSED,
            Cause.SHED,
        ),
        (
            [line(9.0, "refused", request_id="q", code=3103)],
            Kind.FAILED,
            Cause.TIME_OVER,
        ),
        (
            [line(9.0, "refused", request_id="q", code=2003)],
            Kind.REFUSED,
            Cause.STARTING,
        ),
        (
            [
                line(5.0, "store", change="lost"),
                line(9.0, "refused", request_id="q", code=2003),
            ],
            Kind.REFUSED,
            Cause.STORE_AWAY,
        ),
        (
            [line(9.0, "refused", request_id="q", code=99_999)],
            Kind.REFUSED,
            Cause.NOT_ROUTED,
        ),
        ([line(9.0, "client_left", request_id="q")], Kind.LEFT, Cause.CLIENT_LEFT),
    ],
)
def test_each_loss_has_one_cause(lines: list[str], kind: Kind, cause: Cause) -> None:
    assert one_loss(*lines) == (kind, cause)


def test_a_run_is_cold_by_its_time_whatever_was_believed() -> None:
    runs = warm_runs()
    report = find_losses(parse_log([line(1.0, **START), *runs]))  # type: ignore[arg-type]
    assert report.runs == 90
    assert report.believed_warm_ran_cold == 30
    assert report.believed_cold_ran_warm == 0
    assert {x.cause for x in report.losses} == {Cause.COLD_RUN}


def test_what_the_logs_left_out_and_what_was_not_read_is_said() -> None:
    lines = [*warm_runs(), attempt(9.0, "q", 100, left_out=7), "{broken", "words", ""]
    lines.append(line(9.0, "attempt", request_id="x"))
    report = find_losses(parse_log(lines))
    assert report.left_out == {"attempt": 7}
    assert len(report.bad) == 3
    assert any("attempt" in bad.why for bad in report.bad)


def test_logs_without_a_request_are_refused_with_a_code() -> None:
    with pytest.raises(LeverdoorError) as e:
        find_losses(parse_log(["no log at all"]))
    assert e.value.code is Code.MALFORMED
    assert "line 1" in e.value.detail


def test_losses_are_counted_by_the_fields_asked_for() -> None:
    some = [
        Loss(1.2, "1", "s", "a", "a1", Kind.LATE, Cause.COLD_RUN),
        Loss(1.9, "2", "s", "a", "a1", Kind.LATE, Cause.COLD_RUN),
        Loss(2.0, "3", "s", "a", "a1", Kind.REFUSED, Cause.NO_ROOM),
    ]
    assert summarize(some, ("second", "cause")) == [
        {"second": 1, "cause": Cause.COLD_RUN, "requests": 2},
        {"second": 2, "cause": Cause.NO_ROOM, "requests": 1},
    ]


def test_the_command_prints_a_table_json_and_a_plot(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text("\n".join([*warm_runs(), attempt(9.0, "q", 380)]))
    done = CliRunner().invoke(main, ["losses", str(log), "--by", "cause"])
    assert done.exit_code == 0
    assert done.stdout.splitlines()[1].split() == ["cold", "run", "31"]
    assert "31 of 91 requests were lost" in done.stderr
    picture = tmp_path / "plot.png"
    arguments = ["losses", "-o", "json", "--plot", str(picture), str(log)]
    done = CliRunner().invoke(main, arguments)
    assert done.exit_code == 0
    assert json.loads(done.stdout.splitlines()[0])["requests"] == 31
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_bad_input_ends_with_a_numbered_code(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text('{"schema": "another"}\n')
    done = CliRunner().invoke(main, ["losses", str(log)])
    assert done.exit_code == 10
    assert "error 1001 MALFORMED" in done.stderr
    log.write_text("\n".join(warm_runs()))
    bad_plot = ["losses", str(log), "--plot", str(tmp_path / "plot.nothing")]
    done = CliRunner().invoke(main, bad_plot)
    assert done.exit_code == 2
    assert "4001 BAD_SETTING" in done.stderr


def test_a_plot_of_nothing_is_empty(tmp_path: Path) -> None:
    plot_losses([], tmp_path / "empty.svg")
    assert (tmp_path / "empty.svg").exists()
