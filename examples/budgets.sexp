; What a fleet whose nodes may talk shares. `shorepath check --budgets FILE` says what is wrong with it, and what is left
; to be divided by demand. The node does not divide by it yet.
(budgets
  (nodes 300) (term 5 s) (drift-ppm 500)

  ; A tenant's quota, requests a second; a node without a grant may still take two.
  (budget quota:fyn-gartnerier (per second) (whole 4700) (floor 5) (reserve 2) (burst 200 ms))
  (budget quota:sjaelland-syd (per second) (whole 1300) (floor 1) (reserve 1) (burst 200 ms))

  ; Probes and calls to discovery, over the whole fleet.
  (budget probes (per second) (whole 3000) (reserve 1))
  (budget lists (per second) (whole 600) (floor 1))

  ; Valves in motion at once; a command takes five seconds at most.
  (budget flight:actuator-cmd (per moment) (whole 1200) (floor 1) (reserve 1) (longest 5 s)))
