Feature: the planned end of a node of the own deployment

  # Guards against requests that the end of their node aborts without a word to caller or log.
  Scenario: a node answers or cuts each request that is open at its end
    When a node is stopped while requests take longer than its drain
    Then those that a server may have run are told unknown, and those that wait not run
    And a begun stream tells its outcome and is cut, and the log names each of them
    And no engine memory stays held

  # Guards against requests that a draining node begins and can't end before it ends itself.
  Scenario: a draining node begins nothing after its notice
    When a node with a stream is stopped, and requests wait and come after its notice
    Then they are told not run at once, without a run, and their connections closed
    And the stream goes on to the end of the drain

  # Guards against a run that replaces a broken one after the notice, and is cut at the node's end.
  Scenario: a request whose run breaks after the notice is answered at once
    When a node is stopped, and the prefill of a request breaks after its notice
    Then it is told unknown before the node's end, and was dispatched once

  # Guards against requests that come as an idle node ends, and are aborted a second later.
  Scenario: a node that has drained begins nothing
    When a long request comes to a node that was stopped a moment ago and has nothing to do
    Then it is told not run, without a run
