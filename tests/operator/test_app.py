"""Test cuminstile.operator.app and the modules that it uses."""

import copy
import json
from typing import Any

import anyio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cuminstile.events import Event
from cuminstile.operator.app import make_app
from cuminstile.operator.report import ComponentReport, Problem, ProblemCode
from cuminstile.records.client import ListedVm
from cuminstile.records.config_record import (
    OBJECTS,
    RECORD_CODEC,
    ConfigRecord,
    key_of,
    make_record,
)
from cuminstile.records.follow import read_configuration
from cuminstile.runtime import Vm
from tests.fakes.asgi import Reply, send_request
from tests.fakes.platform import FakePlatform
from tests.fakes.virtual import OPERATOR_KEYS, VM_KEYS, make_platform, make_test_vm
from tests.objects.examples import GOOD_SET

KEY = OPERATOR_KEYS[0]


def body(base: int, nonce: str = "nonce-number-1", objects: Any = None) -> dict:
    return {"base": base, "nonce": nonce, "objects": objects or GOOD_SET}


def changed(name: str, **fields: Any) -> list[dict]:
    objects = copy.deepcopy(GOOD_SET)
    next(item for item in objects if item["name"] == name).update(fields)
    return objects


async def publish(vm: Vm, request: Any) -> Reply:
    """Publish while the virtual clock advances."""
    replies: list[Reply] = []

    async def run() -> None:
        replies.append(await send_request(make_app(vm), "POST", PUBLISH, KEY, request))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        while not replies:
            await vm.clock.advance_ms(100.0)  # type: ignore[attr-defined]
    return replies[0]


PUBLISH = "/operator/publish"
PATHS = [
    ("POST", PUBLISH),
    ("GET", "/operator/status"),
    ("GET", "/operator/moves"),
    ("GET", "/operator/events"),
    ("GET", "/operator/objects"),
    ("GET", "/operator/nothing"),
]


@pytest.mark.parametrize(("method", "path"), PATHS)
@pytest.mark.parametrize("key", ["", "x", KEY[:-1], KEY + "x", VM_KEYS[0], "\xff"])
async def test_requests_without_a_valid_operator_key_are_refused(
    method: str, path: str, key: str
) -> None:
    vm = make_test_vm("vm1", make_platform())
    reply = await send_request(make_app(vm), method, path, key, body(-1))
    assert (reply.status, reply.body["error"]["code"]) == (401, "unauthenticated")
    assert vm.configuration.head == -1


async def test_both_operators_keys_are_valid() -> None:
    app = make_app(make_test_vm("vm1", make_platform()))
    for key in OPERATOR_KEYS:
        assert (await send_request(app, "GET", "/operator/status", key)).status == 200


async def test_a_publication_comes_into_force() -> None:
    vm = make_test_vm("vm1", make_platform())
    assert (await publish(vm, body(-1))).body == {"version": 0}
    reply = await send_request(make_app(vm), "GET", "/operator/objects", KEY)
    assert reply.body["version"] == 0
    published = OBJECTS.validate_python(reply.body["objects"])
    expected = OBJECTS.validate_python(GOOD_SET)
    assert published == tuple(sorted(expected, key=key_of))


async def test_bad_objects_are_refused_with_every_finding() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    objects = changed("dc1", state="x")
    objects[1]["role"] = "x"
    reply = await publish(vm, body(-1, objects=objects))
    assert reply.status == 422
    places = [item["path"] for item in reply.body["error"]["findings"]]
    assert places == ["[0].state", "[1].role"]
    assert platform.end("config") == 0


@pytest.mark.parametrize(
    "content",
    [b"", b"{", b"[]", b'{"base": 1}', b"\xff", b"[" * 100_000, {"base": "x"}],
)
async def test_bad_bodies_are_refused(content: Any) -> None:
    vm = make_test_vm("vm1", make_platform())
    reply = await send_request(make_app(vm), "POST", PUBLISH, KEY, content)
    assert (reply.status, reply.body["error"]["code"]) == (400, "malformed_body")


async def test_a_huge_body_is_refused() -> None:
    vm = make_test_vm("vm1", make_platform())
    reply = await send_request(make_app(vm), "POST", PUBLISH, KEY, b" " * 3_200_000)
    assert reply.status == 413


