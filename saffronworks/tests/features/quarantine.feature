Feature: a content that crashes the endpoints that run it

  # Guards against a content that crashes one engine after the other. It is sent again under new ids
  # to any node, and each attempt is retried at a second engine. Attempts, tried endpoints and retry
  # budgets are kept per request id, so only a limit per content stops the crashes, which also break
  # all other streams of the engines.

  Scenario: one content is sent again and again, to any node
    When a content that crashes each engine which runs it is sent to two nodes in turn
    Then it reaches engines at most three times from three seconds after the third crash on
    And each of its callers gets an error at once
    And other requests are served again

  Scenario: a plain request that crashes its endpoints
    When a plain request crashes each endpoint that runs it, at one node
    Then later attempts reach no endpoint, and other requests of the route are served

  Scenario: answers that begin before their endpoints crash
    When a relayed stream crashes four endpoints after its first event
    Then no further endpoint crashes

  Scenario: a prompt that crashes prefill engines
    When a prompt crashes each of four engines that prefill it
    Then no further endpoint crashes

  Scenario: broken answers alone prove no crash
    When one content gets five broken answers from endpoints that keep running
    Then it is sent to endpoints as before

  Scenario: a node that starts loads the quarantined contents
    When a content is quarantined, and then all nodes restart
    Then no node sends it to an endpoint

  Scenario Outline: a fleet refuses a content in time
    Given <nodes> live nodes, <dead> dead nodes, and <lost> of 100 messages lost
    When a crashing content arrives every <every> ms at random nodes, with ten seeds
    Then all nodes refuse it within <within> ms of the third crash, and none sends it later

    Examples: fleet sizes in production, with and without faults
      | nodes | dead | lost | every | within |
      | 2     | 0    | 0    | 300   | 300    |
      | 7     | 0    | 0    | 300   | 400    |
      | 7     | 3    | 20   | 300   | 700    |
      | 62    | 0    | 0    | 300   | 600    |
      | 85    | 20   | 10   | 300   | 800    |
      | 195   | 0    | 0    | 300   | 700    |
      | 195   | 60   | 10   | 300   | 1300   |
      | 195   | 0    | 0    | 50    | 600    |

  Scenario: half of the listed nodes are dead
    Then each of two hundred live nodes refuses the content within three seconds

  Scenario: nodes that return
    Then a node that was partitioned refuses the content within three seconds of its return
    And so does a restarted node that reaches only the store
    And so do all nodes after all have restarted

  Scenario: cost of the quarantine
    Then without a suspicion nothing is computed or sent
    And a fleet with a quarantined content sends fewer than five messages per second and node
    And with thousands of suspicions the table and messages stay bounded and keep quarantined contents

  Scenario: which contents are suspected
    Then two refused connections, a restart, or silence without an entry prove a crash
    And an endpoint that leaves as planned causes no suspicion
    And an endpoint that only reserved memory, or received no byte, causes no suspicion
    And runs that broke together share one probe
    And a successful run clears a content at all nodes, before and after its quarantine
    And an answer that ends with a closed connection is no success, as a crash closes it too
    And a node that missed the successful run is informed when it sends its own view
    And a node that reports an end, and that no list has, is informed of the quarantine
    And few requests that ran beside a crashing content are quarantined, and those have an early trial

  Scenario: a quarantined content has one trial
    Then only an owner admits it, once after ten minutes, to one endpoint
    And a success ends the quarantine, and a further crash confirms it
    And while endpoints crash for another cause, contents have a trial every ten minutes

  Scenario: a trial of a request
    Then a generation and a plain request are tried at one endpoint, and refused after it crashes
    And both are served once their endpoints are fixed

  Scenario: views of nodes are merged in any order
    Then the result is the same in any order and with repetitions

  Scenario: a request in progress is not sent again
    Then a generation ends once its content is quarantined, whatever the last event
    And so does a plain request

  Scenario: records of another writer
    Then an unreadable record is ignored and quarantines nothing
