; Disks come back empty and old where a site was alone, and a divider dies with its site.
(script (seed 14) (length 20 s) (sites 3) (nodes 6) (servers 9) (dividers 3) (rate 48)
  (at 1 s (cut-site (site 2) (way both) (for 4 s)))
  (at 3 s (kill-node (node 4) (disk lost) (for 300 ms)))
  (at 6 s (kill-node (node 1) (disk old) (for 500 ms)))
  (at 7 s (kill-divider (divider 0) (lost no) (for 2 s)))
  (at 8 s (kill-site (site 1) (disk kept) (for 1 s)))
  (at 10 s (kill-site (site 0) (disk old) (for 1 s))))
