"""First work of a day, while no worker's speed is known."""

from graph_builders import make_facts, make_record, make_scheduler, make_step
from uneven_builders import places_of


# All first work of a day went to the first workers by name, so that nothing was known
# of the others when urgent work came.
def test_first_work_is_spread_while_no_speed_is_known():
    names = [f"w{number}" for number in range(8)]
    scheduler = make_scheduler({name: make_facts(name) for name in names})
    scheduler.add_job(make_record("n1", [make_step(3)]), None, 0.0)
    scheduler.plan(0.0, 0)
    assert len(set(places_of(scheduler, "n1"))) == 3
