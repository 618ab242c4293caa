"""Current sizes and workloads of both firms, scaled down to one machine."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from cuminstile.objects.collection import index_objects
from cuminstile.objects.model import AnyObject, Role, Upstream

from .arrangement import Arrangement, load_objects, objects_in_data_centres, plan_vms
from .fleet import ROOT
from .load import Burst, LoadProfile, RequestKind

RUNNERS_PER_DATA_CENTRE = 2
COLD_START = {"warm_after_runs": 4, "report_lag_ms": 500}
CONTROLS: Mapping[str, Mapping[str, Any]] = {
    "engine": {**COLD_START, "work_ms": 60, "token_ms": 8, "slowdown": 0.05},
    "pool": {**COLD_START, "work_ms": 20, "jitter_ms": 10, "slowdown": 0.02},
    "service": {**COLD_START, "work_ms": 30, "jitter_ms": 15, "slowdown": 0.02},
}


@dataclass(frozen=True)
class Firm:
    """A firm's system and workload on one machine.

    Parameters
    ----------
    vms : mapping of str to int
        Number of VMs in each data centre; the last one is taken out and brought back.
    rate_per_s : float
        Mean number of requests per second.
    engine, pool : str
        The upstreams in the first data centre in which a run causes faults.
    """

    name: str
    vms: Mapping[str, int]
    organisations: tuple[tuple[str, float], ...]
    kinds: tuple[RequestKind, ...]
    rate_per_s: float
    engine: str
    pool: str

    @property
    def moving(self) -> str:
        """Return the data centre that is taken out and brought back."""
        return tuple(self.vms)[-1]

    def arrange(self, choice: str) -> Arrangement:
        """Return the firm's arrangement with one policy of choice."""
        objects = load_objects(ROOT / "examples" / self.name)
        return Arrangement(
            objects=with_runners(
                serve_everywhere(objects_in_data_centres(objects, set(self.vms)))
            ),
            vms=plan_vms(self.vms),
            controls=CONTROLS,
            settings={
                "shutdown_linger_ms": 200,
                "limits": {"choice": choice, "engine_choice": choice},
            },
        )

    def load(self, duration_ms: float, seed: int) -> LoadProfile:
        """Return the firm's load, with a burst of three times the rate."""
        burst = Burst(duration_ms * 0.2, duration_ms * 0.15, 3.0)
        return LoadProfile(
            self.kinds,
            self.organisations,
            self.rate_per_s,
            duration_ms,
            seed,
            (burst,),
            self.name,
        )


def with_runners(objects: Sequence[AnyObject]) -> tuple[AnyObject, ...]:
    """Add model runners until each data centre has `RUNNERS_PER_DATA_CENTRE` of them.

    Both firms have two or three in each data centre. With one, a crash while a data
    centre is out would leave no runner for any routing policy to choose.
    """
    index = index_objects(objects)
    more = [
        replace(item, name=f"{item.name}-{number}")
        for item in index.upstreams.values()
        if index.stages[index.versions[item.versions[0]].stage].role is Role.ENGINE
        for number in range(2, RUNNERS_PER_DATA_CENTRE + 1)
    ]
    return (*objects, *more)


def serve_everywhere(objects: Sequence[AnyObject]) -> tuple[AnyObject, ...]:
    """Add upstreams until each version is served in each data centre.

    Two of a firm's data centres by themselves leave some stages in only one of them,
    which could then not be taken out.
    """
    index = index_objects(objects)
    more = [
        replace(serving[0], name=f"{version}-{centre}", data_centre=centre)
        for version, serving in index.upstreams_by_version.items()
        for centre in index.data_centres
        if centre not in {item.data_centre for item in serving}
    ]
    only = [replace(item, versions=(version_of(item),)) for item in more]
    return (*objects, *only)


def version_of(copy: Upstream) -> str:
    """Return the version that the name of a copied upstream begins with."""
    return copy.name.removesuffix(f"-{copy.data_centre}")


FIRMS = (
    Firm(
        "falrendszer",
        {"budapest": 2, "budaors": 1},
        (
            ("kozpont", 4.0),
            ("budapest-franchise", 4.0),
            ("alfold-franchise", 2.0),
            ("dunantul-franchise", 1.0),
            ("eszak-franchise", 1.0),
        ),
        (
            RequestKind("hire-contract", 4_000, 4.0, stream=True, max_tokens=40),
            RequestKind("quote-summary", 4_000, 2.0, stream=True, max_tokens=24),
            RequestKind("panel-chat", 4_000, 3.0, stream=True, max_tokens=24),
            RequestKind("stock-lookup", 1_000, 4.0),
            RequestKind("panel-booking", 2_000, 2.0, unrepeatable=True),
        ),
        20.0,
        "engine-a-budapest",
        "retriever-budapest",
    ),
    Firm(
        "inzuki",
        {"gasabo": 2, "kicukiro": 1},
        (
            ("hotel-group", 4.0),
            ("kigali-schools", 2.0),
            ("hilltop-hotel", 1.0),
            ("lakeside-hotel", 1.0),
            ("rooftop-cooperative", 1.0),
        ),
        (
            RequestKind("inspection-report", 8_000, 2.0, stream=True, max_tokens=60),
            RequestKind("swarm-note", 8_000, 2.0, stream=True, max_tokens=24),
            RequestKind("keeper-chat", 6_000, 3.0, stream=True, max_tokens=24),
            RequestKind("rental-lookup", 1_500, 4.0),
            RequestKind("hive-placement", 3_000, 1.0, unrepeatable=True),
        ),
        12.0,
        "engine-a-gasabo",
        "retriever-gasabo",
    ),
)
