"""Do the steps of a scenario: a plain function for each verb."""

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
from .scenario_session import Session, ask_operator, publication
from .startup import list_vms


class StepError(Exception):
    """Tell that a step of a scenario could not be done as written."""


def promise(session: Session, *names: str) -> None:
    """Name the promises that the scenario is about."""


def golden(session: Session) -> None:
    """Ask for the whole session to be compared with a golden file."""


async def start(
    session: Session, objects: str, *, linked: str = "no", **counts: int
) -> None:
    """Start the arrangement; done before the first other step."""


async def publish(
    session: Session, *, via: str = "", weight: int = 1, refused: str = ""
) -> None:
    """Publish the objects, with another weight of the first organisation."""
    await publish_set(session, via, with_weight(session.objects, weight), refused)


async def publish_set(
    session: Session, via: str, objects: tuple[AnyObject, ...], refused: str = ""
) -> None:
    """Publish a set over the version accepted last."""
    vm = via or session.answering_vms()[0]
    body = publication(session.version, objects)
    try:
        answer = await ask_operator(session, vm, "POST", "/operator/publish", body)
    except ControlError as error:
        code = code_of(error)
        if code != refused:
            raise StepError(f"the publication was refused: {error}") from error
        return
    if refused:
        raise StepError(f"the publication was not refused with {refused}")
    session.version = answer["version"]
    session.objects = objects


def code_of(error: ControlError) -> str:
    """Return the code of a refusal."""
    return str(json.loads(str(error))["error"]["code"])


def with_weight(objects: tuple[AnyObject, ...], weight: int) -> tuple[AnyObject, ...]:
    """Return the objects with another weight of the first organisation."""
    first = next(item for item in objects if isinstance(item, Organisation))
    changed = replace(first, weight=weight)
    return tuple(changed if item is first else item for item in objects)


async def race(session: Session, vm: str, other: str, *, apart_ms: float = 0.0) -> None:
    """Let two operators publish at once from one base: exactly one may win.

    Parameters
    ----------
    apart_ms : float
        How much later the second one asks.
    """
    accepted: list[tuple[int, tuple[AnyObject, ...]]] = []
    codes: list[str] = []

    async def one(name: str, weight: int, after_ms: float) -> None:
        await anyio.sleep(after_ms / 1000.0)
        objects = with_weight(session.objects, weight)
        body = publication(session.version, objects)
        try:
            answer = await ask_operator(
                session, name, "POST", "/operator/publish", body
            )
        except ControlError as error:
            codes.append(code_of(error))
            return
        accepted.append((answer["version"], objects))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(one, vm, 101, 0.0)
        tasks.start_soon(one, other, 202, apart_ms)
    if len(accepted) != 1 or codes != ["publish_conflict"]:
        won = [version for version, _ in accepted]
        raise StepError(f"accepted {won}, refused {codes}; one of each is right")
    session.version, session.objects = accepted[0]


async def take_out(session: Session, centre: str, *, via: str = "") -> None:
    """Let an operator take a data centre out."""
    await set_state(session, centre, DataCentreState.OUT, via)
    session.marks[centre] = wall_ms()


async def bring_back(session: Session, centre: str, *, via: str = "") -> None:
    """Let an operator bring a data centre back."""
    await set_state(session, centre, DataCentreState.IN, via)
    session.marks.pop(centre, None)
    session.marks[f"back:{centre}"] = wall_ms()


async def set_state(
    session: Session, centre: str, state: DataCentreState, via: str
) -> None:
    """Publish the objects with another state of a data centre."""
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
    """Publish a version and a move to it, from now on.

    With `loaded=0` the upstreams have not loaded the version yet.
    """
    now_ms = wall_ms()
    wanted = TrafficMove(
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
    await publish_set(session, "", (*objects, version, wanted))
    session.marks[name] = now_ms


async def wait(session: Session, seconds: str) -> None:
    """Let some seconds pass."""
    await anyio.sleep(float(seconds))


async def kill(session: Session, program: str) -> None:
    """End a program at once; the platform's list drops a VM after its lag."""
    session.fleet.programs.by_name[program].kill()
    session.marks[program] = wall_ms()
    await list_present(session)


async def stop(session: Session, program: str) -> None:
    """Ask a program to end, as the platform does before it replaces a VM."""
    session.fleet.programs.by_name[program].send_signal(signal.SIGTERM)
    session.marks[program] = wall_ms()
    session.leaving.add(program)
    await list_present(session)


async def list_present(session: Session) -> None:
    """Let the platform list the VMs that run."""
    programs = session.fleet.programs.by_name
    gone = {name for name in session.fleet.vms if not programs[name].is_running()}
    await list_vms(session.fleet, frozenset(session.leaving), frozenset(gone))


async def restart(session: Session, program: str) -> None:
    """Start a program that has ended again, and wait until it is ready."""
    ended = session.fleet.programs.by_name[program]
    with anyio.fail_after(10.0):
        while ended.is_running():
            await anyio.sleep(0.05)
    await session.fleet.restart(program)
    session.leaving.discard(program)
    await list_present(session)


def freeze(session: Session, program: str) -> None:
    """Stop a program in the middle of whatever it does."""
    session.fleet.programs.by_name[program].freeze()


def resume(session: Session, program: str) -> None:
    """Let a frozen program go on."""
    session.fleet.programs.by_name[program].resume()


async def cut(session: Session, centre: str, end: str, *, how: str = "hang") -> None:
    """Cut a data centre off from another one, the platform or its upstreams."""
    await session.fleet.set_path(path_of(centre, end), how)


async def heal(session: Session, centre: str, end: str) -> None:
    """Join what was cut."""
    await session.fleet.set_path(path_of(centre, end), "open")


def path_of(centre: str, end: str) -> str:
    """Return the name of a path in the relay."""
    if end in (PLATFORM, "upstreams"):
        return f"{centre}:{end}"
    return path_name(centre, end)


async def outage(session: Session, *, how: str = "refuse") -> None:
    """Take the platform away."""
    await session.fleet.control(PLATFORM, outage=how)


async def outage_over(session: Session) -> None:
    """Let the platform answer again."""
    await session.fleet.control(PLATFORM, outage=False)


async def control(session: Session, target: str, **values: str) -> None:
    """Change control values of the platform or of an upstream; values are JSON."""
    decoded = {name: json_or_text(value) for name, value in values.items()}
    await session.fleet.control(target, **decoded)


def json_or_text(value: str) -> object:
    """Return a value read as JSON, or as it stands if it is none."""
    try:
        decoded: object = json.loads(value)
    except ValueError:
        return value
    return decoded


async def turn_cold(session: Session, upstream: str, *, warm_after: int = 3) -> None:
    """Make a warm upstream cold without warning."""
    await session.fleet.control(upstream, warm_after_runs=warm_after, turn_cold=True)
    session.marks[upstream] = wall_ms()


async def go_bad(session: Session, version: str, **fault: str) -> None:
    """Make a version bad on every upstream that may serve it; values are JSON."""
    decoded = {name: json_or_text(value) for name, value in fault.items()}
    for upstream in session.index.upstreams:
        await session.fleet.control(upstream, version_faults={version: decoded})
    session.marks[version] = wall_ms()


async def leave(session: Session, upstream: str) -> None:
    """Let an upstream report that it leaves; it goes on working."""
    await session.fleet.control(upstream, leave=True)
    session.marks[upstream] = wall_ms()


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
