"""Membership: the other VMs, their addresses and whether they are alive or leaving."""

from dataclasses import dataclass, field

from ..const import (
    HEARTBEAT_LOCAL_INTERVAL_MS,
    HEARTBEAT_REMOTE_INTERVAL_MS,
    MISSED_HEARTBEATS_LIMIT,
)
from ..records.client import ListedVm


@dataclass
class Member:
    """State of one other VM.

    Parameters
    ----------
    address, operator_address : str
        `host:port` of its ports for other VMs and for operators; the latter is
        empty until the first handshake.
    listed : bool
        Whether the platform's latest list contained it.
    in_settings : bool
        Whether this VM's settings name it; it is then never removed.
    incarnation : str
        Empty until the first handshake.
    last_seen_ms : float
        Monotonic time of its last message; minus infinity for never.
    """

    name: str
    data_centre: str
    address: str
    listed: bool = True
    in_settings: bool = False
    leaving: bool = False
    incarnation: str = ""
    last_seen_ms: float = float("-inf")
    config_version: int = -1
    operator_address: str = ""


@dataclass
class Members:
    """The other VMs by name.

    Parameters
    ----------
    own_name, own_data_centre : str
        This VM, which is never a member of its own list.
    """

    own_name: str
    own_data_centre: str
    by_name: dict[str, Member] = field(default_factory=dict)
    listed_ms: float = float("-inf")

    def apply_list(self, listed: tuple[ListedVm, ...], now_ms: float) -> None:
        """Apply the platform's list of VMs.

        A VM that is no longer listed stays a member while it is alive.
        """
        self.listed_ms = now_ms
        names = {entry.name for entry in listed}
        for entry in listed:
            self.add(entry.name, entry.data_centre, entry.address)
            if entry.state == "leaving" and entry.name in self.by_name:
                self.by_name[entry.name].leaving = True
        for member in tuple(self.by_name.values()):
            member.listed = member.name in names
            if member.listed or member.in_settings:
                continue
            if not self.is_alive(member.name, now_ms):
                del self.by_name[member.name]

    def add(
        self, name: str, data_centre: str, address: str, in_settings: bool = False
    ) -> None:
        """Add a VM, or update its address and data centre."""
        if name == self.own_name:
            return
        member = self.by_name.get(name)
        if member is None:
            self.by_name[name] = Member(
                name, data_centre, address, in_settings=in_settings
            )
            return
        member.address = address
        member.data_centre = data_centre

    def set_operator_address(self, name: str, operator_address: str) -> None:
        """Set the address that the VM reports for its operator port."""
        member = self.by_name.get(name)
        if member is not None:
            member.operator_address = operator_address

    def mark_seen(self, name: str, now_ms: float) -> None:
        """Record that a message from the VM has arrived."""
        member = self.by_name.get(name)
        if member is not None:
            member.last_seen_ms = now_ms

    def is_alive(self, name: str, now_ms: float) -> bool:
        """Return whether the VM was seen within its silence limit."""
        member = self.by_name.get(name)
        if member is None:
            return False
        return now_ms - member.last_seen_ms <= self.silence_limit_ms(member.data_centre)

    def silence_limit_ms(self, data_centre: str) -> float:
        """Return how long an idle VM of a data centre may send nothing."""
        return MISSED_HEARTBEATS_LIMIT * self.heartbeat_interval_ms(data_centre)

    def heartbeat_interval_ms(self, data_centre: str) -> float:
        """Return the heartbeat interval of an idle session with a data centre."""
        if data_centre == self.own_data_centre:
            return HEARTBEAT_LOCAL_INTERVAL_MS
        return HEARTBEAT_REMOTE_INTERVAL_MS

    def alive(self, now_ms: float) -> tuple[Member, ...]:
        """Return the VMs that are alive, sorted by name."""
        names = sorted(self.by_name)
        return tuple(
            self.by_name[name] for name in names if self.is_alive(name, now_ms)
        )
