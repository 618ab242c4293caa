"""Steps of the scenario language: one function for each verb."""

import json
import signal
from collections.abc import Mapping
from dataclasses import replace

import anyio

from cuminstile.objects.model import (
    AnyObject,
    DataCentre,
    DataCentreState,
    Organisation,
    TrafficMove,
    Upstream,
    UpstreamVersion,
)

from .caller import wall_ms
from .fleet import PLATFORM, path_name
from .http import ControlError
from .scenario import Action
from .scenario_requests import burst, send_one, settle
from .scenario_session import Session, call_operator_api, make_publication
from .startup import list_vms


class StepError(Exception):
    """A step of a scenario failed."""


def promise(session: Session, *names: str) -> None:
    """Name the promises that the scenario tests; does nothing when run."""


def golden(session: Session) -> None:
    """Request a comparison with the golden file; does nothing when run."""


async def start(
    session: Session, objects: str, *, linked: str = "no", **counts: int
) -> None:
    """Describe the arrangement, which is started before the other steps."""


async def publish(
    session: Session, *, via: str = "", weight: int = 1, refused: str = ""
) -> None:
    """Publish the objects with the given weight of the first organisation."""
    await publish_set(session, via, with_weight(session.objects, weight), refused)


async def publish_set(
    session: Session, via: str, objects: tuple[AnyObject, ...], refused: str = ""
) -> None:
    """Publish objects over the version accepted last.

    Raises
    ------
    StepError
        If the publication is refused with another code than `refused`, or accepted
        although `refused` is set.
    """
    vm = via or session.responsive_vms()[0]
    body = make_publication(session.version, objects)
    try:
        response = await call_operator_api(
            session, vm, "POST", "/operator/publish", body
        )
    except ControlError as error:
        code = error_code(error)
        if code != refused:
            raise StepError(f"publication was refused: {error}") from error
        return
    if refused:
        raise StepError(f"publication was accepted, expected refusal {refused}")
    session.version = response["version"]
    session.objects = objects


def error_code(error: ControlError) -> str:
    """Return the error code of a refusal."""
    return str(json.loads(str(error))["error"]["code"])


def with_weight(objects: tuple[AnyObject, ...], weight: int) -> tuple[AnyObject, ...]:
    """Return the objects with the given weight of the first organisation."""
    first = next(item for item in objects if isinstance(item, Organisation))
    changed = replace(first, weight=weight)
    return tuple(changed if item is first else item for item in objects)


async def race(session: Session, vm: str, other: str, *, apart_ms: float = 0.0) -> None:
    """Publish concurrently through two VMs over one version; exactly one may succeed.

    Parameters
    ----------
    apart_ms : float
        Delay of the second publication.

    Raises
    ------
    StepError
        Unless one publication is accepted and one refused with `publish_conflict`.
    """
    accepted: list[tuple[int, tuple[AnyObject, ...]]] = []
    codes: list[str] = []

    async def publish_after(name: str, weight: int, after_ms: float) -> None:
        await anyio.sleep(after_ms / 1000.0)
        objects = with_weight(session.objects, weight)
        body = make_publication(session.version, objects)
        try:
            response = await call_operator_api(
                session, name, "POST", "/operator/publish", body
            )
        except ControlError as error:
            codes.append(error_code(error))
            return
        accepted.append((response["version"], objects))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(publish_after, vm, 101, 0.0)
        tasks.start_soon(publish_after, other, 202, apart_ms)
    if len(accepted) != 1 or codes != ["publish_conflict"]:
        versions = [version for version, _ in accepted]
        raise StepError(
            f"accepted versions {versions}, refused with {codes};"
            " expected one accepted and one publish_conflict"
        )
    session.version, session.objects = accepted[0]


async def take_out(session: Session, centre: str, *, via: str = "") -> None:
    """Publish a data centre as out, as an operator does."""
    await set_state(session, centre, DataCentreState.OUT, via)
    session.mark_times_ms[centre] = wall_ms()


async def bring_back(session: Session, centre: str, *, via: str = "") -> None:
    """Publish a data centre as in again, as an operator does."""
    await set_state(session, centre, DataCentreState.IN, via)
    session.mark_times_ms.pop(centre, None)
    session.mark_times_ms[f"back:{centre}"] = wall_ms()


async def set_state(
    session: Session, centre: str, state: DataCentreState, via: str
) -> None:
    """Publish the objects with the given state of a data centre."""
    objects = tuple(
        replace(item, state=state)
        if isinstance(item, DataCentre) and item.name == centre
        else item
        for item in session.objects
    )
    await publish_set(session, via, objects)


async def move(
    session: Session,
    name: str,
    stage: str,
    *,
    old: str,
    new: str,
    seconds: float,
    loaded: int = 1,
) -> None:
    """Publish a version and a traffic move to it that starts now.

    With `loaded=0` the upstreams have not loaded the version yet.
    """
    now_ms = wall_ms()
    traffic_move = TrafficMove(
        kind="traffic_move",
        name=name,
        stage=stage,
        from_version=old,
        to_version=new,
        start_at_ms=now_ms,
        finish_by_ms=now_ms + int(seconds * 1000),
    )
    version = UpstreamVersion(kind="upstream_version", name=new, stage=stage)
    serving = session.index.upstreams_by_version[old]
    for upstream in serving:
        versions = [*upstream.versions, *([new] if loaded else [])]
        await session.fleet.control(upstream.name, versions=versions)
    objects = tuple(
        replace(item, versions=(*item.versions, new))
        if isinstance(item, Upstream) and item in serving
        else item
        for item in session.objects
    )
    await publish_set(session, "", (*objects, version, traffic_move))
    session.mark_times_ms[name] = now_ms


