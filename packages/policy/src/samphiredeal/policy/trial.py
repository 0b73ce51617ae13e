"""Trials of a configuration: can its guarantees be packed, also without a zone?"""

from samphiredeal.model import configuration as config
from samphiredeal.policy.cluster import Worker
from samphiredeal.policy.ledger import Ledger


def check(infos, configuration):
    """Return (reason to refuse or None, warnings) for accounts' guarantees.

    Guarantees that cannot be packed onto the workers are refused; those that
    would not survive the loss of one zone give warnings.
    """
    if not infos:
        return None, ["no worker is known, so the guarantees are not checked"]
    zones = sorted({info.zone for info in infos})
    shapes = _guaranteed_shapes(configuration)
    # Workers that are too small for every slice need not be packed.
    infos = [i for i in infos if any(s.fits(i.capacity) for s in shapes)]
    unplaced = _trial_ledger(infos, configuration, None).unplaced()
    if unplaced:
        piece = unplaced[0]
        lack = f"{len(unplaced)} slices, first {tuple(piece.line.shape)}"
        return f"guarantees do not fit: account {piece.account}: {lack}", []
    return None, [
        f"guarantees do not survive the loss of zone {zone}"
        for zone in zones
        if _trial_ledger(infos, configuration, zone).unplaced()
    ]


class _TrialCluster:
    """Empty workers without indexes, for a trial of a configuration."""

    def __init__(self, workers):
        self.workers = {worker.name: worker for worker in workers}


def _trial_ledger(infos, configuration, without_zone):
    """Return a ledger of the configuration on empty workers, without one zone."""
    workers = [
        Worker(info, configuration.labels_of(info))
        for info in infos
        if info.zone != without_zone
    ]
    ledger = Ledger(_TrialCluster(workers))
    ledger.configure(configuration.accounts)
    return ledger


def _guaranteed_shapes(configuration):
    """Return the distinct shapes of all guarantees."""
    return {
        line.shape
        for document in configuration.accounts.values()
        for line in config.guarantees(document)
    }
