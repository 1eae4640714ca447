; A site that returns is lost again in each of its steps.
(sites-scenario
  (name again)
  (seed 0)
  (length 260 s)
  (sites 3) (nodes 6)
  (servers 20) (work 50 ms) (cold 0.2) (warm-up 10 s)
  (bears 240) (load 0.7) (lent 3)
  (alone 5 s) (hold 10 s)
  (way 2 8 ms)
  (counted 30 220 s)
  (lose (site 0) (at 20 s) (back 40 s)) (lose (site 0) (at 41 s) (back 60 s))
  (lose (site 0) (at 63 s) (back 82 s)) (lose (site 0) (at 87 s) (back 106 s))
  (lose (site 0) (at 113 s) (back 132 s)) (lose (site 0) (at 141 s) (back 160 s)))
