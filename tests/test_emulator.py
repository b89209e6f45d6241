# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""The emulator: experiments, targets, and what must hold in emulated runs."""

import json
import subprocess
import sys
from collections import Counter
from pathlib import Path
from random import Random

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from leverdoor.cli import main
from leverdoor.emulator.clock import EmulatedClock
from leverdoor.emulator.plan import (
    Experiment,
    LoadSpec,
    ServiceSpec,
    SiteSpec,
    TroubleKind,
    TroubleSpec,
    parse_experiment,
)
from leverdoor.emulator.play import play
from leverdoor.emulator.results import compare
from leverdoor.emulator.series import ABLATIONS, Vary, ablations, play_all, scaled
from leverdoor.emulator.targets import (
    EmulatedAnswer,
    EmulatedRun,
    EmulatedTarget,
    RunOutcome,
)
from leverdoor.entry.placement.tuning import PRODUCTION
from leverdoor.errors import Code, ConfigError
from leverdoor.model.resources import Target

SAMPLES = sorted((Path(__file__).parent.parent / "examples/experiments").glob("*.toml"))

SMALL = Experiment(
    name="small",
    site=SiteSpec(entries={"a": 2, "b": 2}),
    service=[
        ServiceSpec(name="s", targets={"a": 3, "b": 3}, slots=3, queue=6, keeps=20)
    ],
    load=[
        LoadSpec(
            name="r",
            service="s",
            rate=40.0,
            work_ms=200.0,
            target_latency_ms=250,
            deadline_ms=1000,
            keys=20,
        )
    ],
    seconds=6.0,
)

TOML = """
name = "t"
[site]
entries = { a = 1 }
[[service]]
name = "s"
targets = { a = 1 }
[[load]]
name = "r"
service = "s"
rate = 1.0
work_ms = 100.0
target_latency_ms = 100
deadline_ms = 1000
"""


def emulated(keeps: int = 2, slots: int = 1, queue: int = 1) -> EmulatedTarget:
    target = Target(
        name="t", service="s", region="a", domain="a1", address="h:1", slots=slots
    )
    service = ServiceSpec(
        name="s", targets={"a": 1}, slots=slots, queue=queue, keeps=keeps
    )
    return EmulatedTarget(target, service, EmulatedClock(), Random(1))


class Ends:
    """What became of the runs at a target, in order."""

    def __init__(self, target: EmulatedTarget) -> None:
        self.target = target
        self.outcomes: list[RunOutcome] = []
        self.times: list[float] = []

    def run(self, key: str, work_s: float = 1.0) -> None:
        def done(answer: EmulatedAnswer) -> None:
            self.outcomes.append(answer.outcome)
            self.times.append(self.target._clock.now)

        self.target.take(EmulatedRun(key, work_s, done))


def test_a_key_that_was_seen_lately_runs_warm() -> None:
    ends = Ends(emulated(keeps=2))
    for key in ("k", "k", "l", "m", "k"):
        ends.run(key)
        ends.target._clock.run(ends.target._clock.now + 2.0)
    took = [round(t % 2.0, 3) for t in ends.times]
    assert took == [1.0, 0.3, 1.0, 1.0, 1.0], "the third key pushed the first out"


def test_a_full_target_queues_and_then_sheds() -> None:
    ends = Ends(emulated(slots=1, queue=1))
    for key in "abc":
        ends.run(key)
    assert ends.outcomes == [RunOutcome.SHED]
    ends.target._clock.run(5.0)
    assert ends.outcomes == [RunOutcome.SHED, RunOutcome.ANSWERED, RunOutcome.ANSWERED]


def test_a_crash_loses_what_is_there_and_empties_the_cache() -> None:
    target = emulated(slots=1, queue=1)
    ends = Ends(target)
    ends.run("k")
    ends.run("k")
    target.crash()
    ends.run("k")
    assert ends.outcomes == [RunOutcome.LOST, RunOutcome.LOST, RunOutcome.UNREACHED]
    target.restart()
    ends.run("k")
    target._clock.run(1.5)
    assert ends.times[-1] == pytest.approx(1.0), "it runs cold"


def test_the_same_seed_gives_the_same_run() -> None:
    first, again, other = play(SMALL, 1), play(SMALL, 1), play(SMALL, 2)
    assert first.row() == again.row()
    assert first.row() != other.row()


def test_a_policy_does_not_reshuffle_the_load() -> None:
    changed = ablations(SMALL)["no second target for a key"]
    base, other = play(SMALL, 1), play(changed, 1)
    assert [owed for owed, _ in base.by_second] == [owed for owed, _ in other.by_second]


def test_every_request_ends_once() -> None:
    result = play(SMALL, 3)
    asked = sum(result.outcomes.values())
    assert result.owed == asked
    assert 0 < result.earned <= result.owed
    assert result.credit > 0.8


@pytest.mark.parametrize("name", sorted(ABLATIONS))
def test_each_ablation_can_be_played(name: str) -> None:
    short = msgspec.structs.replace(SMALL, seconds=1.0)
    assert play(ABLATIONS[name](short), 1).owed > 0


def test_exact_knowledge_is_shared_by_all_entries() -> None:
    known = msgspec.structs.replace(SMALL, knows_all=True)
    result = play(known, 1)
    assert result.credit > 0.8
    assert sum(result.outcomes.values()) == sum(play(SMALL, 1).outcomes.values())


