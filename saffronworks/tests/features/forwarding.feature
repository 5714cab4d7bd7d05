Feature: routing, retries, generations, configuration and role changes

  Scenario: the longest matching prefix of a host wins, and a split follows its weights
    Given a routing table with nested prefixes and a split of nine to one
    Then the route with the longest matching prefix is found, and none for another host
    And about one request in ten goes to the service of smaller weight, always the same ones

  Scenario: an unrepeatable request runs at most once, and its refusal says correctly if it ran
    Then whatever endpoints answer, an unrepeatable request is sent again only if it was not executed
    And only the refusal of a request that was not executed promises so

  Scenario: a repeatable request is executed at most as often as its route allows
    Then whatever endpoints answer, it runs on two endpoints at most, and on none twice

  Scenario: retries stay within the retry budget
    Then for any arrivals, the retries in any window stay below the node's share of the budget

  Scenario: a generation reserves memory before its prompt is read
    Given a generation, two full decode endpoints and a free one
    Then it asks them in order, prefills once, and opens the stream where memory is reserved
    And a decode endpoint chosen for the prefill reads the prompt itself, until the next restart
    And a caller's first attempt is refused early, and a retry waits longer for memory

  # Guards against a prompt that is sent to a second endpoint while the first one, silent for a second
  # or so, still works on it, because the hold on memory was about to expire.
  Scenario: a prefill outlasts the hold on memory
    Given a generation whose hold is about to expire when its prompt is sent
    Then the prefill has the time of any other
    And memory is reserved again before the prompt or its KV cache is used
    And a KV cache is not used after a failed reservation, and nothing is sent after the deadline

  # Guards against a prompt that goes to another endpoint while the silent one may still work on it.
  Scenario: a prefill endpoint is silent beyond its time
    Then the request is refused as not run if the endpoint may go on, with a time to come again
    And it goes elsewhere if the endpoint has ended, or the answer has begun

  Scenario: failed endpoints are reported to the planner once
    Given a generation rejected by one prefill endpoint and broken off by the next
    Then the one that broke off is reported to the planner, and only once
    And after a lost KV handle, the prefill endpoint that held it is reported

  Scenario: an unrepeatable generation is executed at most once
    Then whatever endpoints answer, an unrepeatable generation runs at most once
    And the refusal of a generation that was executed never promises that it was not

  Scenario: a resumable stream continues at another endpoint after its last complete event
    Given a resumable stream that broke after some events
    Then memory is reserved at another endpoint, and the stream continues there
    And a stream that is not resumable is cut

  Scenario: a stream is split at event boundaries however its bytes arrive
    Then for any split of the bytes only complete events are passed on, with their ids

  Scenario: a failing or slow endpoint ranks lower, and is tried again later
    Given three endpoints, of which one fails and one is much slower
    Then the healthy one ranks first, and after a while the others are tried again
    And an unreachable endpoint ranks last after its first failure

  Scenario: an entry that expired while the store was unavailable stays usable for a while
    Given a directory that was listed before an outage of the store
    Then an entry missing right after the outage stays usable for two seconds
    And a draining entry, or one removed at another time, is dropped at once
    And an entry whose address another endpoint has stays removed, even if the store lists it

  Scenario: many changes of the store within a short time are fetched in few calls
    When a follower hears thirty changes within half a second
    Then the first is known at once, and few calls bring the others

  Scenario: only an outage that may have lasted long lets entries lapse
    Then after a watch that was cut, entries that are missing are gone
    And after a watch that stayed silent for long, they may have lapsed
    And a watch that was lost lets them be used no longer than what is known has to be followed
    And a store that still fails when it is asked anew has been away until then
    And a watch that is lost ends early enough to list anew

  Scenario: an older configuration never replaces a newer one
    Given a forwarder that applied version five
    Then version four is rejected, and version six is applied

  Scenario: one holder orders a surplus prefill endpoint to decode
    Given two prefill endpoints out of five engines
    Then after two seconds the duty is taken, and one engine is ordered to decode
    And a node that finds the duty taken gives no order
    And of two hundred nodes a few try to take the duty, and the others only after a delay
    And a node that takes over the duty waits for the lease to expire before it orders
    And an unanswered order is repeated to the same engine with a higher fencing token
    And several surplus prefill endpoints are ordered in turn, without waiting for each change

  Scenario: a service without a prefill endpoint gets one
    Given a service whose only prefill endpoint has left
    Then one of its decode engines is ordered to prefill shortly after, if enough others remain
    And an order ends when its engine has left

  Scenario: a service without a decode endpoint gets one
    Given a service whose only decode engine has left, with prefill endpoints remaining
    Then one of them is ordered to decode shortly after, even if it is the last engine
    And at a start, prefill endpoints that register first wait for others to register
    And once the last engine decodes, no further order is given

  Scenario: a holder that was suspended after its confirmation gives no order
    Given a role keeper whose confirmation of the duty is too old
    Then no order reaches the engine

  # Guards against a holder of the duty whose orders reach no engine, while no other node may order.
  Scenario: a node that reaches no endpoint neither takes nor keeps the duty
    Given a role keeper whose node reaches no endpoint
    Then it doesn't write to the duty
