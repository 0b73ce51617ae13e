"""Jobs that outgrow a row of the store."""

from graph_builders import STEP
from graph_world import make_graph_world

from samphiredeal.model import answers


# Guards against jobs that are accepted and cannot be stored, and against callers that
# wait for the answer to a write that the store rejects (inc-progress-rows).
def test_job_that_cannot_fit_is_refused_with_its_size():
    world = make_graph_world()
    step = {**STEP, "data-rack": "r" * 190, "requirements": "l" * 190}
    steps = [{**step, "after": list(range(number))} for number in range(150)]
    answer = world.submit("e0", "a1", steps)
    assert answer.kind == answers.MALFORMED
    assert "bytes exceed the limit" in answer.reason
    assert world.state("e0", "a1") == answers.NO_JOB
