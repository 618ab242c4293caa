"""Keep the list of live VMs from their heartbeats, and choose the scheduler.

Answers the pattern of VMs that come, go and lose each other without a coordinator:
every VM decides from what it hears itself. Needs no network.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .messages import Heartbeat

SILENCE_LIMIT_MS = 1_500.0
"""How long a VM may be silent before it is taken as lost: five heartbeats."""
SUSPECT_MS = 3_000.0
"""How long a VM gets no duty after it did not answer."""
FORGET_MS = 60_000.0
"""How long heartbeats still go to a silent VM; longer than any cut of a network."""


@dataclass(slots=True)
class Peer:
    """Hold what the last heartbeat of another VM said.

    Parameters
    ----------
    heard_ms : float
        Monotonic time of the last heartbeat, negative before the first.
    suspect_until_ms : float
        Until when it gets no duty because it did not answer.
    """

    address: str
    heartbeat: Heartbeat | None = None
    heard_ms: float = -FORGET_MS
    learned_ms: float = 0.0
    suspect_until_ms: float = 0.0


@dataclass
class Membership:
    """Hold this VM's own heartbeat and those of the others, by address."""

    own_address: str
    peers: dict[str, Peer] = field(default_factory=dict)

    def add_peers(self, addresses: Iterable[str], now_ms: float) -> None:
        """Take over addresses that a seed, the store or another VM named."""
        for address in addresses:
            if address != self.own_address and address not in self.peers:
                self.peers[address] = Peer(address, learned_ms=now_ms)

    def record_heartbeat(self, heartbeat: Heartbeat, now_ms: float) -> bool:
        """Take a heartbeat; return whether the VM is new, restarted or back."""
        if heartbeat.address == self.own_address:
            return False
        self.add_peers((heartbeat.address,), now_ms)
        peer = self.peers[heartbeat.address]
        new = (
            peer.heartbeat is None
            or peer.heartbeat.incarnation != heartbeat.incarnation
            or now_ms - peer.heard_ms > SILENCE_LIMIT_MS
        )
        if (
            peer.heartbeat is not None
            and peer.heartbeat.incarnation != heartbeat.incarnation
        ):
            peer.suspect_until_ms = 0.0
        peer.heartbeat = heartbeat
        peer.heard_ms = now_ms
        self.add_peers(heartbeat.known, now_ms)
        return new

    def suspect(self, address: str, now_ms: float) -> None:
        """Give a VM no duty for a while: it did not answer."""
        peer = self.peers.get(address)
        if peer is not None:
            peer.suspect_until_ms = now_ms + SUSPECT_MS

    def remove_silent(self, now_ms: float) -> list[str]:
        """Drop and return the VMs that have been silent for very long."""
        gone = [
            address
            for address, peer in self.peers.items()
            if now_ms - max(peer.heard_ms, peer.learned_ms) > FORGET_MS
        ]
        for address in gone:
            del self.peers[address]
        return gone

    def live(self, now_ms: float) -> list[Heartbeat]:
        """Return the heartbeats of the other VMs that are alive."""
        return [
            peer.heartbeat
            for peer in self.peers.values()
            if peer.heartbeat is not None and now_ms - peer.heard_ms <= SILENCE_LIMIT_MS
        ]

    def scheduler(self, own: Heartbeat, now_ms: float) -> Heartbeat:
        """Return the VM that schedules staged work: the oldest one that takes duties.

        A VM that started later never takes the duty from an older one, so that added
        and restarted VMs change nothing.
        """
        able = [
            heartbeat
            for heartbeat in self.live(now_ms)
            if not heartbeat.leaving
            and self.peers[heartbeat.address].suspect_until_ms <= now_ms
        ]
        if not own.leaving or not able:
            able.append(own)
        return min(
            able, key=lambda heartbeat: (heartbeat.started_ms, heartbeat.address)
        )

    def fleet_size(self) -> int:
        """Return how many VMs share a common bound, silent ones included.

        Counting VMs that may only be cut off keeps the sum of all shares below the
        bound also when the VMs disagree on who is alive.
        """
        heard = sum(1 for peer in self.peers.values() if peer.heartbeat is not None)
        return 1 + heard
