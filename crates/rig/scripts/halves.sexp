; Both halves of a partition take the other for lost; then the last site that is linked to another is not any more.
(script (seed 12) (length 20 s) (sites 3) (nodes 6) (servers 9) (dividers 3) (rate 48)
  (at 1 s (cut-site (site 0) (way both) (for 11 s)))
  (at 2 s (account (name acme) (standing closing) (site 0)))
  (at 6 s (cut-site (site 1) (way both) (for 5 s)))
  (at 8 s (kill-node (node 2) (disk kept) (for 300 ms))))
