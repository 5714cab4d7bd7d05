Feature: a content that ends the endpoints that run it

  # Seen: in two spans of ten seconds 16 and 18 engines ended one after the other, each 30 to 280 ms
  # after a request reached it; their other streams broke, and a tenth of all requests was lost.
  # How it came about: one content was asked for again and again, at any node, under new ids. The
  # first engine that ran it ended; the stream went on at the next one, as its route allows, and
  # ended that; engines were back after some seconds, and the next try ended them again.
  # Cause: what a request did to endpoints was forgotten with the request. Attempts, tried
  # endpoints and retry budgets are kept by id, and nodes told each other of endpoints that fail
  # alone, so no limit ever held for the content.
  # Proof: these scenarios; before the repair 28 sends, and 55 ends in all, were counted in the first one.

  Scenario: one content comes again and again, at any node
    When a content that ends each engine which runs it is asked for at two nodes in turn
    Then from three seconds after the third end on it reaches engines three times at most
    And each of its callers was told so at once
