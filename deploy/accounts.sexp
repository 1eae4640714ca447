; Where tenants stand with the business. A file is a whole: who is not named is good. Each file that is handed out needs a greater
; number, and its code anew beside it (`accounts.sexp.hmac`): docs/sites.md. Any one node may be handed it, it tells the others.
(accounts
  (number 12)
  ; Nothing new is taken from then on; what was taken is finished. Unix time in seconds: `date -d 2026-12-07 +%s`.
  (account sjaelland-syd (standing closing) (from 1764633600 s) (reason "unpaid since October"))
  ; Good, warned, closing, closed (nothing runs any more), reopened.
  (account fyn-gartnerier (standing warned) (reason "second reminder")))
