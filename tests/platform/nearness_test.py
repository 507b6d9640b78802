"""The days of a hunt are told in the order of how near they came to a floor."""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "platform" / "bench"))

import nearness

SITE = """
[[day]]
name = "quiet"
floor_classes = [0.5]

[[day]]
name = "busy"
"""


def played(name, served, classes, rules=None, short=()):
    return {"name": name, "served": served, "by_class": classes, "rules": rules or {}, "short": list(short)}


class NearnessTest(unittest.TestCase):
    def days(self, *played_days):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as site:
            site.write(SITE)
            site.flush()
            floors = nearness.floors_of(site.name)
        return list(nearness.days_of({"days": played_days}, floors))

    def test_floor_of_a_day_of_the_deployment_with_another_seed(self):
        (day,) = self.days(played("quiet --seed 7", 0.9, [0.6, None, 0.9]))
        self.assertEqual(day.floor, 0.5)
        self.assertAlmostEqual(day.margin, 1.2)

    def test_without_a_floor_a_quarter_of_all_counts(self):
        for name in ("busy --seed 7", "mix --seed 7"):
            (day,) = self.days(played(name, 0.8, [0.3]))
            self.assertIsNone(day.floor)
            self.assertAlmostEqual(day.margin, 1.5)

    def test_a_day_that_was_given_up_is_left_out(self):
        self.assertEqual(self.days(played("quiet", 0.0, None), played("quiet", 0.0, [])), [])

    def test_broken_days_first_then_missed_floors_then_the_nearest(self):
        days = self.days(
            played("quiet --seed 1", 0.9, [0.9]),
            played("quiet --seed 2", 0.9, [0.51]),
            played("quiet --seed 3", 0.9, [0.45], short=["0.45 of class a; the floor is 0.5"]),
            played("quiet --seed 4", 0.9, [0.8], rules={"RECOVER": 1}),
        )
        lines = nearness.report(days, most=3)
        self.assertEqual([line.split()[2] for line in lines[1:]], ["4", "3", "2"])
        self.assertIn("RECOVER", lines[1])
        self.assertIn("the floor is 0.5", lines[2])

REPORT = """
from second          asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
30                     500     490      2       8      0        0  0.980    149.3    528.2
46                     860     235      0     624      1        0  0.430    284.2    700.0
48                     833     256      1     560     16        0  0.450    284.2    700.0
50                     167      43      0     120      4        0  0.400    284.2    700.0

what happened
     0.3 s to     20.3 s  burst
  32.064 s to   48.964 s  closing (power_off_all) one, two and 10 more
"""


class ReturnTest(unittest.TestCase):
    def test_rows_from_the_time_by_which_callers_are_to_be_served_again(self):
        found = nearness.return_of("a day", REPORT)
        self.assertEqual((found.asked, found.served), (833 + 167, 256 + 1 + 43))
        self.assertAlmostEqual(found.share, 0.3)

    def test_a_day_without_a_last_fault_has_no_return(self):
        self.assertIsNone(nearness.return_of("a day", REPORT.replace("closing", "other")))

    def test_the_worst_first(self):
        returns = [nearness.Return("good", 100, 90), nearness.Return("bad", 100, 30)]
        self.assertEqual([line.split()[-1] for line in nearness.report_returns(returns, 2)], ["bad", "good"])


if __name__ == "__main__":
    unittest.main()
