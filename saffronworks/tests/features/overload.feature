Feature: a node that gets most new connections of its region

  # Guards against a node that reads more requests than it can serve in time. The platform may hand
  # most new connections to one node for some seconds; callers whose connection is closed unread
  # retry at another node at once, those whose request waits reach their deadline.

  Scenario: when a node is overloaded
    Then timers that are late again and again show it, and one that was late once does not
    And it ends as soon as a timer is on time

  Scenario: connections to an overloaded node
    When the event loop of a node is blocked again and again while many connections come
    Then most new connections are closed unread, and one is taken every quarter of a second
    And a connection that was open before is served on
    And new connections are taken again after that

  Scenario: a node that is offered three and eight times what it can serve
    When a node is offered 3 and 8 times what it can serve, on new connections alone
    Then from half a second on, 95 in 100 of the requests that it reads are served in time
    And no request is left without an end a second after that
