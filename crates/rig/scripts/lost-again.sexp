; A site is lost, comes back while its load and its keys are still with others, and is lost again in each step of its return.
(script (seed 11) (length 20 s) (sites 3) (nodes 6) (servers 9) (dividers 3) (rate 48)
  (at 1 s (kill-site (site 2) (disk kept) (for 4500 ms)))
  (at 7 s (kill-site (site 2) (disk kept) (for 500 ms)))
  (at 9 s (kill-site (site 2) (disk kept) (for 500 ms)))
  (at 11500 ms (halt-site (site 2) (for 3500 ms))))
