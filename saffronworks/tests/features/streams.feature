Feature: streams that go on at another endpoint

  # Seen: callers got streams that were framed as complete, signed, and short. An endpoint broke off a
  # resumable stream, and the second endpoint failed its run with a signed answer of its own. The core
  # decided on that answer as if nothing were out yet, and told the runner to pass it on: the error's
  # body went behind the events, and a good end after it. Shown by the steps "broke off, then failed"
  # below, and by the log lines of such requests: after=RelayBroken, then status=500 do=RelayStream.

  Scenario: a stream that has begun does not end as complete with another endpoint's failure
    When one endpoint breaks a resumable stream off and the next one fails its run
    Then the caller has the events that were whole, nothing of the failure, and no good end

  Scenario: once an answer has begun, only its own events or a cut can follow
    Then whatever endpoints answer, nothing but events of the stream follows its first one

  Scenario: an answer carries nothing of a run that broke before it
    When one endpoint breaks off inside the first event and the next one fails its run
    Then the caller gets the failure as its endpoint gave it
