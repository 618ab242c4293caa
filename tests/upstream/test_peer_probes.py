"""Test cuminstile.upstream.peer_probes: the last live VM still calls cold upstreams."""

import socket

import anyio
import pytest

from cuminstile.upstream.leases import holds_lease
from cuminstile.upstream.peer_probes import Probe, ProbeResult, cannot_act, probe_vm
from cuminstile.vm.membership import Member

from ..fakes.vms import connected, make_test_vm
from .fake_data_centre import running_data_centre
from .test_leases import NEVER_WARM, excess, load_for

# The deadline of one request.
FIRST_CALL_BOUND_MS = 4_000.0


async def first_call_ms(centre, bound_ms: float, results: list) -> float:
    """Return the time in ms until the upstream gets another call."""
    fake = centre.upstreams["runner-0"]
    started_ms = centre.clock.now_ms()
    seen = set(fake.running)
    number = 0
    while set(fake.running) <= seen and centre.clock.now_ms() < started_ms + bound_ms:
        number += 1
        for name, vm in centre.vms.items():
            # A frozen process does not run the requests that reach it.
            if vm.clock.running.is_set():
                centre.send(name, centre.call(f"after-{name}-{number}"), results)
        await centre.clock.advance_ms(20.0)
    return centre.clock.now_ms() - started_ms


def all_hold(centre) -> list[str]:
    now_ms = centre.clock.now_ms()
    return [
        name for name, vm in centre.vms.items() if holds_lease(vm, "runner-0", now_ms)
    ]


@pytest.mark.parametrize("dead", ["vm-a", "vm-b"])
@pytest.mark.parametrize("fault", ["kill", "freeze"])
async def test_other_of_two_vms_calls_cold_upstream_in_time(monkeypatch, dead, fault):
    async with running_data_centre(monkeypatch, 1, warm_after=NEVER_WARM) as centre:
        for name in ("vm-a", "vm-b"):
            await centre.start(name)
        results = []
        await load_for(centre, 5_000.0, results, 50.0)
        fake = centre.upstreams["runner-0"]
        if fault == "kill":
            # The platform is unavailable, so the VM list still contains the dead VM.
            centre.kill(dead, listed=True)
        else:
            centre.freeze(dead)
        await centre.clock.advance_ms(2 * fake.work_ms)
        elapsed_ms = await first_call_ms(centre, FIRST_CALL_BOUND_MS, results)
        assert elapsed_ms + 2 * fake.work_ms < FIRST_CALL_BOUND_MS
        assert excess(centre) == {}


async def test_last_of_three_vms_calls_cold_upstream_in_time(monkeypatch):
    async with running_data_centre(monkeypatch, 1, warm_after=NEVER_WARM) as centre:
        for name in ("vm-a", "vm-b", "vm-c"):
            await centre.start(name)
        results = []
        await load_for(centre, 5_000.0, results, 50.0)
        centre.kill("vm-a", listed=True)
        centre.kill("vm-b", listed=True)
        await centre.clock.advance_ms(100.0)
        elapsed_ms = await first_call_ms(centre, FIRST_CALL_BOUND_MS, results)
        assert elapsed_ms + 100.0 < FIRST_CALL_BOUND_MS
        assert excess(centre) == {}


@pytest.mark.parametrize("pause_ms", [600.0, 1_900.0, 2_600.0, 3_500.0, 6_000.0])
async def test_frozen_peer_wakes_beside_a_vm_that_went_on_alone(monkeypatch, pause_ms):
    for frozen in ("vm-a", "vm-b"):
        async with running_data_centre(monkeypatch, 1, warm_after=NEVER_WARM) as centre:
            for name in ("vm-a", "vm-b"):
                await centre.start(name)
            results = []
            await load_for(centre, 5_000.0, results)
            for _ in range(3):
                centre.freeze(frozen)
                await load_for(centre, pause_ms, results)
                centre.thaw(frozen)
                await load_for(centre, 3_000.0, results)
            assert excess(centre) == {}


