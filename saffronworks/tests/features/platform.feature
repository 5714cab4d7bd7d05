Feature: a node on the users' platform

  Scenario: the settings file is checked as a whole
    Then a good settings file is read, and a field that is new does not matter
    And of a bad one every finding is listed with its line

  Scenario: a configuration that cannot be read leaves the last one in force
    Then all findings of a bad configuration are listed, and the last one stays

  Scenario: the store's client tells apart what happened
    Then it lists page by page, and watches from a revision
    And it tells a conflict, a lost answer, a refusal and a forgotten history apart

  Scenario: a plain request is passed on whole and unchanged
    When a caller sends a request with forged fields of the router
    Then the server sees the caller's path, id and body, and none of the forged fields
    And the caller gets the server's answer with its signature

  Scenario: a request for the head alone
    When a caller asks for the head of an answer
    Then it gets the head with its length, and no body

  Scenario: a request without a route, and one before there is a configuration
    Then a path without a route is answered 404
    And before there is a configuration the answer is 503, and the node is not ready

  Scenario Outline: what a server does wrong reaches no caller as a success
    When the only server answers a request that may not repeat with <fault>
    Then the caller is told <status>, and the server ran it <runs> times

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

  Scenario: a second answer is never taken for another request's
    When a server sends an answer twice, at once or in place of the next one
    Then each caller gets its own answer

  Scenario: a repeatable request is tried at another server
    When one of two servers resets a repeatable request
    Then the caller gets the other one's answer

  Scenario: a server that leaves gets nothing more
    When one of two servers says that it drains, or its entry goes
    Then no request reaches it any more

  Scenario: an address that another server has got
    When the store still names a server whose address another one has
    Then each request runs once at a server that was meant, and the lost one is asked once

  Scenario: a request beyond the operator's limits
    When a caller sends too large a body, and too large a header
    Then it is told 413 and 431, and no server sees either

  Scenario: a caller who leaves frees the server
    When a caller leaves while its request runs
    Then the server sees that within half a second

  Scenario: a route's time is up
    When a server works longer than the route's time
    Then the caller is told 504 at that time

  Scenario: a generation goes from its reservation over the read prompt to the stream
    When a caller asks for a generation
    Then memory was reserved, the prompt prefilled and the stream relayed
    And without free memory the request is refused at once, with a Retry-After

  Scenario: a generation is served without an endpoint that reads
    When a caller asks for a generation and there is no prefill endpoint
    Then a decode endpoint prefills by itself and the stream is relayed

  Scenario: a resumable stream that breaks inside an event is whole for the caller
    When the first decode server breaks off a resumable stream inside an event
    Then the caller gets each event once, in order, with a proper end
    And a stream that is not resumable does not look complete
    And a stream without a length that ends inside an event does not look complete

  Scenario: a planned stop lets requests end and takes no new callers
    When a node is told to stop while a request runs
    Then it says that it is not ready, and the request is answered whole

  Scenario: a node starts without libraries that it does not use
    Then a node does not load another event loop that is installed beside asyncio
    And it loads neither the metrics' libraries nor the modules of another deployment

  Scenario: the figures of a node
    When a node that served requests is asked for its figures twice
    Then the page has counts and times, and each request counts once

  Scenario: a server that is told to stop loses no time
    When servers are told to stop at different moments of their second
    Then each is over at once, so that all of the grace period is left for requests

  Scenario: a fault of ours in one service ends no process
    When a service of a node fails, and so does work in the background
    Then callers are served on, and the service runs again

  Scenario: the store goes away and comes back
    When the store is away while callers ask
    Then they are served, and a change made meanwhile is in force soon after its return

  Scenario: the writer of log lines never holds the process up
    When far more lines are logged than a slow reader takes
    Then logging goes on at once, and the lines left out are counted
