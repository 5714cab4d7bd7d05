Feature: endpoints that start again under their name, and entries of other writers

  Scenario: a later start is another endpoint
    Then it is usable at once where the one before drained, was replaced or went
    And nothing that was known of the one before is known of it
    And an earlier start that is heard of late never takes its place
    And an entry without a time of its start goes by its name

  Scenario: an address belongs to the endpoint that answers there
    Then two entries may name one address until the endpoint there answers

  Scenario: any series of starts, drains, lapses, stale and bad entries
    Then the directory never offers a start that is over, and leaves no usable one out
    And no connection or place of such a start is used for a later one

  Scenario: nodes of an earlier version name endpoints alone
    Then a planner takes such a name for the latest start, in all that it hears
    And an entry node does so with a grant

  Scenario Outline: an entry of another writer names no endpoint
    When the entry of one of three endpoints becomes <bad>
    Then it is out of use at once, told once with <findings> findings, and the others hold
    And it is back when its entry is whole again

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
    Then a listing with ten thousand bad entries is taken in half a second and told in few lines

  Scenario: an object that the store itself garbles
    Then one unreadable object of a listing or of a watch hides no other

  Scenario: bad entries of nodes
    Then the census leaves out entries that name no node, and tells each once

  Scenario: an endpoint starts again while it serves
    When an endpoint that went silent starts again under its name
    Then a plain request in its hands is settled at once, and unknown
    And one that may be repeated is served by the later start or another endpoint

  Scenario: an engine starts again while a stream runs
    When an engine stops in the middle of a resumable stream and starts again
    Then the stream goes on elsewhere at once, each event once

  Scenario: an engine starts again while it holds memory for a request
    When an engine starts again between the reservation and the stream
    Then the caller gets the whole stream, and the later start got no hold of the one before

  Scenario: an endpoint starts again whose address another one had
    When an endpoint gets its address back by a later start, after the other one answered there
    Then it serves at once

  Scenario: an engine starts again while a role order is unanswered
    Then the order is over, and the later start is judged by what it shows
