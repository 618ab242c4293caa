"""State of the traffic moves and the stage latencies on one VM."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .latency import Latencies
from .moves import BY_EVIDENCE, MoveDecision, MovePolicy, MoveState
from .recency import remember
from .records.verdicts import VerdictState
from .vm.messages import RouteEvidence

if TYPE_CHECKING:
    from .vm.sessions import Session

MAX_EARLY_DECISIONS = 256
NO_MOVE = 0


@dataclass
class SentEvidence:
    """Evidence last sent on one route of one move, and the monotonic time of that."""

    entry: RouteEvidence
    sent_ms: float


@dataclass
class EvidenceBroadcast:
    """Evidence last sent to the VMs of this data centre, or to those of the others.

    Parameters
    ----------
    last_sent_ms : float
        Monotonic time of the last broadcast.
    log_bets : int
        This VM's evidence against new versions at that time, in hundredths of a nat.
    sent : dict of (int, int) to SentEvidence
        By move and route number.
    """

    last_sent_ms: float = -math.inf
    log_bets: int = 0
    sent: dict[tuple[int, int], SentEvidence] = field(default_factory=dict)


@dataclass
class FirstShareCalls:
    """Counts of a move's calls at its first share: all, and to the new version."""

    calls: int = 0
    new: int = 0


@dataclass
class SentMoves:
    """Decisions and verdicts on traffic moves that were sent in one session."""

    session: Session
    decisions: dict[int, MoveDecision] = field(default_factory=dict)
    verdicts: set[int] = field(default_factory=set)


@dataclass
class Traffic:
    """State of the traffic moves on this VM.

    Parameters
    ----------
    policy : MovePolicy
        The policy that decides about the moves.
    moves : dict of int to MoveState
        The moves that have started and have no recorded verdict, by number.
    decisions : dict of int to MoveDecision
        Decisions that other VMs have sent on moves that this VM does not know yet.
    sent_moves : dict of str to SentMoves
        What was sent to each other VM, by its name.
    here, elsewhere : EvidenceBroadcast
        The evidence sent to the VMs of this data centre and to those of the others.
    has_peer_decisions : bool
        Whether another VM has sent its decisions, so that this VM knows what was
        decided before it started.
    first_share_calls : dict of int to FirstShareCalls
        The calls of each move at its first share.
    failed_bodies : dict of bytes to frozenset of bool
        For the digest of each body that has failed and not been answered since:
        whether it failed on the old version (`False`), on the new one (`True`), or on
        both.
    """

    policy: MovePolicy = BY_EVIDENCE
    moves: dict[int, MoveState] = field(default_factory=dict)
    decisions: OrderedDict[int, MoveDecision] = field(default_factory=OrderedDict)
    verdicts: VerdictState = field(default_factory=VerdictState)
    latencies: Latencies = field(default_factory=Latencies)
    sent_moves: dict[str, SentMoves] = field(default_factory=dict)
    here: EvidenceBroadcast = field(default_factory=EvidenceBroadcast)
    elsewhere: EvidenceBroadcast = field(default_factory=EvidenceBroadcast)
    has_peer_decisions: bool = False
    first_share_calls: dict[int, FirstShareCalls] = field(default_factory=dict)
    failed_bodies: OrderedDict[bytes, frozenset[bool]] = field(
        default_factory=OrderedDict
    )

    def knows_past_decisions(self) -> bool:
        """Return whether this VM knows the earlier decisions about moves."""
        return self.verdicts.caught_up or self.has_peer_decisions

    def store_decision(self, number: int, decision: MoveDecision) -> None:
        """Store a decision on a move that this VM does not know yet."""
        remember(self.decisions, number, decision, MAX_EARLY_DECISIONS)
