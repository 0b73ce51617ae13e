"""Share an upstream's slots fairly among the entries with waiting requests.

The entry that receives an answer is the first to learn of the free slot. Without
shares it would reuse that slot indefinitely and starve the requests at other
entries, urgent ones included.
"""


class SlotShares:
    """Track which entries hold slots and how many requests wait at each."""

    def __init__(self, slots):
        self._slots = slots
        self._waiting = {}
        self._holder_of = {}

    def set_waiting(self, link, waiting):
        """Set the number of requests that wait at an entry."""
        if waiting:
            self._waiting[link] = waiting
        else:
            self._waiting.pop(link, None)

    def acquire(self, link, dispatch_id):
        """Record that a dispatch of an entry holds a slot."""
        self._holder_of[dispatch_id] = link

    def release(self, dispatch_id):
        """Release the slot of a dispatch."""
        self._holder_of.pop(dispatch_id, None)

    def drop(self, link):
        """Remove the waiting requests of an entry whose link is closed."""
        self._waiting.pop(link, None)

    def next_waiting(self):
        """Return the link of the waiting entry furthest below its share, or None."""
        best = max(self._waiting, key=self.slots_left, default=None)
        return best if best is not None and self.slots_left(best) else None

    def slots_left(self, link):
        """Return how many more slots an entry may hold; all if no other waits."""
        others = len(self._waiting) - (link in self._waiting)
        if not others:
            return self._slots
        share = -(-self._slots // (others + 1))
        held = sum(holder is link for holder in self._holder_of.values())
        return max(0, share - held)
