"""The report as text, compared with a snapshot, and as an HTML page.

The report shows verdicts, burn and zone episodes; the page loads nothing external.
"""

from samphiredeal.cli import report

DOCUMENT = {
    "minute": 1000,
    "complete": True,
    "burn": [
        {
            "account": "halls",
            "klass": "urgent",
            "window": "5m",
            "total": 100,
            "by_verdict": {"ran": 97, "not-run": 2, "may-have-run": 1},
            "late": 0,
            "rate": 3.0,
        }
    ],
    "jobs": {"normal": {"done": 3, "mean_completion_s": 61.5}},
    "episodes": [["zone-a", 990, 995], ["zone-b", 998, None]],
    "minutes": {
        "999": {
            "requests": {
                "halls/urgent": {"ran": 97, "not-run": 2, "may-have-run": 1, "late": 0}
            },
            "jobs": {"normal": [3, 184.5]},
            "fragmentation": 0.25,
        }
    },
}


def test_text(snapshot):
    assert report.as_text(DOCUMENT) == snapshot


def test_partial_report_is_marked():
    assert report.as_text({**DOCUMENT, "complete": False}).startswith("PARTIAL")


def test_page_is_self_contained():
    page = report.as_page(DOCUMENT)
    assert page.count("<svg") == 2
    assert "src=" not in page
    assert "<link" not in page
    assert 'class="bad">3.00' in page
