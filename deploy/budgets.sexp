; What a fleet whose nodes may talk shares: put the addresses of your own in, and give each file that goes into service a greater
; version. `shorepath check --budgets FILE --config CONFIG` says what is wrong with it, and what is left to be divided by demand.
; The platform's `run` does not name it: nodes there may not talk, and all of this is off.
(budgets
  (version 1) (term 5 s) (drift-ppm 500)

  ; Who divides: one, three or five processes of shorepath-divider, each with a disk that lasts.
  (divider d0 "127.0.0.1:7800") (divider d1 "127.0.0.1:7801") (divider d2 "127.0.0.1:7802")

  ; Among whom: every node by the `name` of its configuration, and where datagrams reach it. Room for more is kept by (nodes N).
  (nodes 300)
  (node n0 "127.0.0.1:7900") (node n1 "127.0.0.1:7901")

  ; A tenant's quota, requests a second; a node without a grant may still take two.
  (budget quota:fyn-gartnerier (per second) (whole 4700) (floor 5) (reserve 2) (burst 200 ms))
  (budget quota:sjaelland-syd (per second) (whole 1300) (floor 1) (reserve 1) (burst 200 ms))

  ; Further attempts, probes and calls to discovery, over the whole fleet.
  (budget retries (per second) (whole 600) (reserve 1))
  (budget probes (per second) (whole 3000) (reserve 1))
  (budget lists (per second) (whole 600) (floor 1))

  ; Of what each server that has just started bears, in thousandths.
  (budget cold (per second) (whole 1000))

  ; Valves in motion at once; a command takes five seconds at most.
  (budget flight:actuator-cmd (per moment) (whole 1200) (floor 1) (reserve 1) (longest 5 s)))
