Feature: the request bodies of a node take a bounded part of its memory

  # Guards against a node that admits each body and outgrows its memory limit: it is killed, and
  # loses all of its requests.
  Scenario: the memory of bodies never exceeds its bound
    Then bodies that begin, arrive and end in any order stay within the bound and leave nothing
    And while large bodies are refused there is memory for small ones, and the reverse
    And the bound grows with the memory limit, and leaves no node without any

  # Guards against a count of refusals without a line that leaves some out.
  Scenario: refusals with lines of their own don't use up those of refused bodies
    When 30 slow bodies and then 30 more than fit are refused within a second
    Then 20 of the latter are logged, and the next line says that 10 were not

  # Guards against refusals that cost more, the more requests a node is serving.
  Scenario: many small bodies fill the bound
    When 100 more bodies are refused within a second while 1000 small ones are at work
    Then all bodies at work are searched for slow ones at most every 100 ms

  # Guards against bodies without a common bound, against small requests that suffer for large ones,
  # and against refusals that are lost as their connection is reset.
  Scenario: many large bodies at once
    When callers send more large bodies at once than a node has memory for, and small ones
    Then the large bodies at work stay within the bound, and the others get 503 at once
    And each refusal is whole, has a Retry-After and its request is not run
    And all small requests are served
    And a connection whose request was refused serves the next one
    And the node counts and logs the refusals, and no memory is left taken

  # Guards against bodies without a stated length that are not counted.
  Scenario: a body in chunks is refused when the bound is reached
    When large bodies fill the bound of a node, and another one comes in chunks
    Then it gets a whole 503, and its request is not run

  # Guards against memory of refused bodies that is counted as free and is still taken.
  Scenario: the memory of a refused body is free while its rest is discarded
    When a body in chunks is refused after most of it has arrived
    Then nothing that handles the refusal keeps the part that has arrived
    And a node of an own deployment counts it as free when the refusal is sent

  # Guards against idle connections that keep the bodies which they have sent, beyond the bound.
  Scenario: a connection keeps nothing of a body that it has sent
    When a connection sends a large body with pauses, and another one is lost before its end
    Then both bodies can be freed

  # Guards against a refusal that waits for a body which its caller will not send.
  Scenario: a caller that awaits 100 Continue is refused without its body
    When large bodies fill the bound of a node, and another caller awaits 100 Continue
    Then it gets a whole 503, and its request is not run

  # Guards against a burst on a narrow link whose bodies are all given up for one that is refused.
  Scenario: many bodies share a link
    When other bodies are refused while 60 arrive at 20 kB/s each, and three have stalled
    Then the three are given up first, and then only the slowest one, as the next needs no more

  # Guards against a next request that is taken for the body which its caller has not sent.
  Scenario: a caller that awaits 100 Continue is refused as its body is too large
    When a caller of a node awaits 100 Continue for a body beyond the limit
    Then it gets a whole 413, and its connection is closed

  # Guards against callers that state a length, send nothing and keep the memory from others.
  Scenario: bodies that hold the bound without progress
    When callers that send nothing of their bodies fill the bound of a node
    Then they get 408 once others are refused, and the others are served then

  # Guards against the head of the next request within a body that was written in part.
  Scenario: an endpoint that answers before it has read a large body
    When an endpoint answers requests with large bodies before it reads them
    Then each request comes on a connection of its own, and none within a body

  # Guards against bodies without a common bound in the own deployment.
  Scenario: a node of an own deployment refuses bodies beyond its bound
    When callers of a node of an own deployment hold its memory for bodies, and another one comes
    Then it gets a whole 503 as not run, and is served once they have left

  # Guards against a refusal that is lost as its caller was silent for a second within the body.
  Scenario: a caller is silent for 1.3 s within a body that is refused
    When a caller sends half of a body that is refused, and the other half 1.3 s later
    Then it gets a whole 503, and its connection serves the next request

  # Guards against callers that are told of a bad request where they may repeat it, and against keys
  # that stay taken though their requests were not sent.
  Scenario: a body that arrives too slowly at a node of an own deployment
    When a plain call with a key sends its body too slowly to a node of an own deployment
    Then it gets a whole 408 as not run, and its key is free again

  # Guards against logs that name the size of a body as the cause where its caller was too slow.
  Scenario: a relayed body that arrives too slowly
    When a body that another node relays arrives too slowly
    Then the other node is told of a slow body, and that nothing was sent

  # Guards against relays and memory that stay taken for good, because a cut path hides that the
  # other node has left.
  Scenario: a relayed body that never ends
    When the rest of a body that another node relays does not come
    Then the relay is refused as not sent once its time is over, and its memory is free
