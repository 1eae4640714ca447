; The fleet that is measured with real processes (docs/sites.md): small, so that a node has few requests a second.
(sites-scenario
  (name site-loss-small)
  (seed 0)
  (length 76 s)
  (sites 3) (nodes 6)
  (servers 15) (work 100 ms) (cold 0.2) (warm-up 10 s)
  (bears 150) (load 0.4) (lent 3)
  (alone 2500 ms) (hold 5 s)
  (way 0 2 ms)
  (wanted 2 s)
  (counted 28 42 s)
  (lose (site 2) (at 20 s) (back 42 s)))
