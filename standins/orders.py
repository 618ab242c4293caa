"""Obey the orders to an upstream: load or unload a version, change role."""

from dataclasses import asdict, dataclass, field
from typing import Any

from .calls import Order
from .upstream import Upstream, wait_ms


@dataclass
class Orders:
    """Keep the orders taken.

    Parameters
    ----------
    highest : int
        The highest fencing number seen.
    taken : list of Order
        Every order that was obeyed, in the order of arrival.
    """

    highest: int = -1
    taken: list[Order] = field(default_factory=list)

    def rows(self) -> list[dict[str, Any]]:
        """Return the orders as JSON objects."""
        return [asdict(order) for order in self.taken]


async def obey(upstream: Upstream, orders: Orders, order: Order) -> None:
    """Note an order and carry it out; a load takes its time."""
    orders.highest = max(orders.highest, order.fencing)
    orders.taken.append(order)
    if order.order == "load":
        await wait_ms(upstream.values.load_ms)
        upstream.versions.add(order.version)
    if order.order == "unload":
        upstream.versions.discard(order.version)
