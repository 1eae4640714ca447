; One of three sites is cut off for a minute; its own clients still reach it. The account acme asks for a tenth, and has a credit for that.
(sites-scenario
  (name site-alone)
  (seed 0)
  (length 120 s)
  (sites 3) (nodes 6)
  (servers 20) (work 50 ms) (cold 0.2) (warm-up 10 s)
  (bears 240) (load 0.7) (lent 3)
  (acme 0.1) (credit (jobs 6000) (reserve 5400) (shrink 30 s))
  (alone 5 s) (hold 10 s)
  (way 2 8 ms)
  (counted 20 80 s)
  (cut (site 0) (at 20 s) (back 80 s)))