@pytest.mark.parametrize("after_ms", [100.0, 1_200.0, 2_900.0, 4_000.0])
async def test_killed_peer_is_replaced_beside_a_vm_alone(monkeypatch, after_ms):
    for dead in ("vm-a", "vm-b"):
        async with running_data_centre(monkeypatch, 1, warm_after=NEVER_WARM) as centre:
            for name in ("vm-a", "vm-b"):
                await centre.start(name)
            results = []
            await load_for(centre, 5_000.0, results)
            for _ in range(3):
                centre.kill(dead, listed=True)
                await load_for(centre, after_ms, results)
                await centre.start(dead)
                for _ in range(60):
                    await load_for(centre, 50.0, results)
                    assert len(all_hold(centre)) <= 1
            assert excess(centre) == {}


async def test_vms_that_only_cannot_reach_each_other_never_both_hold(monkeypatch):
    async with running_data_centre(monkeypatch, 1, warm_after=NEVER_WARM) as centre:
        for name in ("vm-a", "vm-b"):
            await centre.start(name)
        results = []
        await load_for(centre, 5_000.0, results)
        centre.cut("vm-a", "vm-b")
        for _ in range(120):
            await load_for(centre, 50.0, results)
            assert len(all_hold(centre)) <= 1
        assert excess(centre) == {}


async def probed(address: str) -> ProbeResult:
    return await probe_vm(None, Member("vm-b", "dc-1", address))


async def test_probe_distinguishes_dead_and_frozen_processes():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        # The kernel accepts the connection, but no process reads from it.
        assert await probed(address) is ProbeResult.UNRESPONSIVE
    assert await probed(address) is ProbeResult.REFUSED


@pytest.mark.parametrize("answer, result", [(b"no", "ANSWERS"), (b"", "REFUSED")])
async def test_probe_distinguishes_a_vm_from_a_relay_without_one(answer, result):
    async def handle(stream) -> None:
        async with stream:
            await stream.receive()
            if answer:
                await stream.send(answer)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        assert await probed(f"127.0.0.1:{port}") is ProbeResult[result]
        tasks.cancel_scope.cancel()


async def test_probe_of_a_running_vm_gets_an_answer():
    vm = make_test_vm("vm-a", "dc-1")
    async with connected(vm):
        with anyio.fail_after(3.0):
            while await probed(vm.own_address) is ProbeResult.REFUSED:
                await anyio.sleep(0.01)
        assert await probed(vm.own_address) is ProbeResult.ANSWERS


@pytest.mark.parametrize(
    "result, probe_age_ms, silent_ms, started_ago_ms, concluded",
    [
        ("REFUSED", 900.0, 1_200.0, 60_000.0, True),
        # The VM may have restarted since, and may no longer abstain.
        ("REFUSED", 2_000.0, 3_000.0, 60_000.0, False),
        ("UNRESPONSIVE", 900.0, 3_000.0, 60_000.0, True),
        ("UNRESPONSIVE", 2_000.0, 3_000.0, 60_000.0, False),
        # The VM may hold a lease that was granted before it was frozen.
        ("UNRESPONSIVE", 100.0, 2_000.0, 60_000.0, False),
        ("UNRESPONSIVE", 100.0, 60_000.0, 2_000.0, False),
        ("UNREACHABLE", 100.0, 60_000.0, 60_000.0, False),
        ("ANSWERS", 100.0, 60_000.0, 60_000.0, False),
    ],
)
async def test_probe_counts_only_while_the_other_cannot_act(
    result, probe_age_ms, silent_ms, started_ago_ms, concluded
):
    vm = make_test_vm("vm-a", "dc-1")
    now_ms = 100_000.0
    vm.members.add("vm-b", "dc-1", "127.0.0.1:1")
    vm.members.mark_seen("vm-b", now_ms - silent_ms)
    vm.leases.probes.by_name["vm-b"] = Probe(ProbeResult[result], now_ms - probe_age_ms)
    is_harmless = cannot_act(vm, "vm-b", now_ms - started_ago_ms, now_ms)
    assert is_harmless is concluded
