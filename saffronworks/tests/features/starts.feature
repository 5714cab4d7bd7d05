Feature: endpoints that restart under their name, and invalid entries in the store

  Scenario: a restarted endpoint is a new endpoint
    Then it is usable at once if the earlier start drained, was replaced or was removed
    And it inherits no state of the earlier start
    And a late entry of an earlier start never replaces it
    And an entry without a start time is identified by its name

  Scenario: an address belongs to the endpoint that answers there
    Then two entries may have one address until the endpoint there answers

  Scenario: any sequence of starts, drains, expiries, stale entries and removals
    Then the directory never offers an ended start, and offers every usable one
    And no connection or reservation of an ended start is used for a later one

  Scenario: nodes of an earlier version send names of endpoints without their starts
    Then a planner resolves such a name to the latest start, in all its messages
    And an entry node resolves the name in a grant likewise

  Scenario Outline: an invalid entry puts its endpoint out of use
    When the entry of one of three endpoints becomes <bad>
    Then it is out of use at once, logged once with <findings> findings, and the others stay in use
    And it is usable again when its entry is valid

    Examples:
      | bad               | findings |
      | no JSON           | 1        |
      | no UTF-8          | 1        |
      | a list            | 1        |
      | null              | 1        |
      | empty             | 1        |
      | huge              | 1        |
      | without a service | 1        |
      | without most      | 7        |
      | of other types    | 8        |
      | an odd state      | 1        |
      | an odd stage      | 1        |
      | a named address   | 1        |
      | a port too high   | 1        |
      | no slots          | 1        |
      | a start as text   | 1        |
      | a start ahead     | 1        |

  Scenario: thousands of bad entries
    Then a listing with ten thousand invalid entries is read in half a second and logged briefly

  Scenario: an object that the store garbles
    Then a malformed object in a listing or a watch hides no other one

  # Guards against one entry of another writer that ends each listing and watch at all nodes at once:
  # a decoder that only skips a value recurses all the same.
  Scenario: an object that is nested more deeply than decoders recurse
    Then it hides no other one in any answer of the store
    And deeply nested values are left out of any document, and any other bytes take no longer
    When such an entry stands beside endpoints that come and go, at a running node and at a new one
    Then both nodes serve by the endpoint that came

  # Guards against a listing that asks for the same page until it fails.
  Scenario: a page of the store without a readable object
    Then the listing goes on after it

  Scenario: invalid entries of nodes
    Then the census ignores invalid entries, and logs each once

  Scenario: an endpoint restarts while it serves requests
    When an unresponsive endpoint restarts under its name
    Then a plain request in flight there fails at once, with an unknown outcome
    And an idempotent one is served by the later start or another endpoint

  Scenario: an engine restarts during a stream
    When an engine stops in the middle of a resumable stream and restarts
    Then the stream continues elsewhere at once, with each event once

  Scenario: an engine restarts while it holds memory for a request
    When an engine restarts between the reservation and the stream
    Then the caller gets the whole stream, and the later start no reservation of the earlier one

  Scenario: an endpoint restarts at an address that another one had
    When an endpoint restarts at its old address, after another one answered there
    Then it serves requests at once

  Scenario: an engine restarts while a role order is unanswered
    Then the order is dropped, and the later start's own role counts
