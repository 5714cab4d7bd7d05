Feature: a node on the users' platform

  Scenario: the settings file is checked as a whole
    Then a valid settings file is read, and an unknown field is ignored
    And all findings of an invalid one are listed with their lines

  Scenario: after an invalid configuration the last valid one stays in force
    Then all findings of an invalid configuration are listed, and the last valid one stays

  Scenario: the store's client distinguishes the outcomes of its calls
    Then it lists page by page, and watches from a revision
    And it distinguishes a conflict, a lost answer, a rejection and a discarded history

  Scenario: a plain request is forwarded complete and unchanged
    When a caller sends a request with header fields that only the router may set
    Then the server sees the caller's path, id and body, and none of those fields
    And the caller gets the server's answer with its signature

  Scenario: a HEAD request
    When a caller sends a HEAD request
    Then it gets the headers with the body's length, and no body

  Scenario: a request without a route, and one before the first configuration
    Then a path without a route is answered 404
    And before the first configuration the answer is 503, and the node is not ready

  Scenario Outline: a faulty answer of a server never reaches the caller as a success
    When the only server answers a non-idempotent request with <fault>
    Then the caller gets status <status>, and the server ran the request <runs> times

    Examples:
      | fault          | status | runs |
      | reset          | 502    | 1    |
      | garbage        | 502    | 1    |
      | unsigned       | 502    | 1    |
      | encoded        | 502    | 1    |
      | short          | 502    | 1    |
      | unframed-reset | 502    | 1    |
      | busy-run       | 502    | 1    |
      | error          | 500    | 1    |
      | shed           | 503    | 0    |
      | unframed       | 200    | 1    |

  Scenario: a duplicate answer is never delivered for another request
    When a server sends an answer twice, at once or in place of the next one
    Then each caller gets its own answer

  Scenario: an idempotent request is retried at another server
    When one of two servers resets an idempotent request
    Then the caller gets the answer of the other server

  Scenario: a server that drains or is removed gets no new requests
    When one server drains, and the entry of another is removed
    Then only the remaining server gets requests

  Scenario: an address that was reassigned to another server
    When the store lists a server at an address that belongs to another one
    Then each request runs once at a listed server, and the reassigned address gets one at most

  Scenario: a request that exceeds the configured limits
    When a caller sends a body and a header above the limits
    Then it gets statuses 413 and 431, and no server sees either request

  Scenario: a disconnected caller frees the server
    When a caller disconnects while its request runs
    Then the server sees the disconnection within half a second

  Scenario: the timeout of a route
    When a server takes longer than the route's timeout
    Then the caller gets status 504 at the timeout

  Scenario: a generation is reserved, prefilled and streamed
    When a caller asks for a generation
    Then memory was reserved, the prompt prefilled and the stream relayed
    And without free memory the request is refused at once, with a Retry-After

  Scenario: a generation is served without a prefill endpoint
    When a caller asks for a generation and there is no prefill endpoint
    Then a decode endpoint prefills by itself and the stream is relayed

  Scenario: a resumable stream that breaks inside an event reaches the caller complete
    When the first decode server breaks off a resumable stream inside an event
    Then the caller gets each event once, in order, with a proper end
    And a stream that is not resumable does not look complete
    And a stream without a length that ends inside an event does not look complete

  Scenario: a graceful shutdown completes requests and accepts no new callers
    When a node is stopped while a request runs
    Then it reports that it is not ready, and the request is answered completely

  Scenario: a node starts without unused libraries
    Then a node does not import trio, even if it is installed
    And it imports neither the metrics' libraries nor the modules of another deployment

  Scenario: the metrics of a node
    When the metrics page of a node that served requests is read twice
    Then the page has counts and times, and each request is counted once

  Scenario: an HTTP server stops without delay
    When servers are stopped at different fractions of a second after their start
    Then each stops at once, so that the whole grace period is left for requests

  Scenario: a bug in one service does not end the process
    When a service and a background task of a node raise an exception
    Then callers are still served, and the service is restarted

  Scenario: the store is unavailable for a while
    When the store fails while callers send requests
    Then they are served, and a change made meanwhile is applied soon after the store recovers

  Scenario: logging never blocks the process
    When far more lines are logged than a stalled reader accepts
    Then logging does not block, and the dropped lines are counted
