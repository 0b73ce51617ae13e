"""Check whether a configuration's guarantees fit the workers, also without a zone."""

from samphiredeal.model import configuration as config
from samphiredeal.policy.cluster import Worker
from samphiredeal.policy.ledger import Ledger


def check(infos, configuration):
    """Return (reason to refuse or None, warnings) for the accounts' guarantees.

    Guarantees that cannot be packed onto the workers are refused; guarantees that
    cannot be packed without one of the zones cause a warning.
    """
    if not infos:
        return None, ["no worker is registered, so the guarantees are not checked"]
    zones = sorted({info.zone for info in infos})
    shapes = _guaranteed_shapes(configuration)
    # Workers too small for any slice are left out.
    infos = [i for i in infos if any(s.fits(i.capacity) for s in shapes)]
    unplaced = _pack_ledger(infos, configuration, None).unplaced()
    if unplaced:
        piece = unplaced[0]
        detail = f"{len(unplaced)} slices, first {tuple(piece.guarantee.shape)}"
        return f"guarantees do not fit: account {piece.account}: {detail}", []
    return None, [
        f"guarantees do not survive the loss of zone {zone}"
        for zone in zones
        if _pack_ledger(infos, configuration, zone).unplaced()
    ]


class _EmptyCluster:
    """Cluster of empty workers without indexes; has what `Ledger` uses."""

    def __init__(self, workers):
        self.workers = {worker.name: worker for worker in workers}


def _pack_ledger(infos, configuration, without_zone):
    """Return a ledger packed onto empty workers outside `without_zone`."""
    workers = [
        Worker(info, configuration.labels_of(info))
        for info in infos
        if info.zone != without_zone
    ]
    ledger = Ledger(_EmptyCluster(workers))
    ledger.configure(configuration.accounts)
    return ledger


def _guaranteed_shapes(configuration):
    """Return the distinct shapes of all guarantees."""
    return {
        guarantee.shape
        for document in configuration.accounts.values()
        for guarantee in config.guarantees(document)
    }
