Feature: clients that keep to no limit end no process

  # Guards against a server that queues each request which a client sends without waiting for its
  # answers. A few such clients took a node beyond the memory of its VM in two seconds.
  Scenario Outline: requests sent ahead wait unread
    When a crowd does this to a process: "<crowd>"
    Then the process lives, and keeps its bounds of memory and descriptors
    And an ordinary request is answered

    Examples:
      | crowd                                              |
      | ahead without headers, at a route                  |
      | ahead, at the path for readiness, callers' address |
      | ahead, at the path for readiness                   |
      | ahead, at the probes' address, other path          |
      | ahead, no route                                    |
      | ahead, no route, answers read                      |
      | ahead, whole requests                              |
      | ahead, requests with 400 fields                    |
      | ahead, metrics                                     |
      | ahead, relays                                      |
      | ahead, awaiting 100 Continue                       |
      | ahead, small bodies in chunks                      |
      | ahead, HEAD                                        |
      | ahead, OPTIONS                                     |
      | many clients, whole requests ahead                 |
      | own deployment: ahead, no route                    |
      | own deployment: ahead, a plain service             |
      | own deployment: ahead, readiness                   |
      | own deployment: ahead, operators                   |
      | own deployment: ahead, metrics                     |

  # Guards against a request that is run before the one ahead of it was answered, and against bytes
  # of one that are taken for another's, wherever the parts are split that a server reads.
  Scenario: requests sent ahead are served one after the other
    When requests of all framings are sent ahead in parts of any size
    Then each is served whole and in order, after the answer to the one before it

  # Guards against a process without a descriptor left: its listeners accept nothing for seconds, and
  # it reaches neither endpoints nor the store.
  Scenario Outline: connections leave descriptors for others
    When a crowd does this to a process: "<crowd>"
    Then the process lives, and keeps its bounds of memory and descriptors
    And an ordinary request is answered

    Examples:
      | crowd                                                |
      | many idle connections                                |
      | many idle connections to the probes' address         |
      | many idle connections to the metrics' address        |
      | many idle connections to the relays' address         |
      | own deployment: many idle connections                |
      | own deployment: many idle connections of operators   |

  Scenario: a listener at its limit makes room
    When a server has as many connections as it may, some idle, some resting, one being served
    Then new ones take the place of those that wait longest, idle ones first
    And once all are being served, a new one is closed unread

  # Guards against heads of many short fields, which take thirty times their bytes on the wire.
  Scenario Outline: heads take a bounded part of the memory
    When a crowd does this to a process: "<crowd>"
    Then the process lives, and keeps its bounds of memory and descriptors
    And an ordinary request is answered

    Examples:
      | crowd                                                           |
      | many heads that stop half way                                   |
      | many heads that stop half way, probes' address                  |
      | many heads that stop half way, relays' address                  |
      | many requests with 3,500 fields                                 |
      | many requests with 3,500 fields and half a body                 |
      | own deployment: many heads that stop half way                   |
      | own deployment: many requests with 3,500 fields and half a body |

  Scenario: heads are given up oldest first, and never one that has arrived
    Then heads that begin, arrive and end in any order stay within the bound or are refused
    And a head of the largest size is served in calm, and usual ones are not counted
    And a refusal for want of memory is 503, with Retry-After, the id of the request and a close

  # Guards against connections that count as being served for as long as their clients like.
  Scenario Outline: bodies that stop give way to new connections
    When a crowd does this to a process: "<crowd>"
    Then the process lives, and keeps its bounds of memory and descriptors
    And an ordinary request is answered

    Examples:
      | crowd                                           |
      | many bodies that stop half way                  |
      | own deployment: many bodies that stop half way  |

  # Guards against answers that fill the memory as their clients read nothing.
  Scenario Outline: unread answers take a bounded part of the memory
    When a crowd does this to a process: "<crowd>"
    Then the process lives, and keeps its bounds of memory and descriptors
    And an ordinary request is answered

    Examples:
      | crowd                       |
      | large answers unread        |
      | large answers unread, ahead |

  # Guards against bytes that count towards no limit: a client could send them for good, and each two
  # of them took a call of the parser.
  Scenario: empty lines without a request end
    When a client sends empty lines without end, on a new connection and after an answer
    Then it gets one 400 without an id each time, and its connection is closed
    And a few empty lines before a request are skipped

  # Guards against bodies that are read for as long as their clients like.
  Scenario: a body that goes on after its answer ends
    When a client sends a chunked body without end to a server that refuses it unread
    Then it gets the refusal, and its connection is closed after 17 MB
    And a body of the largest size is read to its end, and the next request is served

  # Guards against refusals that a client can't match with its request.
  Scenario: a malformed request gets one refusal with its id
    When a client sends a head with an invalid field, and invalid chunks before and after an answer
    Then the head and the chunk before the answer get 400 with the id, and the other one a close

  # Guards against connections, and work behind them, that last as long as their clients read nothing.
  Scenario: a client that takes nothing of its answer is left
    When a client reads nothing of an answer of 40 MB, and another one reads it with pauses
    Then the first one's connection is ended with its work, and the other one has it whole

  # Guards against log lines as long as the heads of unruly clients, which wait for a slow reader.
  Scenario: log lines that wait take a bounded part of the memory
    When lines of 60,000 characters are logged while nobody reads the log
    Then those that wait have 17 MB at most, each its begin and end, and the rest is counted

  # Guards against a planned end that waits for clients which hold their connections.
  Scenario Outline: a node that drains beside a crowd ends by itself
    When a crowd does this to a process that gets SIGTERM then: "<crowd>"
    Then the process ends by itself, and keeps its bounds of memory and descriptors

    Examples:
      | crowd                                          |
      | ahead, whole requests                          |
      | many bodies that stop half way                 |
      | large answers unread, ahead                    |
      | own deployment: ahead, a plain service         |
      | own deployment: many bodies that stop half way |

  # Guards against a request that an endpoint gets and no client sent: hidden in another one's body.
  Scenario: requests of unclear length are refused, or have one body
    When clients send requests whose lengths conflict, and further requests in what follows
    Then each gets a refusal, or reaches an endpoint as one request with the body that was read

  # Guards against bytes that nobody reads: the kernel keeps over 100 KB of each connection, and they
  # count as the process's on its VM.
  Scenario: few connections leave bytes unread
    When 20 clients send ahead of their answers to a server that leaves 4 connections unread
    Then it closes all but 4 of them
    And a client that waits for its answer before it sends more is served

  # These held before the limits too; they guard what bounds them.
  Scenario Outline: other bytes without end
    When a crowd does this to a process: "<crowd>"
    Then the process lives, and keeps its bounds of memory and descriptors
    And an ordinary request is answered

    Examples:
      | crowd                                      |
      | ahead, HTTP/1.0 kept alive                 |
      | ahead, behind a body that never comes      |
      | a head without end                         |
      | a head of empty fields without end         |
      | a target without end                       |
      | empty lines without end                    |
      | chunks of one byte without end             |
      | a body without end where no route is       |
      | trailers without end                       |
      | an upgrade, then bytes                     |
      | CONNECT, then bytes                        |
      | HTTP/2                                     |
      | bytes that are no HTTP                     |
      | connections opened and closed at once      |

  # Guards against machines that hold connections to the address for messages between nodes.
  Scenario: idle connections to the peers' address leave descriptors for others
    When a crowd does this to a process: "many idle connections to the peers' address"
    Then the process lives, and keeps its bounds of memory and descriptors
    And an ordinary request is answered
