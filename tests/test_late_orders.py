"""Orders that reach an agent late, on a link that the scheduler has given up.

What stands between entries and agents may hold back one connection while others pass.
By the time its orders arrive, the scheduler may have concluded from later reports that
the runs never began, and have started the tasks elsewhere.
"""

from graph_world import make_graph_world

from samphiredeal.wire import codec
from samphiredeal.wire import orders as coding
from samphiredeal.wire.messages import WorkOrders

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