def test_sizes_are_scaled() -> None:
    assert scaled(SMALL, Vary.ENTRIES, 2).site.entries == {"a": 4, "b": 4}
    assert scaled(SMALL, Vary.RATE, 0.5).load[0].rate == 20.0
    assert scaled(SMALL, Vary.KEYS, 2).load[0].keys == 40
    more = scaled(SMALL, Vary.TARGETS, 2)
    assert (more.service[0].targets["a"], more.load[0].rate) == (6, 80.0)


def test_results_come_in_the_order_of_the_jobs() -> None:
    short = msgspec.structs.replace(SMALL, seconds=1.0)
    jobs = [(short, seed) for seed in (1, 2, 3)]
    alone = [r.row() for r in play_all(jobs, 1)]
    assert [r.row() for r in play_all(jobs, 2)] == alone


def test_a_difference_is_certain_when_its_interval_leaves_zero_out() -> None:
    assert compare([0.5, 0.6, 0.7], [0.6, 0.7, 0.81]).certain
    assert not compare([0.5, 0.6, 0.7], [0.6, 0.5, 0.75]).certain
    assert not compare([0.5], [0.9]).certain


@pytest.mark.parametrize(
    ("text", "code", "names"),
    [
        ("name = ", Code.MALFORMED, ""),
        (TOML + "rats = 1\n", Code.UNKNOWN_FIELD, "rats"),
        (TOML.replace("rate = 1.0", "rate = -1.0"), Code.UNKNOWN_FIELD, "rate"),
        (TOML.replace('service = "s"', 'service = "z"'), Code.DANGLING_REFERENCE, "z"),
        (
            TOML.replace("targets = { a = 1 }", "targets = { b = 1 }"),
            Code.DANGLING_REFERENCE,
            "b",
        ),
        (
            TOML.replace("targets = { a = 1 }", "targets = { a = 0 }"),
            Code.CONTRADICTION,
            "no target",
        ),
    ],
)
def test_what_is_wrong_in_a_file_is_named(text: str, code: Code, names: str) -> None:
    with pytest.raises(ConfigError) as e:
        parse_experiment(text.encode())
    assert e.value.code is code
    assert names in e.value.detail


@pytest.mark.parametrize("sample", SAMPLES, ids=lambda p: p.stem)
def test_samples_are_well_formed_and_weigh_production(sample: Path) -> None:
    assert parse_experiment(sample.read_bytes()).tuning == PRODUCTION


def test_the_command_runs_compares_and_sweeps(tmp_path: Path) -> None:
    file = tmp_path / "e.toml"
    file.write_text(TOML.replace("[site]", "seconds = 3.0\n[site]"))
    runner = CliRunner()
    done = runner.invoke(main, ["experiment", "run", str(file), "-o", "json"])
    assert done.exit_code == 0, done.output
    rows = [json.loads(row) for row in done.stdout.splitlines()]
    assert [row["seed"] for row in rows] == ["1", "2", "3", "mean"]
    done = runner.invoke(main, ["experiment", "compare", str(file), str(file)])
    assert "+-0.0000" in done.stdout
    arguments = ["experiment", "sweep", str(file), "--vary", "rate", "--seeds", "1"]
    done = runner.invoke(main, arguments)
    assert len(done.stdout.splitlines()) == 4
    done = runner.invoke(main, ["experiment", "run", str(tmp_path / "none")])
    assert done.exit_code == 14
    assert "1005 NOT_FOUND" in done.stderr


TROUBLES = st.lists(
    st.builds(
        TroubleSpec,
        kind=st.sampled_from(TroubleKind),
        at=st.floats(0.0, 3.0),
        for_s=st.floats(0.1, 3.0),
        share=st.floats(0.1, 1.0),
        x=st.floats(0.0, 3.0),
    ),
    max_size=4,
)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(troubles=TROUBLES, seed=st.integers(0, 1_000), once=st.booleans())
def test_promises_hold_whatever_befalls_a_site(
    troubles: list[TroubleSpec], seed: int, once: bool
) -> None:
    """Requests end, nothing runs twice that may not, repeats stay in their budget."""
    work = "once" if once else "lookup"
    load = msgspec.structs.replace(SMALL.load[0], work=work, client_retries=0)
    one = msgspec.structs.replace(SMALL, load=[load], trouble=troubles, seconds=4.0)
    runs: Counter[int] = Counter()
    original = EmulatedTarget._start

    def start(self: EmulatedTarget, run: EmulatedRun) -> None:
        runs[id(run.done.__self__._work)] += 1  # type: ignore[attr-defined]
        kept.append(run)
        original(self, run)

    kept: list[EmulatedRun] = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(EmulatedTarget, "_start", start)
        result = play(one, seed)
    if once:
        assert max(runs.values(), default=0) <= 1
    entries = sum(one.site.entries.values())
    asked = len(runs) + result.refusals
    assert result.repeats <= one.site.repeat_ratio * asked + 4 * entries * 3
    assert 0 <= result.earned <= result.owed


def test_the_command_line_needs_no_optional_library() -> None:
    """Agents, gates and `make run` have only what requirements.txt names."""
    code = (
        "import leverdoor.cli, sys; print({'numpy', 'matplotlib'} & set(sys.modules))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout.strip() == "set()", done.stderr
