Feature: a node that gets most new connections of its region

  # Guards against a node that reads more requests than it can serve in time. The platform may hand
  # most new connections to one node for some seconds; callers whose connection is closed unread
  # retry at another node at once, those whose request waits reach their deadline.

  Scenario: an event loop that is offered more than it can serve reads no more than that
    Given event loops on which a request takes 2, 6 and 50 ms, some with half of their processor
    When they are offered 1.2, 2, 8 and 60 times what they can serve, in surges of 3 and 8 seconds
    Then from half a second on, 95 in 100 of the requests that are read are served in time
    And nine tenths of the processor that rejections leave serve requests
    And no request that was read is open a second after a surge

  Scenario: an event loop that can serve what it is offered rejects nothing
    Given event loops on which a request takes 2, 6 and 50 ms, some with half of their processor
    When they are offered 0.8 of what they can serve, and bursts of connections at once
    Then nothing is rejected
    And a caller that asks again as soon as it is answered is never rejected

  # Guards against a node that takes a suspension for the cost of its requests: it closed most new
  # connections for a second afterwards.
  Scenario: an event loop whose process was suspended once rejects nothing that it can serve
    Given event loops on which a request takes 2, 6 and 50 ms, some with half of their processor
    When they are suspended for 150, 300 and 1000 ms while pairs of connections come
    Then nothing is rejected

  # Guards against a process that counts as busy since the begin of the steady clock.
  Scenario: a node that has just started is not saturated
    When six requests of 4 ms wait in the first turn of an event loop
    Then it has room for another one, and none once it had no pause for a second

  Scenario: a node whose link is full
    When a node reads requests that send more than its link can carry
    Then it rejects connections until the link has carried that, and closes those accepted since
    And what requests are found to send corrects what was expected of them

  Scenario: new connections that take longer show a full link
    Given connections to endpoints that take 1 to 4 ms, and one endpoint that takes 200 ms
    When all of them take 50 ms longer for a while
    Then the link is found full until they take as long as before, or none succeeds
    And endpoints further away that are used from now on show nothing

  # Guards against a late node that takes its own lag for the silence of endpoints and other nodes:
  # each check, repeat and hedge costs more of the processor time that it lacks.

  Scenario: limits for replies are longer on a node that is late
    Then turns of 50 ms extend them by those that a reply needs, for up to a second
    And turns of the usual length, and one of a suspended process, extend them by little

  # Guards against a loop that takes the time since an earlier one for a turn of its own, and awaits
  # each reply for 2 s longer in its first second.
  Scenario: a loop that has ended makes the next one not late
    When turns of an event loop take 50 ms until it ends
    Then they extend limits while it runs, and neither limits nor busy times after its end

  Scenario Outline: a node that is late itself repeats no request and suspects no path
    When turns of a node's event loop take <turn_ms> ms while it serves requests
    Then each request is sent once, all are answered, and no path is in doubt

    Examples:
      | turn_ms |
      | 40      |
      | 100     |

  # Guards against a request that a late node repeats because it allowed for the delay of one reply
  # where it awaits two, or because it became late after it had sent the request.
  Scenario Outline: a node that is late waits longer before it repeats a request
    When an endpoint takes 600 ms for a repeatable request, and replies are noticed <how_late>
    Then the request is sent once

    Examples:
      | how_late                                 |
      | 200 ms late, on a new connection         |
      | 400 ms late from 200 ms after it is sent |

  Scenario: connections to an overloaded node
    When the event loop of a node is blocked again and again while many connections come
    Then most new connections are closed unread, and one is taken every quarter of a second
    And a connection that was open before is served on
    And new connections are taken again after that

  Scenario: a node that is offered three and eight times what it can serve
    When a node is offered 3 and 8 times what it can serve, on new connections alone
    Then from half a second on, 95 in 100 of the requests that it reads are served in time
    And no request is left without an end a second after that
