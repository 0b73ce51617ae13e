"""Sharing an upstream's slots among the entries whose requests wait.

An entry that just got an answer knows first that a slot is free. Without shares
it would take that slot again and again, and requests at other entries, urgent
ones too, would never get one.
"""


class SlotShares:
    """Which entry's dispatches hold the slots, and where requests wait."""

    def __init__(self, slots):
        self._slots = slots
        self._waiting = {}
        self._holder_of = {}

    def set_waiting(self, link, waiting):
        """Take in how many requests wait at an entry."""
        if waiting:
            self._waiting[link] = waiting
        else:
            self._waiting.pop(link, None)

    def take(self, link, dispatch_id):
        """Note that a dispatch of an entry holds a slot."""
        self._holder_of[dispatch_id] = link

    def give_back(self, dispatch_id):
        """Note that a dispatch holds its slot no longer."""
        self._holder_of.pop(dispatch_id, None)

    def drop(self, link):
        """Forget that requests wait at an entry whose link is gone."""
        self._waiting.pop(link, None)

    def neediest(self):
        """Return the link of the waiting entry furthest below its share, or None."""
        best = max(self._waiting, key=self.left, default=None)
        return best if best is not None and self.left(best) else None

    def left(self, link):
        """Return how many more slots an entry may hold while others wait."""
        others = len(self._waiting) - (link in self._waiting)
        if not others:
            return self._slots
        share = -(-self._slots // (others + 1))
        held = sum(holder is link for holder in self._holder_of.values())
        return max(0, share - held)
