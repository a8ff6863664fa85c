"""Markdown tables and straight-line fits."""


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    for row in rows:
        lines.append("| " + " | ".join(show(cell) for cell in row) + " |")
    return "\n".join(lines) + "\n"


def show(cell):
    if isinstance(cell, float):
        if abs(cell) >= 100:
            return f"{cell:,.0f}"
        return f"{cell:.3g}"
    if isinstance(cell, int):
        return f"{cell:,}"
    return str(cell)


def fit(xs, ys):
    """Least-squares fit; returns (intercept, slope)."""
    n = len(xs)
    mean_x, mean_y = sum(xs) / n, sum(ys) / n
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    return mean_y - slope * mean_x, slope


def fit_line(name, unit, xs, ys):
    intercept, slope = fit(xs, ys)
    return f"Fit: {name} = {intercept:.4g} + {slope:.4g} x ({unit})\n"
