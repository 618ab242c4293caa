"""Orders to a simulated upstream: load or unload a version, change role."""

from dataclasses import asdict, dataclass, field
from typing import Any

from .calls import Order
from .upstream import Upstream, wait_ms


@dataclass
class Orders:
    """Orders that an upstream has accepted.

    Parameters
    ----------
    highest : int
        Highest fencing number received.
    accepted : list of Order
        Accepted orders in the sequence of their arrival.
    """

    highest: int = -1
    accepted: list[Order] = field(default_factory=list)

    def rows(self) -> list[dict[str, Any]]:
        """Return the orders as JSON objects."""
        return [asdict(order) for order in self.accepted]


async def apply_order(upstream: Upstream, orders: Orders, order: Order) -> None:
    """Record an order and execute it; loading a version takes `load_ms`."""
    orders.highest = max(orders.highest, order.fencing)
    orders.accepted.append(order)
    if order.order == "load":
        await wait_ms(upstream.values.load_ms)
        upstream.versions.add(order.version)
    if order.order == "unload":
        upstream.versions.discard(order.version)
