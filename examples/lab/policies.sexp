; The module beside what else could be run, at two loads.
(experiment
  (name policies)
  (scenario "odense.sexp")
  (set length 20 s)
  (vary (of arrivals rate) (over 40 60))
  (vary policy (over rfq random least-of-two peak-ewma wfq-window gradient clairvoyant))
  (replications 5)
  (seed 1)
  (show score service p99))
