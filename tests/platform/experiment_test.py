"""Tests of the experiment tool's report, on results made by hand."""

import argparse
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "platform" / "bench"))

import experiment  # noqa: E402

SITE = pathlib.Path("site.toml")
OPTIONS = argparse.Namespace(base="HEAD", why="a hypothesis", cpu=False, seeds="1,2")


def results_of(*worths, **trial):
    """Pairs of one day, a seed each."""
    return {
        experiment.Play(SITE, "calm", seed): (experiment.Result(base), experiment.Result(other, **trial))
        for seed, (base, other) in enumerate(worths)
    }


class ReportTest(unittest.TestCase):
    def test_mean_median_and_better(self):
        text = experiment.report(results_of((0.5, 0.6), (0.5, 0.7), (0.5, 0.45)), "WORK", OPTIONS)
        self.assertIn("0.500   0.583   +0.083   +0.100    2 of 3", text)
        self.assertIn("no rule broken", text)
        self.assertIn("all floors reached", text)

    def test_broken_rules_and_missed_floors_are_named(self):
        results = results_of((0.5, 0.9), breaks={"TWICE": 1}, short=("0.2 of a class; the floor is 0.3",))
        text = experiment.report(results, "WORK", OPTIONS)
        self.assertIn("calm --seed 0: trial broke ['TWICE']", text)
        self.assertIn("calm --seed 0: trial: 0.2 of a class", text)

    def test_a_small_difference_of_few_pairs_is_called_noise(self):
        self.assertIn("(noise)", experiment.report(results_of((0.5, 0.51)), "WORK", OPTIONS))
        self.assertNotIn("(noise)", experiment.report(results_of((0.5, 0.6)), "WORK", OPTIONS))

    def test_classes_and_prices_are_means_of_both_sides(self):
        results = results_of((0.5, 0.6), classes={"log": 0.4}, prices={"bytes": 0.01})
        text = experiment.report(results, "WORK", OPTIONS)
        self.assertIn("log                    0.000   0.400   +0.400", text)
        self.assertIn("bytes", text)


if __name__ == "__main__":
    unittest.main()
