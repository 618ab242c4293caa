"""Hold the state of one VM and run its tasks."""

import secrets
from dataclasses import dataclass, field

from .clock import Clock
from .events import Journal
from .platform.client import PlatformClient
from .platform.configuration import ConfigurationState
from .settings import Settings


@dataclass
class Vm:
    """Hold the state of one VM; each part keeps its own.

    Parameters
    ----------
    incarnation : str
        New at every start, so that a replaced VM is told apart.
    leaving : bool
        Whether a graceful shutdown has begun.
    """

    settings: Settings
    clock: Clock
    journal: Journal
    platform: PlatformClient
    incarnation: str = field(default_factory=lambda: secrets.token_hex(6))
    configuration: ConfigurationState = field(default_factory=ConfigurationState)
    leaving: bool = False
