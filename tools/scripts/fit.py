#!/usr/bin/env python3
"""Fits a line to each series of a measurement file, prints a table, and plots each series as SVG with gnuplot.

usage: fit.py MEASUREMENTS.tsv PLOT_FOLDER
"""
import shutil
import subprocess
import sys


def read(path):
    series = {}
    with open(path) as rows:
        for line in rows:
            name, x, value = line.rstrip("\n").split("\t")
            series.setdefault(name, []).append((float(x), float(value)))
    return series


def fit(points):
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = 0.0 if sum_of_squares == 0 else sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    intercept = mean_y - slope * mean_x
    largest_residual = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, largest_residual


def plot(name, points, intercept, slope, folder):
    data = "\n".join(f"{x} {y}" for x, y in sorted(points))
    script = f"""set terminal svg size 640,400
set output '{folder}/{name}.svg'
set title '{name.replace("_", " ")}'
set key left
$data << END
{data}
END
plot $data with points pt 7 title 'measured', {intercept} + {slope}*x title 'fit'
"""
    subprocess.run(["gnuplot"], input=script.encode(), check=True)


def main():
    path, folder = sys.argv[1:3]
    print("| series | smallest x | largest x | at x = 0 | slope for each x | largest residual |")
    print("|---|---|---|---|---|---|")
    for name, points in read(path).items():
        intercept, slope, largest_residual = fit(points)
        xs = [x for x, _ in points]
        print(f"| {name} | {min(xs):g} | {max(xs):g} | {intercept:.4g} | {slope:.4g} | {largest_residual:.3g} |")
        if shutil.which("gnuplot"):
            plot(name, points, intercept, slope, folder)


if __name__ == "__main__":
    main()
