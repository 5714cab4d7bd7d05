Feature: endpoints that fall silent for a while and go on

  # Guards against requests that are lost, ended early or run twice because a sound endpoint was
  # silent for a second or so.
  Scenario Outline: the only endpoint is silent for 1.3 s in one phase of a request
    When the only endpoint is silent before its <step> of a <kind>
    Then the caller gets one whole answer, and the next caller too
    And it ran once

    Examples:
      | step    | kind             |
      | hold    | stream           |
      | prefill | stream           |
      | answer  | stream           |
      | event   | stream           |
      | hold    | resumable stream |
      | prefill | resumable stream |
      | answer  | resumable stream |
      | answer  | page             |
      | answer  | repeatable page  |

  # Guards against a prompt that two endpoints read at once, as the hold on memory left the first one
  # too little time, and against a run with a hold that has expired.
  Scenario: one of two prefill endpoints is silent for 1.3 s, longer than holds on memory last
    When one of two prefill endpoints is silent for 1.3 s, and holds last 1 s
    Then the caller gets one whole answer, and the next caller too
    And it ran once
    And one endpoint alone read its prompt, and the run has the newest hold

  # Guards against a prompt that goes to another endpoint while the silent one may still work on it.
  Scenario: one of two prefill endpoints is silent for 2.6 s
    When one of two prefill endpoints is silent for 2.6 s, and holds last 2 s
    Then the caller is told to come again, and the next one is served
    And one endpoint alone read its prompt

  # Guards against a living run that is given up, and cut where no memory is free for another one.
  Scenario: the only endpoint is silent for 1.3 s between two events of a resumable stream
    When the only endpoint is silent before its event of a resumable stream
    Then the caller gets one whole answer, and the next caller too
    And it ran once

  # Guards against a living run that is given up after 2 s, and cut as no retry is left for another.
  Scenario: an endpoint is silent for 2.3 s in a resumable stream while the retry budget is used up
    When one of two endpoints is silent for 2.3 s in a resumable stream, and no retry is left
    Then the caller gets one whole answer, and the next caller too
    And it ran once

  # Guards against a living run that is given up before memory for another one is reserved.
  Scenario: an endpoint is silent for 2.6 s in a resumable stream while memory is full
    When one of two endpoints is silent for 2.6 s in a resumable stream, and none has room
    Then the caller gets one whole answer, and the next caller too
    And it ran once

  # Guards against a silent run that is waited for although another endpoint has room.
  Scenario: an endpoint is silent for 3.5 s in a resumable stream while the other one has room
    When one of two endpoints is silent for 3.5 s in a resumable stream, and the other has room
    Then the caller gets one whole answer, and the next caller too
    And it went on at the other endpoint, after the first exchange was closed

  # Guards against a stream that goes on elsewhere while its suspended endpoint is still at work on it.
  Scenario: the process of an endpoint is suspended for 3 s in a resumable stream
    When one of two decode endpoints is suspended for 3 s in a resumable stream
    Then the caller gets one whole answer, and the next caller too
    And it ran once

  # Guards against a prompt of a begun stream that goes to another endpoint while the suspended one may
  # still work on it.
  Scenario: the process of a prefill endpoint is suspended for 2.8 s when a stream goes on elsewhere
    When a resumable stream breaks, and one of two prefill endpoints is suspended for 2.8 s then
    Then the caller gets one whole answer, and the next caller too
    And it ran again once its prompt was read again, at one endpoint

  # Guards against a silent run that is waited for although nobody is left to go on with it.
  Scenario: an endpoint has gone without closing its connections in a resumable stream
    When one of two decode endpoints accepts no connection and is silent in a resumable stream
    Then the caller gets one whole answer, and the next caller too
    And it went on at the other endpoint once memory was reserved there

  # Guards against 504 after a third of a second of silence, where no other endpoint may be tried.
  Scenario: an endpoint is silent for 1.3 s in a repeatable page while the retry budget is used up
    When one of two endpoints is silent for 1.3 s in a repeatable page, and no retry is left
    Then the caller gets one whole answer, and the next caller too
    And it ran once

  # Guards against a 502 for a late page that has arrived, as its endpoint closed the connection.
  Scenario: a late answer comes whole and its connection is closed, and the next endpoint rejects
    Then the late exchange may answer if its answer is whole, but not if it was cut off
    And a whole answer is kept however long the next endpoint takes, and no other one

  # Guards against a page that waits up to the deadline, and then gets 504, with a whole answer at hand.
  Scenario: a late answer comes whole, and the next endpoint is silent
    Then it is delivered at the end of the overlap if it is a success that is whole
    And a failure that is whole is delivered at the deadline

  # Guards against a living run that is given up for another one which is then not begun.
  Scenario: another run takes over when there is just time enough for it
    Then it begins although less time is left when the silent run has been closed
    And from the deadline on neither its hold is adopted nor its prompt read

  # Guards against a run that begins elsewhere, or a retry that is counted, while the silent one may
  # still go on.
  Scenario: no other run takes over from a suspended process, or before its state is known
    Then memory is reserved and a retry counted only if the silent run ends with its exchange
    And a prefill lasts up to the deadline while its endpoint is suspended if the request has run

  # Guards against silent streams that keep full endpoints of a large service busy with requests.
  Scenario: memory for replacements is asked for ever more rarely, the more endpoints there are
    Then rounds that ask 3, 40 and 100 endpoints begin 250, 400 and 1000 ms apart

  # Guards against a living run that is ended for another endpoint which then does not serve it.
  Scenario Outline: an endpoint is silent for 2.5 s in a repeatable page, and the next one <ends> it
    When one of two endpoints is silent for 2.5 s in a repeatable page, and the other one <ends> it
    Then the caller gets one whole answer, and the next caller too
    And the answer is that of the <which> endpoint, and the other exchange is closed

    Examples:
      | ends    | which  |
      | rejects | silent |
      | resets  | silent |
      | serves  | other  |

  # Guards against a living run that is ended although the node may begin no other one.
  Scenario: a page is late at a node that begins no other run
    Then a late answer is awaited while no other send is allowed, and no retry is counted

  # Guards against 502 for a page whose endpoint may still answer, as the notice of the node's end came
  # while a permit was acquired.
  Scenario: no other run may begin any more once a permit for a late page has been acquired
    Then its late answer is awaited, whether the permit was granted or not, and no retry is counted
    And so it is if the next endpoint has rejected the page, and a further one grants no permit
    And a permit that is not used is released while the late answer is awaited

  # Guards against a living run that a stopping node gives up after 2 s of silence for one that it
  # can't end in time.
  Scenario: an endpoint is silent for 2.4 s in a resumable stream, beyond the notice of a stop
    When a node is stopped during a resumable stream, and the endpoint is silent beyond the notice
    Then the stream is whole and ran once
