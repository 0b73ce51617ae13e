"""States that an entry relays from another one, and those that it tells afterwards.

The pattern: an entry does not hear the store, and relays the state of a job from an
entry that does; then the store is silent for all, and the entry answers from rows that
are older than the state that it has relayed.
"""

import pytest
from graph_world import make_graph_world, set_store_silent
from outside_view import OutsideView

STEP = {"count": 1, "cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 2000}


# Guards against an entry that takes back a state that it has told itself.
@pytest.mark.parametrize(
    ("known", "relayed"), [("queued", "running"), ("running", "completed")]
)
def test_relayed_state_does_not_fall_back(known, relayed):
    world = make_graph_world()
    scheduler = world.scheduler()
    deaf = next(name for name in ("e0", "e1", "e2") if name != scheduler)
    world.submit(scheduler, "a1", [STEP])
    world.run_until(lambda: world.state(deaf, "a1") == known, 5.0)
    set_store_silent(world, True, [deaf])
    view = OutsideView(world, ["a1"])
    world.run_until(
        lambda: any((t.entry, t.state) == (deaf, relayed) for t in view.told), 4.0
    )
    set_store_silent(world, True)
    world.run(3.0)
    set_store_silent(world, False)
    world.run(10.0)
    assert view.violations() == []
