"""Orders that reach an agent late, on a link that the scheduler has given up.

What stands between entries and agents may hold back one connection while others pass.
By the time its orders arrive, the scheduler may have concluded from later reports that
the runs never began, and have started the tasks elsewhere.
"""

from graph_builders import STEP
from graph_world import LEASE_S, check_invariants, make_graph_world
from twisted.internet.defer import succeed

from samphiredeal.model import runs
from samphiredeal.model.runs import Refused
from samphiredeal.model.timing import lease_wait_s
from samphiredeal.wire import codec
from samphiredeal.wire import orders as coding
from samphiredeal.wire.messages import WorkOrders

LONG = {**STEP, "count": 1, "estimated-ms": 40_000}
REMOVED_AFTER_S = 310.0


def keep_orders(world, name):
    """Return a list to which (link, orders) of an agent are appended."""
    kept, transmit = [], world.network.transmit

    def transmit_and_keep(link, data):
        message = codec.decode(data)
        is_orders = isinstance(message, WorkOrders) and message.body
        if is_orders and link.peer_name == name:
            kept.append((link.other, coding.decode_orders(message.body)))
        transmit(link, data)

    world.network.transmit = transmit_and_keep
    return kept


# Guards against TWICE: the numbers began anew for an agent that had been forgotten, so
# that they did not tell later orders from earlier ones.
def test_numbers_of_orders_rise_beyond_the_removal_of_an_agent():
    world = make_graph_world(workers=2)
    kept = keep_orders(world, "w1")
    world.run(2.0)
    for entry in ("e0", "e1", "e2"):
        world.network.cut("w1", entry)
    world.run(REMOVED_AFTER_S)
    before = len(kept)
    world.network.heal()
    world.run(15.0)
    assert len(kept) > before
    sent = [(orders.epoch, orders.number) for _link, orders in kept]
    assert sent == sorted(set(sent))


def starts_in(message):
    """Return the names of the tasks that a message orders to start."""
    if not isinstance(message, WorkOrders) or not message.body:
        return []
    return [order.task for order in coding.decode_orders(message.body).starts]


def keep_starts(world, task, lose=False):
    """Return a list to which (link, message) of each start of a task is appended.

    With `lose`, these messages are not delivered.
    """
    kept, transmit = [], world.network.transmit

    def transmit_and_keep(link, data):
        message = codec.decode(data)
        is_kept = task in starts_in(message)
        if is_kept:
            kept.append((link.other, message))
        if not (is_kept and lose):
            transmit(link, data)

    world.network.transmit = transmit_and_keep
    return kept


def deliver(link, message):
    link.node.clock.run(link.on_message, link, message)


def refuse_until_another_starts(world):
    """Let the first worker refuse starts for want of room until another begins one."""
    refused_by = []

    def refuse_at_first(name, start):
        def start_or_refuse(order, *args):
            refused_by.append(name)
            if refused_by[0] != name or world.event_log.starts():
                return start(order, *args)
            return succeed(Refused(order.task, order.run, runs.NO_ROOM))

        return start_or_refuse

    for name, worker in world.workers.items():
        worker.start = refuse_at_first(name, worker.start)


# Guards against TWICE: a second copy of a start that had been refused arrived once the
# refusal was forgotten, and began while the next run was at work elsewhere.
def test_start_that_was_refused_does_not_begin_by_a_late_copy():
    world = make_graph_world(workers=2)
    # Until then, an agent does not know what an earlier process of it has sent.
    world.run(3.0)
    kept = keep_starts(world, "a1.0.0.0")
    refuse_until_another_starts(world)
    world.submit("e0", "a1", [LONG])
    world.run_until(lambda: kept, 5.0)
    first = kept[0][0].node.name
    world.take_zone_out(world.workers[first].facts.zone)
    world.run_until(lambda: world.event_log.starts("a1.0.0.0"), 5.0)
    world.run(1.0)
    (start,) = world.event_log.starts("a1.0.0.0")
    link, message = kept[0]
    assert start.worker != link.node.name
    deliver(link, message)
    world.run(2.0)
    check_invariants(world)
    assert world.event_log.starts("a1.0.0.0") == [start]


# Guards against TWICE: a start arrived at a VM that had lost its name to another one,
# after the task had begun there.
def test_start_does_not_begin_after_its_vm_has_been_replaced():
    world = make_graph_world(workers=1)
    kept = keep_starts(world, "a1.0.0.0", lose=True)
    world.submit("e0", "a1", [LONG])
    world.run_until(lambda: kept, 5.0)
    for entry in ("e0", "e1", "e2"):
        world.network.cut("w0", entry)
    world.replace_vm("w0")
    late = kept[0]
    world.run(2.5)
    del world.network.transmit
    world.run_until(
        lambda: world.event_log.starts("a1.0.0.0"), lease_wait_s(LEASE_S) + 5.0
    )
    # The agent hears no scheduler and asks the store whether it is evicted.
    world.run(3.0)
    deliver(*late)
    world.run(2.0)
    check_invariants(world)
    assert [one.worker for one in world.event_log.starts("a1.0.0.0")] == ["w0-b"]
