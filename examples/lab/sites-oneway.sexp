; What one site says does not go out, then what others say does not come in, then words are slow, with one word in ten lost.
(sites-scenario
  (name one-way)
  (seed 0)
  (length 160 s)
  (sites 3) (nodes 6)
  (servers 20) (work 50 ms) (cold 0.2) (warm-up 10 s)
  (bears 240) (load 0.7) (lent 3)
  (alone 5 s) (hold 10 s)
  (way 2 8 ms) (loss 0.1)
  (counted 10 160 s)
  (cut (site 0) (at 20 s) (back 40 s) (way out))
  (cut (site 0) (at 65 s) (back 85 s) (way in))
  (slow (site 0) (at 110 s) (back 130 s) (delay 2 s)))
