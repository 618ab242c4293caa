"""Test cuminstile.shutdown.end_scopes."""

import anyio
import pytest

from cuminstile.shutdown.end_scopes import EndScopes

pytestmark = pytest.mark.anyio


async def test_end_cuts_short_what_is_in_progress_and_what_begins_later() -> None:
    """Guards against work that begins after the cut and ends without an answer."""
    end = EndScopes()
    with anyio.fail_after(1.0):
        with end.scope() as first:
            end.cancel_all()
            await anyio.sleep_forever()
        with end.scope() as second:
            await anyio.sleep_forever()
    assert first.cancelled_caught
    assert second.cancelled_caught


async def test_work_that_has_ended_is_not_cut_short() -> None:
    end = EndScopes()
    with end.scope() as scope:
        await anyio.sleep(0)
    end.cancel_all()
    assert not scope.cancelled_caught
    assert not end.scopes
