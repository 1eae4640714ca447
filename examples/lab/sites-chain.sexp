; Sites are lost one after the other until one is left.
(sites-scenario
  (name chain)
  (seed 0)
  (length 100 s)
  (sites 5) (nodes 10)
  (servers 20) (work 50 ms) (cold 0.2) (warm-up 10 s)
  (bears 240) (load 0.4) (lent 3)
  (alone 5 s) (hold 10 s)
  (way 2 8 ms) (loss 0.1)
  (counted 10 100 s)
  (lose (site 1) (at 20 s)) (lose (site 2) (at 35 s)) (lose (site 3) (at 50 s)) (lose (site 4) (at 65 s)))
