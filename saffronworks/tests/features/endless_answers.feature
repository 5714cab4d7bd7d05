Feature: bytes without end from an endpoint cost one exchange, and no other caller

  # Guards against memory and time without bound, as the parser bounds neither a head nor chunks.
  Scenario: an answer whose head, framing or trailer never ends
    Then each such answer closes its connection within the bound, and is reported as oversized

  # Guards against an exchange that parses a late answer to another request for good.
  Scenario: an answer to another request that never ends
    Then its connection is closed within the bound, and is reported as oversized

  # Guards against callers who wait for, or share a node with, an endpoint whose answer never ends.
  Scenario: a plain endpoint sends bytes without end
    When one of two plain endpoints sends heads, framing or bodies without end
    Then requests that may be repeated get whole answers of the other one, in time
    And one that may not gets one failure within its time
    And its connections are closed, it is counted as failed, and no turn of the node is long

  # Guards against holds and prefills that wait for good, as only each part of their answer had a
  # time-out, and nothing bounded its size.
  Scenario: an engine answers the node's own calls with bytes without end
    When engines answer holds or prefills with bytes without end
    Then the stream is whole, and the calls are closed in time and counted with their cause

  # Guards against a large page that never arrives whole over a slow link, and against a page that
  # raises.
  Scenario: a large page of the store over a slow link, and one that is nested deeply
    When the store takes 2.5 s to send a page of a megabyte, and answers with a nested one
    Then the first one is read, and the second one is a failure

  # Guards against a follower of the store that waits for good, as only each read had a time-out, and
  # against a body that fills the node's memory.
  Scenario: the store sends bytes without end
    When the store answers a listing, a watch and a write with bytes without end
    Then each call fails in time within the bound of memory, and its connection is closed

  # Guards against streams that wait for their deadline, because comments, empty events or parts of
  # an event counted as progress, and against an event that fills the node's memory.
  Scenario: an engine sends bytes without end after the first event of a stream
    When an engine begins a resumable stream and goes on without an event for good
    Then the caller gets the whole stream once, the rest of it from another engine

  # Guards against calls of the own deployment that wait for good, or fill the node's memory.
  Scenario: an engine or the store of the own deployment sends bytes without end
    When an engine or the store of the own deployment answers with bytes without end
    Then each call fails in time, and its connection is closed

  # Guards against whole answers that are cut because their caller read until after the deadline.
  Scenario: an answer that ends at its deadline
    Then an answer that had arrived by its deadline is relayed whole after it

  # Guards against relays that go on for good, because a cut path hides that the other node has left.
  Scenario: a relayed answer that never ends
    Then a relaying node ends an answer that goes on after the deadline
    And it does so in the time that the request has left, however late the head came
