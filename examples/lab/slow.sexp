; Something that all servers depend on makes them slower for a while.
(scenario
  (name slow)
  (seed 1)
  (length 20 s)
  (policy rfq)
  (zones odense vejle aarhus)
  (nodes (count 4) (skew 1))
  (arrivals (rate 50) (cv 1.2))

  (class zone-plan (share 0.27) (work 240 ms) (cv 0.6) (wanted 200 ms) (stretch 2)
    (give-up 5 s) (worth 3) (late 0.3))
  (class day-forecast (share 0.26) (work 480 ms) (cv 0.6) (wanted 400 ms) (stretch 2)
    (give-up 6 s) (worth 2) (late 0.25))
  (class sensor-check (share 0.24) (work 120 ms) (cv 0.6) (wanted 120 ms) (stretch 1.75)
    (give-up 5 s) (worth 5) (late 0.25))
  (class actuator-cmd (share 0.23) (work 120 ms) (cv 0.6) (wanted 120 ms) (stretch 2.5)
    (give-up 5 s) (worth 3) (late 0.3) (repeat never))

  (tenant fyn-gartnerier (share 0.79) (quota 47))
  (tenant sjaelland-syd (share 0.21) (quota 13))
  (clients (retries 1) (wait 300 900 ms))

  (servers (count 10) (queue 8) (crowd 0.02) (connections 64) (saved 1 s)
    (kind hurtig (share 0.19) (cores 2) (speed 1.4 1.8))
    (kind standard (share 0.37) (cores 2) (speed 0.85 1.1))
    (kind gammel (share 0.44) (cores 2) (speed 0.51 0.69)))
  (network (near 0.2 0.4 ms) (far 1.4 2.6 ms) (jitter 0.2) (handshake 1 ms))
  (discovery (lag 0.5 3 s))

  (fault slow (at 6 s) (for 6 s) (size 2)))