async def wait(session: Session, seconds: str) -> None:
    """Wait some seconds."""
    await anyio.sleep(float(seconds))


async def kill(session: Session, program: str) -> None:
    """Kill a program; the platform drops a killed VM from its list after a lag."""
    session.fleet.programs.by_name[program].kill()
    session.mark_times_ms[program] = wall_ms()
    await update_vm_list(session)


async def stop(session: Session, program: str) -> None:
    """Send SIGTERM to a program, as the platform does before it replaces a VM."""
    session.fleet.programs.by_name[program].send_signal(signal.SIGTERM)
    session.mark_times_ms[program] = wall_ms()
    session.stopping_vms.add(program)
    await update_vm_list(session)


async def update_vm_list(session: Session) -> None:
    """Update the platform's list of the VMs that are running."""
    programs = session.fleet.programs.by_name
    gone = {name for name in session.fleet.vms if not programs[name].is_running()}
    await list_vms(session.fleet, frozenset(session.stopping_vms), frozenset(gone))


async def restart(session: Session, program: str) -> None:
    """Wait until a program has exited, start it again and wait until it is ready."""
    ended = session.fleet.programs.by_name[program]
    with anyio.fail_after(10.0):
        while ended.is_running():
            await anyio.sleep(0.05)
    await session.fleet.restart(program)
    session.stopping_vms.discard(program)
    await update_vm_list(session)


def freeze(session: Session, program: str) -> None:
    """Suspend a program at whatever point it is."""
    session.fleet.programs.by_name[program].freeze()


def resume(session: Session, program: str) -> None:
    """Resume a frozen program."""
    session.fleet.programs.by_name[program].resume()


async def cut(session: Session, centre: str, end: str, *, how: str = "hang") -> None:
    """Cut the path from a data centre to another one, the platform or its upstreams."""
    await session.fleet.set_path(relay_path(centre, end), how)


async def heal(session: Session, centre: str, end: str) -> None:
    """Open a path that was cut."""
    await session.fleet.set_path(relay_path(centre, end), "open")


def relay_path(centre: str, end: str) -> str:
    """Return the relay's name of the path between a data centre and its other end."""
    if end in (PLATFORM, "upstreams"):
        return f"{centre}:{end}"
    return path_name(centre, end)


async def outage(session: Session, *, how: str = "refuse") -> None:
    """Make the platform unavailable."""
    await session.fleet.control(PLATFORM, outage=how)


async def outage_over(session: Session) -> None:
    """Make the platform available again."""
    await session.fleet.control(PLATFORM, outage=False)


async def control(session: Session, target: str, **values: str) -> None:
    """Change control values of the platform or of an upstream; values are JSON."""
    decoded = {name: parse_value(value) for name, value in values.items()}
    await session.fleet.control(target, **decoded)


def parse_value(value: str) -> object:
    """Return a value parsed as JSON; the text itself if it is not valid JSON."""
    try:
        decoded: object = json.loads(value)
    except ValueError:
        return value
    return decoded


async def turn_cold(session: Session, upstream: str, *, warm_after: int = 3) -> None:
    """Make a warm upstream cold without warning."""
    await session.fleet.control(upstream, warm_after_runs=warm_after, turn_cold=True)
    session.mark_times_ms[upstream] = wall_ms()


async def go_bad(session: Session, version: str, **fault: str) -> None:
    """Set faults of a version on every upstream; values are JSON."""
    decoded = {name: parse_value(value) for name, value in fault.items()}
    for upstream in session.index.upstreams:
        await session.fleet.control(upstream, version_faults={version: decoded})
    session.mark_times_ms[version] = wall_ms()


async def leave(session: Session, upstream: str) -> None:
    """Make an upstream report that it is leaving; it still serves calls."""
    await session.fleet.control(upstream, leave=True)
    session.mark_times_ms[upstream] = wall_ms()


ACTIONS: Mapping[str, Action] = {
    "promise": promise,
    "golden": golden,
    "start": start,
    "publish": publish,
    "race": race,
    "take out": take_out,
    "bring back": bring_back,
    "move": move,
    "send": send_one,
    "burst": burst,
    "settle": settle,
    "wait": wait,
    "kill": kill,
    "stop": stop,
    "restart": restart,
    "freeze": freeze,
    "continue": resume,
    "cut": cut,
    "heal": heal,
    "outage": outage,
    "outage over": outage_over,
    "control": control,
    "turn cold": turn_cold,
    "go bad": go_bad,
    "leave": leave,
}
FAULTS = frozenset(
    {
        "kill",
        "freeze",
        "cut",
        "outage",
        "control",
        "turn cold",
        "go bad",
        "leave",
        "race",
    }
)
