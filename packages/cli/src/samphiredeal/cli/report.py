"""The report on service-level burn, as text and as an HTML page with plots."""

import html

import pygal
from pygal.style import Style

_PLOT_POINTS = 60
# Colours of ran, not-run and may-have-run.
_STYLE = Style(
    colors=("#4c9f70", "#e0a030", "#b00020"),
    background="white",
    plot_background="white",
    guide_stroke_color="#dddddd",
    major_guide_stroke_color="#bbbbbb",
    font_family="sans-serif",
)

_PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>samphiredeal report</title>
<style>
body {{ font: 15px/1.5 system-ui, sans-serif; margin: 2em auto; max-width: 62em; }}
table {{ border-collapse: collapse; margin: 1em 0; width: 100%; }}
th, td {{ border-bottom: 1px solid #ddd; padding: .3em .7em; text-align: right; }}
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) {{ text-align: left; }}
.bad {{ color: #b00020; font-weight: 600; }}
figure {{ margin: 1.5em 0; }} svg {{ width: 100%; height: auto; }}
</style></head><body>
<h1>Service-level burn</h1>
<p>{summary}</p>
<table><tr><th>Account</th><th>Class</th><th>Window</th><th>Requests</th><th>ran</th>
<th>not-run</th><th>may-have-run</th><th>late</th><th>Burn rate</th></tr>
{rows}</table>
<p>A burn rate above 1 uses up the error budget before its period ends.</p>
<h2>Jobs</h2>
{jobs}
<h2>Availability zones out</h2>
{episodes}
{plots}
</body></html>
"""


def as_text(document):
    """Return the report as lines of text."""
    lines = [_summary(document), ""]
    lines.append(
        f"{'account':16} {'class':8} {'window':6} {'requests':>9} {'not-run':>8} "
        f"{'in doubt':>8} {'late':>6} {'burn':>8}"
    )
    for burn in document["burn"]:
        verdicts = burn["by_verdict"]
        lines.append(
            f"{burn['account']:16} {burn['klass']:8} {burn['window']:6} "
            f"{burn['total']:9} {verdicts['not-run']:8} "
            f"{verdicts['may-have-run']:8} {burn['late']:6} {burn['rate']:8.2f}"
        )
    for klass, jobs in document["jobs"].items():
        lines.append(
            f"jobs {klass}: {jobs['done']} done, "
            f"mean completion {jobs['mean_completion_s']} s"
        )
    for zone, out, back in document["episodes"]:
        lines.append(f"zone {zone}: {_episode(document, out, back)}")
    return "\n".join(lines)


def as_page(document):
    """Return the report as one self-contained HTML page."""
    return _PAGE.format(
        summary=html.escape(_summary(document)),
        rows="\n".join(_row(burn) for burn in document["burn"]),
        jobs=_list(
            f"{klass}: {jobs['done']} done, mean completion "
            f"{jobs['mean_completion_s']} s"
            for klass, jobs in document["jobs"].items()
        ),
        episodes=_list(
            f"{zone}: {_episode(document, out, back)}"
            for zone, out, back in document["episodes"]
        ),
        plots=_plots(document),
    )


def _summary(document):
    minutes = len(document["minutes"])
    if document["complete"]:
        return f"All entries, {minutes} minutes with work in the last 6 h."
    return f"PARTIAL: the store did not answer; {minutes} minutes of this entry."


def _episode(document, out, back):
    ago = document["minute"] - out
    if back is None:
        return f"out for {ago} min, still out"
    return f"out {ago} min ago for {back - out} min"


def _row(burn):
    verdicts = burn["by_verdict"]
    cells = [burn["account"], burn["klass"], burn["window"], burn["total"]]
    cells += [verdicts["ran"], verdicts["not-run"], verdicts["may-have-run"]]
    cells += [burn["late"]]
    row = "".join(f"<td>{html.escape(str(cell))}</td>" for cell in cells)
    attribute = ' class="bad"' if burn["rate"] > 1 else ""
    return f"<tr>{row}<td{attribute}>{burn['rate']:.2f}</td></tr>"


def _list(items):
    lines = "".join(f"<li>{html.escape(item)}</li>" for item in items)
    return f"<ul>{lines}</ul>" if lines else "<p>None in the last 6 h.</p>"


def _plots(document):
    newest = document["minute"]
    minutes = range(newest - _PLOT_POINTS + 1, newest + 1)
    buckets = [document["minutes"].get(str(minute)) for minute in minutes]
    requests = pygal.StackedBar(**_style("Requests by verdict, last hour"))
    for name in ("ran", "not-run", "may-have-run"):
        requests.add(name, [_count(bucket, name) for bucket in buckets])
    fragmentation = pygal.Line(
        **_style("Fragmentation: free accelerators that no waiting job can use"),
        range=(0, 1),
    )
    fragmentation.add("share", [b and b["fragmentation"] for b in buckets])
    for chart in (requests, fragmentation):
        chart.x_labels = [f"-{newest - minute} min" for minute in minutes]
        chart.x_labels_major = [f"-{n} min" for n in range(0, _PLOT_POINTS, 15)]
    charts = (requests, fragmentation)
    return "".join(
        f"<figure>{chart.render(is_unicode=True)}</figure>" for chart in charts
    )


def _style(title):
    return {
        "title": title,
        "style": _STYLE,
        "truncate_label": -1,
        "height": 300,
        "width": 900,
        "js": (),
        "disable_xml_declaration": True,
        "show_minor_x_labels": False,
        "dots_size": 2,
        "legend_at_bottom": True,
    }


def _count(bucket, name):
    if bucket is None:
        return 0
    return sum(counts[name] for counts in bucket["requests"].values())
