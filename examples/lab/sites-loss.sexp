; One of three sites is lost with its nodes and servers, and comes back cold.
(sites-scenario
  (name site-loss)
  (seed 0)
  (length 90 s)
  (sites 3) (nodes 6)
  ; Each site's servers do 400 requests a second at most; the file says that they bear 240 in time.
  (servers 20) (work 50 ms) (cold 0.2) (warm-up 10 s)
  (bears 240) (load 0.7) (lent 3)
  (alone 5 s) (hold 10 s)
  (way 2 8 ms)
  (counted 30 50 s)
  (lose (site 0) (at 20 s) (back 55 s)))