async def test_of_two_operators_one_wins_and_the_other_gets_the_changes() -> None:
    platform = make_platform()
    one, other = make_test_vm("vm1", platform), make_test_vm("vm2", platform)
    await publish(one, body(-1))
    await read_configuration(other, 0)
    replies: dict[str, Reply] = {}

    async def run(vm: Vm, nonce: str, objects: Any) -> None:
        replies[nonce] = await send_request(
            make_app(vm), "POST", PUBLISH, KEY, body(0, nonce, objects)
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run, one, "nonce-one", changed("pool1", capacity=3))
        tasks.start_soon(run, other, "nonce-other", changed("north", weight=2))
        while len(replies) < 2:
            await platform.clock.advance_ms(100.0)
    statuses = sorted(reply.status for reply in replies.values())
    assert statuses == [200, 409]
    lost = next(reply for reply in replies.values() if reply.status == 409)
    won = next(reply for reply in replies.values() if reply.status == 200)
    error = lost.body["error"]
    assert error["code"] == "publish_conflict"
    expected = "upstream pool1" if won is replies["nonce-one"] else "organisation north"
    assert [(item["path"], item["code"]) for item in error["findings"]] == [
        (expected, "changed")
    ]


async def test_a_conflict_names_what_was_added_and_removed() -> None:
    vm = make_test_vm("vm1", make_platform())
    await publish(vm, body(-1))
    extra = {"kind": "data_centre", "name": "dc2", "region": "r1"}
    objects = [item for item in GOOD_SET if item["name"] != "back"]
    await publish(vm, body(0, "nonce-number-2", [*objects, extra]))
    reply = await publish(vm, body(0, "nonce-number-3"))
    findings = reply.body["error"]["findings"]
    assert [(item["path"], item["code"]) for item in findings] == [
        ("data_centre dc2", "added"),
        ("traffic_move back", "removed"),
    ]


@pytest.mark.parametrize("faults", ["lost_appends", "dropped_appends"])
async def test_a_lost_answer_publishes_once(faults: str) -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    setattr(platform, faults, 2)
    reply = await publish(vm, body(-1))
    assert reply.body == {"version": 0}
    assert platform.end("config") == 1


async def test_asking_again_with_the_nonce_gives_the_same_version() -> None:
    platform = make_platform()
    vm, other = make_test_vm("vm1", platform), make_test_vm("vm2", platform)
    await publish(vm, body(-1))
    assert (await publish(vm, body(-1))).body == {"version": 0}
    assert (await publish(other, body(-1))).body == {"version": 0}
    assert platform.end("config") == 1


async def test_an_outage_is_refused_as_not_run() -> None:
    platform = make_platform()
    platform.is_unavailable = True
    vm = make_test_vm("vm1", platform)
    reply = await publish(vm, body(-1))
    assert reply.status == 503
    assert reply.body["error"]["ran"] == "not_run"


async def test_an_outage_after_the_append_is_unknown_and_a_retry_tells() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    platform.lost_appends = 1
    append = platform.append

    async def append_then_go(stream: str, payload: bytes) -> int:
        platform.is_unavailable = True
        platform.put(stream, payload)
        return await append(stream, payload)

    platform.append = append_then_go  # type: ignore[method-assign]
    reply = await publish(vm, body(-1))
    assert reply.body["error"]["ran"] == "unknown"
    assert "publish them again" in reply.body["error"]["message"]
    platform.is_unavailable = False
    assert (await publish(vm, body(-1))).body == {"version": 0}
    assert platform.end("config") == 1


async def test_status_is_ok_when_all_is_well() -> None:
    vm = make_test_vm("vm1", make_platform())
    await publish(vm, body(-1))
    status = (await send_request(make_app(vm), "GET", "/operator/status", KEY)).body
    assert status["ok"] and status["problems"] == []
    assert status["vm"]["name"] == "vm1"
    assert status["vm"]["operator_address"] == "127.0.0.1:2"


async def status_codes(vm: Vm, *components: ComponentReport) -> list[tuple[str, str]]:
    app = make_app(
        vm, [lambda component=component: component for component in components]
    )
    status = (await send_request(app, "GET", "/operator/status", KEY)).body
    assert status["ok"] == (not status["problems"])
    return [(item["code"], item["subject"]) for item in status["problems"]]


