"""Hold what one VM knows about traffic moves and how long stages take."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .latency import Latencies
from .moves import BY_EVIDENCE, MoveDecision, MovePolicy, MoveState
from .records.verdicts import VerdictState
from .vm.messages import RouteEvidence

if TYPE_CHECKING:
    from .vm.sessions import Session

MAX_EARLY_DECISIONS = 256
NO_MOVE = 0


@dataclass
class SentEvidence:
    """Hold what was last told about one route of one move, and when."""

    entry: RouteEvidence
    sent_ms: float


@dataclass
class EvidenceBroadcast:
    """Hold what the VMs here, or those of other data centres, were told last.

    Parameters
    ----------
    told_ms : float
        Monotonic time of the last round.
    log_bets : int
        This VM's evidence against new versions at that time.
    sent : dict of (int, int) to SentEvidence
        By move and route.
    """

    last_sent_ms: float = -math.inf
    log_bets: int = 0
    sent: dict[tuple[int, int], SentEvidence] = field(default_factory=dict)


@dataclass
class FirstShareCalls:
    """Count the calls of a move at its first share, and those to the new version."""

    calls: int = 0
    new: int = 0


@dataclass
class SentMoves:
    """Hold what the other VM of one session was told about traffic moves."""

    session: Session
    decisions: dict[int, MoveDecision] = field(default_factory=dict)
    verdicts: set[int] = field(default_factory=set)


@dataclass
class Traffic:
    """Hold the traffic moves as this VM sees them.

    Parameters
    ----------
    policy : MovePolicy
        What decides about the moves.
    moves : dict of int to MoveState
        The moves that have started and have no recorded verdict, by number.
    marks : dict of int to MoveMark
        What other VMs told of moves that this VM does not know yet.
    told : dict of str to Told
        What each other VM was told, by its name.
    here, elsewhere : EvidenceRounds
        What the VMs of this data centre and of the others were told of evidence.
    given : dict of int to Given
        The calls of each move at its first share.
    met : bool
        Whether another VM has told its marks, so that this VM knows what was
        decided before it started.
    failed_bodies : dict of bytes to frozenset of bool
        For the digest of each body that has failed and not been answered since:
        whether it failed on the old version (`False`), on the new one, or on both.
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
        """Return whether earlier decisions about moves are known here."""
        return self.verdicts.caught_up or self.has_peer_decisions

    def store_decision(self, number: int, decision: MoveDecision) -> None:
        """Keep a mark for a move that this VM may learn of later."""
        self.decisions[number] = decision
        while len(self.decisions) > MAX_EARLY_DECISIONS:
            self.decisions.popitem(last=False)
