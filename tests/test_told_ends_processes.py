"""Ends that callers were told of, and losses of processes in a silent store.

Real processes and sockets: the store is silent for all, tasks end, callers ask all
entries for their states on open connections, and processes are lost. Whatever is lost,
no task of a job that was shown as completed starts again, and no entry takes back what
callers were told. In memory: test_told_ends.py.
"""

import concurrent.futures
import urllib.request

import process_losses
import pytest

from samphiredeal.standins.launch import LocalCluster

# Clusters that run at the same time.
_CLUSTERS = 2


@pytest.fixture(scope="module")
def plays(request, tmp_path_factory):
    """Return {loss: future of what was seen}; only selected losses are played."""
    items = [getattr(item, "callspec", None) for item in request.session.items]
    names = [item.params["loss"] for item in items if item and "loss" in item.params]
    with concurrent.futures.ThreadPoolExecutor(_CLUSTERS) as pool:
        yield {
            name: pool.submit(
                process_losses.play,
                str(tmp_path_factory.mktemp("cluster")),
                process_losses.LOSSES[name],
            )
            for name in names
            if name in process_losses.LOSSES
        }


# Guards against a start, or an earlier state, after `completed` was told from memory of
# processes that are lost before the store is back (inc-twice).
@pytest.mark.parametrize("loss", process_losses.LOSSES)
def test_told_end_outlasts_a_loss_of_processes(plays, loss):
    seen = plays[loss].result()
    assert process_losses.ends_in_silence(seen)
    assert process_losses.violations(seen) == []
    assert process_losses.told_in_silence(seen) == []


# Guards against plays in which the store still answers some callers, or some calls.
def test_silent_store_answers_nobody(tmp_path):
    cluster = LocalCluster(str(tmp_path))
    try:
        cluster.start_standin("platform", "platform")
        url = cluster.url_of("platform")
        feed = "rows-feed?table={}&after=0&wait-ms=100"
        paths = [
            path.format(table)
            for table in ("samphiredeal", "op")
            for path in ("rows-get?table={}", feed)
        ]
        assert all(_answers(f"{url}/api/{path}") for path in paths)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            # These calls wait for a change when the store becomes silent.
            long_feed = feed.replace("100", "600")
            waiting = [
                pool.submit(_answers, f"{url}/api/{long_feed.format(table)}", 1.1)
                for table in ("samphiredeal", "op")
            ]
            process_losses.set_silent(cluster, True)
            asked = [pool.submit(_answers, f"{url}/api/{path}") for path in paths]
            assert not any(future.result() for future in asked + waiting)
        process_losses.set_silent(cluster, False)
        assert all(_answers(f"{url}/api/{path}") for path in paths)
    finally:
        cluster.close()


def _answers(url, seconds=0.6):
    try:
        with urllib.request.urlopen(url, timeout=seconds):
            return True
    except OSError:
        return False