async def test_status_names_every_problem() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    assert await status_codes(vm) == [("no_configuration", "vm1")]
    two = [GOOD_SET[0], {**GOOD_SET[0], "name": "dc2", "state": "out"}, *GOOD_SET[1:]]
    await publish(vm, body(-1, objects=two))
    listed = (
        ListedVm("vm2", "dc1", "127.0.0.1:9", "live", 0),
        ListedVm("vm3", "dc1", "127.0.0.1:8", "live", 0),
    )
    vm.members.apply_list(listed, 0.0)
    vm.members.mark_seen("vm2", vm.clock.now_ms())
    vm.platform_unavailable_since_ms = vm.clock.now_ms()
    cold = Problem(ProblemCode.UPSTREAM_COLD, "engine1", "is cold")
    assert await status_codes(vm, ComponentReport((cold,))) == [
        ("platform_away", "vm1"),
        ("vm_lagging", "vm2"),
        ("vm_missing", "vm3"),
        ("data_centre_out", "dc2"),
        ("upstream_cold", "engine1"),
    ]


async def test_status_reports_a_version_that_this_release_cannot_read() -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    await publish(vm, body(-1))
    newer = make_record(0, "nonce-newer", ())
    fields = (99, -1, 0, newer.nonce, newer.checksum, newer.objects)
    platform.put("config", RECORD_CODEC.encode(ConfigRecord(*fields)))
    await read_configuration(vm, 0)
    assert await status_codes(vm) == [("record_refused", "vm1")]
    reply = await publish(vm, body(0, "nonce-number-2"))
    assert reply.status == 409
    assert "can't read" in reply.body["error"]["message"]


async def test_moves_without_a_report_are_shown_as_published() -> None:
    vm = make_test_vm("vm1", make_platform())
    await publish(vm, body(-1))
    moves = (await send_request(make_app(vm), "GET", "/operator/moves", KEY)).body[
        "moves"
    ]
    assert [(move["name"], move["state"]) for move in moves] == [
        ("back", "unknown"),
        ("to-2", "unknown"),
    ]


async def test_events_are_the_newest_after_a_time() -> None:
    vm = make_test_vm("vm1", make_platform())
    for number in range(5):
        vm.journal.record(Event.VM_READY, number=number)
        await vm.clock.advance_ms(1.0)  # type: ignore[attr-defined]
    after = vm.clock.wall_ms() - 4
    path = f"/operator/events?after_ms={after}&limit=2"
    events = (await send_request(make_app(vm), "GET", path, KEY)).body["events"]
    assert [item["fields"]["number"] for item in events] == [3, 4]
    assert events[0]["event"] == 1002 and events[0]["name"] == "vm_ready"
    for query in ("after_ms=x", "limit=-1", "limit=²"):
        path = f"/operator/events?{query}"
        assert (await send_request(make_app(vm), "GET", path, KEY)).status == 400


async def test_secrets_are_in_neither_status_nor_events() -> None:
    platform: FakePlatform = make_platform()
    vm = make_test_vm("vm1", platform, platform_key="the-platform-key")
    app = make_app(vm)
    guess = "guess-of-an-outsider"
    await send_request(app, "GET", f"/operator/status?key={guess}", guess)
    await publish(vm, body(-1))
    await publish(vm, body(7, "nonce-number-2"))
    seen = json.dumps(
        [
            (await send_request(app, "GET", f"/operator/{path}", KEY)).body
            for path in ("status", "events", "moves")
        ]
    )
    for secret in (*OPERATOR_KEYS, *VM_KEYS, "the-platform-key", guess):
        assert secret not in seen


@settings(
    max_examples=200,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    content=st.binary()
    | st.recursive(
        st.none() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    )
    .map(lambda value: {"base": -1, "nonce": "nonce-number-1", "objects": [value]})
    .map(lambda value: json.dumps(value).encode())
)
async def test_any_publication_is_answered(content: bytes) -> None:
    platform = make_platform()
    vm = make_test_vm("vm1", platform)
    reply = await publish(vm, content)
    assert reply.status in (400, 422)
    assert reply.body["error"]["findings"]
    assert platform.end("config") == 0
