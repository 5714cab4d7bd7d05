Feature: streams that go on at another endpoint

  # Seen: callers got streams that were framed as complete, signed, and short. An endpoint broke off a
  # resumable stream, and the second endpoint failed its run with a signed answer of its own. The core
  # decided on that answer as if nothing were out yet, and told the runner to pass it on: the error's
  # body went behind the events, and a good end after it. Proved by the log lines of such requests:
  # each had begun=True and status=500 in the decision to pass an answer on, and no other request had.

  Scenario: a stream that has begun does not end as complete with another endpoint's failure
    When one endpoint breaks a resumable stream off and the next one fails its run
    Then the caller has the events that were whole, nothing of the failure, and no good end

  Scenario: once an answer has begun, only its own events or a cut can follow
    Then whatever endpoints answer, nothing but events of the stream follows its first one

  Scenario: an answer carries nothing of a run that broke before it
    When one endpoint breaks off inside the first event and the next one fails its run
    Then the caller gets the failure as its endpoint gave it

  Scenario Outline: a run that does not follow what went out is not sent on
    When a resumable stream breaks after event <last> and the next run is at fault by <fault>
    Then the caller has the events up to <last>, each once, and no good end

    Examples:
      | last | fault         |
      | 2    | repeat        |
      | 2    | gap           |
      | 5    | unframed-none |
      | 2    | no-content    |
      | 2    | ping          |
      | 2    | half          |

  Scenario: a run without events ends a stream of which all went out
    When a resumable stream breaks after its last event and the next run has none left
    Then the caller gets each event once, with a good end

  Scenario: ids that rise unevenly show a repeat, and those that count show a gap too
    Then of all ways to go on, only the next id follows ids that count, and any higher one others

  Scenario: the length of one run's answer says nothing of a stream that goes on at another
    When a resumable stream with a length breaks, and the events of the next run are longer
    Then the caller gets each event once, with a good end

  Scenario: a caller who goes on after an event gets none that it has
    When a caller goes on after event 2, and the first run repeats it
    Then the caller gets the events after it from the next run

  Scenario: a run that was not sent on teaches the planner no pace
    Given a stream of which events went out, and a run that starts anew at once
    Then no pace is told of the run that starts anew

  Scenario: an id that is no number of events is none
    When a resumable stream has an id of five thousand digits
    Then the caller gets all of it, with a good end

  Scenario: a long event is searched once
    Then twenty-six megabytes of an event that does not end take no second of the node's time

  Scenario: a plain stream without a length that ends inside an event does not look complete
    When a stream of a service without engines stops inside an event
    Then the caller has its whole events, and no good end

  Scenario: a stream whose last event is not known is cut, and no further run is asked for
    Then a resumable stream that breaks with no event's id known is cut for that

  Scenario: a failure that breaks off does not look complete
    When an endpoint breaks the body of its failure off
    Then the caller has the start of the failure, and no good end
