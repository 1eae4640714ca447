; What each policy makes of more and more load on the fleet of ten.
(experiment
  (name load)
  (scenario "calm.sexp")
  (vary (of arrivals rate) (over 20 30 40 50 60 70 80))
  (vary policy (over rfq random round-robin least-of-two peak-ewma wfq-window gradient clairvoyant))
  (replications 10)
  (seed 1)
  (show score service))
