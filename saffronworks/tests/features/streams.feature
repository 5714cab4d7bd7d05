Feature: streams that continue at another endpoint

  # Guards against truncated streams that were framed as complete. An endpoint broke off a resumable
  # stream, and the second one failed its run with a signed error response. The state machine decided
  # as if nothing had been sent: the error's body was appended to the events and properly ended. Only
  # the log lines of such requests had begun=True and status=500 in the decision to relay an answer.

  Scenario: a stream that has started does not end as complete with another endpoint's failure
    When one endpoint breaks off a resumable stream and the next one fails its run
    Then the caller gets the complete events, nothing of the failure, and no proper end

  Scenario: once an answer has started, only its own events or a cut can follow
    Then whatever endpoints answer, only events of the stream follow its first one

  Scenario: an answer contains nothing of an earlier run that broke off
    When one endpoint breaks off inside the first event and the next one fails its run
    Then the caller gets the endpoint's failure unchanged

  Scenario Outline: a run that does not continue the events already sent is not relayed
    When a resumable stream breaks off after event <last> and the next run has the fault <fault>
    Then the caller gets the events up to <last>, each once, and no proper end

    Examples:
      | last | fault         |
      | 2    | repeat        |
      | 2    | gap           |
      | 5    | unframed-none |
      | 2    | no-content    |
      | 2    | ping          |
      | 2    | half          |

  Scenario: a run without events ends a stream whose events were all sent
    When a resumable stream breaks off after its last event and the next run has no events
    Then the caller gets each event once, with a proper end

  Scenario: uneven ids reveal repeated events, and consecutive ids reveal gaps as well
    Then only the next id continues consecutive ids, and any higher id continues others

  Scenario: a run's Content-Length does not apply to a stream that continues at another endpoint
    When a resumable stream with a length breaks off, and the events of the next run are longer
    Then the caller gets each event once, with a proper end

  Scenario: a caller that resumes after an event does not get that event again
    When a caller resumes after event 2, and the first run repeats it
    Then the caller gets the later events from the next run

  Scenario: no pace is reported for a run that was not relayed
    Given a stream with events already sent, and a run that starts again at event 1
    Then no pace is reported for the run that starts again

  Scenario: an id that is too long for a number does not break the stream
    When a resumable stream has an event id of five thousand digits
    Then the caller gets the whole stream, with a proper end

  Scenario: a long event is searched for its end only once
    Then 26 MB of an unfinished event take less than a second of processor time

  Scenario: a plain stream without a length that ends inside an event does not look complete
    When a stream of a service without engines breaks off inside an event
    Then the caller gets the complete events, and no proper end

  Scenario: a stream whose last event id is unknown is cut without another run
    Then a resumable stream that breaks off without a known event id is cut for that reason

  Scenario: a failure whose body breaks off does not look complete
    When an endpoint breaks off the body of its failure
    Then the caller gets the start of the failure, and no proper end
