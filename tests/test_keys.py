# leverdoor: global traffic steering
# SPDX-License-Identifier: Apache-2.0
"""Tests of at-most-once keys under repeats, restarts and lost responses."""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from leverdoor.errors import Code, Refusal
from leverdoor.gate.idempotency_keys import (
    KEY_TTL_S,
    MAX_KEPT_BODY_BYTES,
    KeyRegistry,
    KeyState,
    Outcome,
    parse_key,
    serialize_key,
)


def registry(
    vm: str = "vm0", incarnation: int = 1, started: float = 0.0
) -> KeyRegistry:
    return KeyRegistry(vm, f"{vm}:1", incarnation, b"secret%d" % incarnation, started)


class KeyMachine(RuleBasedStateMachine):
    """Random sequences of issuing, using and expiring keys and of restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.registries = [registry("vm0"), registry("vm1")]
        self.keys: list[str] = []
        self.runs: dict[str, int] = {}
        self.reported_not_run: set[str] = set()

    @rule(seconds=st.sampled_from([1.0, KEY_TTL_S / 2, KEY_TTL_S * 2]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(i=st.integers(0, 1))
    def issue(self, i: int) -> None:
        nonce = len(self.keys).to_bytes(8, "big")
        self.keys.append(self.registries[i].issue(nonce, self.now))

    @rule(pick=st.integers(0, 9), end=st.sampled_from(["answer", "lost", "not run"]))
    def use(self, pick: int, end: str) -> None:
        if not self.keys:
            return
        text = self.keys[pick % len(self.keys)]
        key = parse_key(text)
        issuer = next((r for r in self.registries if r.issued_here(key)), None)
        if issuer is None:
            return
        try:
            state = issuer.begin(key, self.now)
        except Refusal as e:
            assert e.code is Code.KEY_EXPIRED
            return
        if state is not KeyState.NEW:
            return
        if end == "not run":
            issuer.discard_not_run(key)
            return
        self.runs[text] = self.runs.get(text, 0) + 1
        if end == "answer":
            issuer.finish(key, Outcome(200, [], b"done"))

    @rule(i=st.integers(0, 1))
    def restart(self, i: int) -> None:
        old = self.registries[i]
        self.registries[i] = registry(f"vm{i}", old.incarnation + 1, self.now)

    @invariant()
    def at_most_once(self) -> None:
        assert all(n <= 1 for n in self.runs.values())


def test_random_operations_run_each_key_at_most_once() -> None:
    run_state_machine_as_test(
        KeyMachine,
        settings=settings(
            max_examples=200,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_a_registry_that_discards_outcomes_runs_a_key_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        KeyRegistry,
        "finish",
        lambda registry, key, outcome: registry.discard_not_run(key),
    )
    machine = KeyMachine()
    machine.issue(0)
    machine.use(0, "answer")
    machine.use(0, "answer")
    with pytest.raises(AssertionError):
        machine.at_most_once()


def test_a_finished_key_keeps_its_answer() -> None:
    r = registry()
    key = parse_key(r.issue(b"n", 0.0))
    assert r.begin(key, 0.0) is KeyState.NEW
    assert r.begin(key, 0.0) is KeyState.RUNNING
    r.finish(key, Outcome(201, [("A", "b")], b"body"))
    assert r.begin(key, 1.0) is KeyState.DONE
    assert r.outcome(key) == Outcome(201, [("A", "b")], b"body")


def test_a_large_outcome_is_kept_without_its_body() -> None:
    r = registry()
    key = parse_key(r.issue(b"n", 0.0))
    r.begin(key, 0.0)
    r.finish(key, Outcome(200, [], b"x" * (MAX_KEPT_BODY_BYTES + 1)))
    outcome = r.outcome(key)
    assert outcome is not None
    assert (outcome.code, outcome.body) == (Code.ALREADY_RAN, b"")


@pytest.mark.parametrize("text", ["", "x", "!!!!", "AAAA", "k" * 4000])
def test_a_key_that_was_not_issued_is_refused(text: str) -> None:
    with pytest.raises(Refusal) as e:
        parse_key(text)
    assert e.value.code is Code.KEY_INVALID


def test_a_forged_key_is_refused() -> None:
    r = registry()
    key = parse_key(r.issue(b"n", 0.0))
    forged = parse_key(serialize_key(type(key)(*_fields(key)[:4], b"m", key.mac)))
    with pytest.raises(Refusal) as e:
        r.begin(forged, 0.0)
    assert e.value.code is Code.KEY_INVALID


def _fields(key: object) -> list[object]:
    return [getattr(key, f) for f in key.__struct_fields__]  # type: ignore[attr-defined]


def test_expired_keys_are_removed_and_refused() -> None:
    r = registry()
    key = parse_key(r.issue(b"n", 0.0))
    r.begin(key, 0.0)
    r.finish(key, Outcome(200, [], b"x"))
    with pytest.raises(Refusal) as e:
        r.begin(key, KEY_TTL_S + 1)
    assert e.value.code is Code.KEY_EXPIRED
    assert len(r) == 0
