; The sites of a fleet whose nodes may talk and have a disk that lasts: put the addresses of your own in, and give each file that goes
; into service a greater version. `shorepath check --sites FILE --config CONFIG` says what is wrong with it, and with the keys and the
; accounts that it names. The platform's `run` does not name it: all of this is off there. What it means: docs/sites.md.
(sites
  (version 1) (fleet "odense")
  ; Paths begin where this file lies. The key is made on the spot, mode 0600, the same for all nodes.
  (key "fleet.key") (accounts "accounts.sexp")

  ; Standing is confirmed by what was heard within `confirm`; a site that nobody heard of for `alone` is lost; load and keys move, and a
  ; lost site counts as back, only after `hold`.
  (confirm 3 s) (alone 5 s) (hold 10 s)
  ; Placements go to the disk and to other nodes in groups of so long; a crash may lose what came within that time and may run again.
  (group 50 ms)

  ; Where datagrams reach each node, by the `name` of its configuration, and what the site's servers do in a second when they are warm.
  (site west (node n0 "127.0.0.1:7950") (node n1 "127.0.0.1:7951") (bears 400))
  (site east (node n2 "127.0.0.1:7952") (node n3 "127.0.0.1:7953") (bears 300))
  (site north (node n4 "127.0.0.1:7954") (node n5 "127.0.0.1:7955") (bears 300))

  ; Jobs that may be begun for a tenant whose standing can't be confirmed, over all sites; after `shrink` alone only the reserve is left.
  (credit fyn-gartnerier (jobs 6000) (reserve 600) (shrink 60 s))
  (credit sjaelland-syd (jobs 600) (reserve 0) (shrink 10 s))

  ; What other sites' clients may have of a site in any case, in hundredths of what it bears, by class.
  (lend west (class sensor-check (part 2)) (class zone-plan (part 1)))
  (lend east (class sensor-check (part 2)) (class zone-plan (part 1)))
  (lend north (class sensor-check (part 2)) (class zone-plan (part 1)))
  ; Hundredths of what is spare that a class keeps, though others are worth more.
  (least zone-plan 20)

  ; Classes of which each key has one home. The file of budgets has a budget for each node then: docs/sites.md.
  (home actuator-cmd)

  ; Come back from a loss of power in steps: docs/recovery.md. Without it a node serves at once, by what it finds.
  ; (recover (remember 64 MiB) (answer 64 KiB) (outlive 5 s) (peers 3 s) (catch-up 2 s))
  )
