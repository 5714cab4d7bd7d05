Feature: decisions on callers' requests on the way to endpoints

  Scenario: the longest prefix of a host wins, and a split keeps its weights
    Given a routing table with nested prefixes and a split of nine to one
    Then the most exact route is found, and none for another host
    And about one request in ten goes to the lesser service, the same one each time

  Scenario: a request that may not repeat runs at most once, and a refusal of it is truthful
    Then whatever endpoints answer, a request that may not repeat is sent on only while it has not run
    And only a request that has not run is refused with a promise

  Scenario: a repeatable request is tried on as many endpoints as its route allows
    Then whatever endpoints answer, it runs on two at most, none of them twice

  Scenario: extra sends stay within the budget
    Then whatever comes, extra sends in any window stay below the node's part

  Scenario: a generation reserves memory before its prompt is read
    Given a generation for two full decode endpoints and a free one
    Then it asks them in order, reads once, and opens the stream where the memory is
    And a decode endpoint that the planner named as reader reads by itself, until it starts over
    And a caller who comes first is refused early, one who returned waits longer

  Scenario: the planner hears once what a request met
    Given a generation whose reader refused and whose next reader broke
    Then the planner hears of the one that broke, and hears it once
    And where a handle was lost, of the reader that had it

  Scenario: a generation that may not repeat streams at most once
    Then whatever endpoints answer, a generation that may not repeat runs once at most
    And a generation that has run is never refused with a promise

  Scenario: a resumable stream goes on elsewhere after its last whole event
    Given a resumable stream that broke after some events
    Then memory is reserved at another endpoint, and the stream goes on there
    And a stream that may not be resumed is cut

  Scenario: a stream is cut at event boundaries wherever its bytes were split
    Then for any split of the bytes only whole events go out, with their ids

  Scenario: an endpoint that fails or is slow gets less, and returns in time
    Given three endpoints of which one fails and one is far slower
    Then the sound one is first, and after a while the others are tried again
    And an endpoint that cannot be reached is passed over at its first failure

  Scenario: an entry that lapsed while the store was away stays usable for a while
    Given a directory that was listed before an outage of the store
    Then an entry missing right after it stays usable for two seconds
    And one that was draining, or that goes at another time, is gone at once
    And one whose address another endpoint has stays gone, whatever the store still says

  Scenario: changes of the store that come in swarms are taken together
    When a follower hears thirty changes within half a second
    Then the first is known at once, and few calls bring the others

  Scenario: only an outage that may have lasted long lets entries lapse
    Then after a watch that was cut, entries that are missing are gone
    And after a watch that stayed silent for long, they may have lapsed
    And a watch that was lost lets them be used no longer than what is known has to be followed
    And a store that still fails when it is asked anew has been away until then
    And a watch that is lost ends early enough to list anew

  Scenario: an older configuration never replaces a newer one
    Given a forwarder with version five in force
    Then version four is not taken, and version six is

  Scenario: one holder orders a surplus reader to decode
    Given two of five engines read prompts
    Then after two seconds the duty is asked for, and one engine is ordered
    And another node that finds the duty taken gives no order
    And of two hundred nodes few ask for the duty, and the others when nobody takes it
    And a node that took the duty over waits out the lease before it orders
    And an order without an answer is given again to the same engine, with a higher fence
    And several surplus readers are ordered one after the other, without waiting for each

  Scenario: a service without a reader gets one
    Given a service whose only reader has left
    Then one of its decode engines is ordered to read after a moment, if another remains
    And an order is over when its engine has left

  Scenario: a service without an endpoint that decodes gets one
    Given a service whose only decode engine has left, and readers remain
    Then one of them is ordered to decode after a moment, also when it is the last engine
    And readers that enter first at a start are given time for the others to enter
    And once it decodes there is no further order

  Scenario: a holder that stood still after its confirmation gives no order
    Given a role keeper whose confirmation took longer than allowed
    Then no order reaches the engine
