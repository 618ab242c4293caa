"""Membership of VMs based on heartbeats, and the choice of the scheduler.

Designed for VMs that start, stop and lose contact without a coordinator: every VM
decides from the heartbeats that it receives itself. Does no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from ipaddress import ip_address

from ..shutdown.scheduler_role import choose_scheduler
from .messages import Heartbeat

SILENCE_LIMIT_MS = 1_500.0
"""How long a VM may be silent before it counts as lost: five heartbeats."""
SUSPECT_MS = 3_000.0
"""How long a VM is not chosen as the scheduler after it did not answer."""
KEPT_INCARNATIONS = 4
"""Earlier processes of a VM whose late heartbeats are told from those of the next."""
REMOVE_AFTER_MS = 60_000.0
"""How long a silent VM is mentioned to others, and then how long without a heartbeat or
a mention until it is removed; longer than network partitions last."""
PRESENT_MS = REMOVE_AFTER_MS / 2
"""How long a VM counts as present after the last heartbeat or mention of it."""
CUT_OFF_AFTER_MS = 50_000.0
"""Silence of most VMs after which this one counts as cut off: before they remove it."""
CUT_OFF_FACTOR = 2
"""By how much the share of a VM that is cut off is smaller, as the others may share the
whole limit by then."""


@dataclass(slots=True)
class Peer:
    """Last heartbeat of another VM; times are monotonic ms.

    Parameters
    ----------
    last_heartbeat_ms : float
        Time of the last heartbeat, negative before the first.
    added_ms : float
        When its address became known.
    suspect_until_ms : float
        Until when it is not chosen as the scheduler because it did not answer.
    mentioned_ms : float
        When another VM last said that it heard of it, negative before the first time.
    ended : deque of str
        The last incarnations that a restart replaced; none of them comes back.
    """

    address: str
    heartbeat: Heartbeat | None = None
    last_heartbeat_ms: float = -REMOVE_AFTER_MS
    added_ms: float = 0.0
    suspect_until_ms: float = 0.0
    mentioned_ms: float = -REMOVE_AFTER_MS
    ended: deque[str] = field(default_factory=lambda: deque(maxlen=KEPT_INCARNATIONS))

    @property
    def is_member(self) -> bool:
        """Return whether any VM has heard of it."""
        return self.heartbeat is not None or self.mentioned_ms >= 0.0

    @property
    def ends_as_announced(self) -> bool:
        """Return whether its last heartbeat said that it leaves."""
        return self.heartbeat is not None and self.heartbeat.leaving

    @property
    def last_known_ms(self) -> float:
        """Return the time of the last heartbeat or mention."""
        return max(self.last_heartbeat_ms, self.mentioned_ms)


def is_address(text: str) -> bool:
    """Return whether a text is `host:port` with an IP address and a port."""
    host, _, port = text.rpartition(":")
    try:
        ip_address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < 65_536


@dataclass
class Membership:
    """The other VMs by address, and this VM's own address.

    Parameters
    ----------
    cut_off : bool
        Whether this VM is on the smaller side of a cut that has lasted for long.
    """

    own_address: str
    peers: dict[str, Peer] = field(default_factory=dict)
    cut_off: bool = False

    def add_peers(self, addresses: Iterable[str], now_ms: float) -> None:
        """Add VMs by address; ignore malformed ones."""
        for address in addresses:
            if address == self.own_address or address in self.peers:
                continue
            if is_address(address):
                self.peers[address] = Peer(address, added_ms=now_ms)

    def add_mentioned(self, addresses: Iterable[str], now_ms: float) -> None:
        """Add the VMs that another VM has heard of."""
        mentioned = list(addresses)
        self.add_peers(mentioned, now_ms)
        for address in mentioned:
            peer = self.peers.get(address)
            if peer is not None:
                peer.mentioned_ms = now_ms

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> bool:
        """Record a heartbeat; return whether the VM is new, restarted or back.

        A late one of an earlier process is passed over, unless the process that is
        taken for the next one is silent: then the two were mistaken for each other.
        """
        if heartbeat.address == self.own_address:
            return False
        self.add_peers((heartbeat.address,), now_ms)
        peer = self.peers[heartbeat.address]
        was_silent = now_ms - peer.last_heartbeat_ms > SILENCE_LIMIT_MS
        if heartbeat.incarnation in peer.ended:
            if not was_silent:
                return False
            peer.ended.remove(heartbeat.incarnation)
        new = (
            peer.heartbeat is None
            or peer.heartbeat.incarnation != heartbeat.incarnation
            or was_silent
        )
        if (
            peer.heartbeat is not None
            and peer.heartbeat.incarnation != heartbeat.incarnation
        ):
            peer.suspect_until_ms = 0.0
            peer.ended.append(peer.heartbeat.incarnation)
        peer.heartbeat = heartbeat
        peer.last_heartbeat_ms = now_ms
        self.add_mentioned(heartbeat.known, now_ms)
        return new

    def suspect(self, address: str, now_ms: float) -> None:
        """Exclude a VM that did not answer from being the scheduler for a while."""
        peer = self.peers.get(address)
        if peer is not None:
            peer.suspect_until_ms = now_ms + SUSPECT_MS

    def remembered(self, now_ms: float) -> list[str]:
        """Return the addresses of the VMs that were heard of late, to mention them.

        Only heartbeats count, not mentions: otherwise VMs would remind each other of a
        VM that is gone for good.
        """
        return [
            address
            for address, peer in self.peers.items()
            if peer.heartbeat is not None
            and now_ms - peer.last_heartbeat_ms <= REMOVE_AFTER_MS
        ]

    def remove_silent(self, now_ms: float) -> list[str]:
        """Remove VMs silent for `REMOVE_AFTER_MS`; return their addresses.

        A VM that is itself cut off from the others must not take their shares of common
        limits. It removes none of them, as it can't tell them from ended ones.
        """
        present = self.present_at(now_ms)
        gone: list[str] = []
        self.cut_off = False
        for peer in list(self.peers.values()):
            silence_ms = now_ms - max(peer.last_known_ms, peer.added_ms)
            if silence_ms <= CUT_OFF_AFTER_MS:
                continue
            before = self.present_at(peer.last_known_ms) if peer.is_member else 0
            if 2 * present < before:
                self.cut_off = True
            elif 2 * present > before and silence_ms > REMOVE_AFTER_MS:
                gone.append(peer.address)
        for address in gone:
            del self.peers[address]
        return gone

    def present_at(self, at_ms: float) -> int:
        """Return how many of the known VMs were present, including this one.

        Those that said that they leave don't count: that they fell silent shows no cut.
        """
        return 1 + sum(
            1
            for peer in self.peers.values()
            if peer.is_member
            and not peer.ends_as_announced
            and peer.added_ms <= at_ms <= peer.last_known_ms + PRESENT_MS
        )

    def live(self, now_ms: float) -> list[Heartbeat]:
        """Return the heartbeats of the other VMs that are alive."""
        return [
            peer.heartbeat
            for peer in self.peers.values()
            if peer.heartbeat is not None
            and now_ms - peer.last_heartbeat_ms <= SILENCE_LIMIT_MS
        ]

    def able_to_schedule(self, now_ms: float) -> list[Heartbeat]:
        """Return the heartbeats of the other VMs that are alive and not suspected."""
        return [
            heartbeat
            for heartbeat in self.live(now_ms)
            if self.peers[heartbeat.address].suspect_until_ms <= now_ms
        ]

    def can_be_reached(self, address: str, now_ms: float) -> bool:
        """Return whether a VM named by another one may be tried.

        It need not have been heard of: it may have started a moment ago.
        """
        self.add_peers((address,), now_ms)
        peer = self.peers.get(address)
        return peer is not None and peer.suspect_until_ms <= now_ms

    def scheduler_address(self, own: Heartbeat, now_ms: float) -> str:
        """Return the address of the scheduler, though it wasn't heard of yet.

        A VM that has just started hears the others one after the other. Whom the one
        that it would choose names is right if it hasn't heard of that one.
        """
        chosen = self.scheduler(own, now_ms)
        named = self.peers.get(chosen.scheduler)
        if named is None or named.heartbeat or named.suspect_until_ms > now_ms:
            return chosen.address
        return named.address

    def scheduler(self, own: Heartbeat, now_ms: float) -> Heartbeat:
        """Return the heartbeat of the scheduler; see `choose_scheduler`.

        Suspected VMs are excluded. A VM that started later never replaces an older one
        of the same strength, so that added and restarted VMs change nothing. This VM
        is left if there is no other.
        """
        return choose_scheduler((own, *self.able_to_schedule(now_ms))) or own

    def fleet_size(self) -> int:
        """Return how many VMs share a common limit, including silent ones.

        VMs that only other VMs hear of count too.

        Counting VMs that may only be partitioned keeps the sum of all shares below the
        limit even when the VMs disagree on which are alive. VMs that are gone for good
        count until `remove_silent` removes them. The larger side of a long cut removes
        the smaller one, whose VMs count all twice then.
        """
        known = 1 + sum(1 for peer in self.peers.values() if peer.is_member)
        return CUT_OFF_FACTOR * known if self.cut_off else known
