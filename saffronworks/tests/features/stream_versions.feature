Feature: streams of endpoints with several software versions

  # Guards against streams that a caller resumes at another node, and that continue at another
  # software version than the one that began them: the node knew nothing of the first attempt.
  Scenario: a caller resumes a stream at another node
    Given three nodes, and two decode endpoints of each of two software versions
    When callers lose their node after some events and resume at another one
    Then no stream has events of two versions
    And nine of ten resumed streams are completed

  # Guards against streams that break, and continue within the same answer at another version.
  Scenario: a stream breaks off, and its node continues it
    Given three nodes, and two decode endpoints of each of two software versions
    When the first run of each stream breaks off after some events
    Then no stream has events of two versions
    And nine of ten streams are completed

  # Guards against a path of the state machine that chooses an endpoint of another version: a grant
  # of the planner, a retry, a redirect.
  Scenario: an answer that has started is continued at its version only
    Then whatever the planner grants and endpoints answer, an answer has events of one version

  # Guards against an answer that is held until its deadline though no endpoint can continue it.
  Scenario: the last endpoint of the version has left
    Then a started answer is cut at once, and a request that resumes one is refused as not run

  # Guards against a stream that is lost though the only endpoint of its version serves again.
  Scenario: the only endpoint of the version breaks a stream
    Then the stream is tried there again after a pause

  # Guards against an entry that names another version while a stream begins: its version is unknown.
  Scenario: the software of an endpoint changes while a stream begins
    Given three nodes, and two decode endpoints of each of two software versions
    When the entries of all endpoints name another version before the first event
    Then the stream begins with a later run, whose version is known

  # Guards against a guess: a node that cannot know the version must not choose one.
  Scenario: a caller resumes a stream of unknown origin while two versions serve
    Given three nodes, and two decode endpoints of each of two software versions
    When callers resume streams that no node knows, with and without naming a first request
    Then they are refused as not run, and no endpoint gets them

  # Guards against records that end with the node that began the stream.
  Scenario: the first node is killed as soon as the caller has an event
    Given three node processes, and two decode endpoints of each of two software versions
    When each node in turn is killed after the first event of a stream, which resumes at another one
    Then no stream has events of two versions
    And each of them is completed

  # Guards against a stream whose later attempts know less than the first one did.
  Scenario: a stream breaks again after it was resumed
    Given three nodes, and two decode endpoints of each of two software versions
    When callers lose their node twice, and name the first request each time
    Then no stream has events of two versions
    And nine of ten resumed streams are completed

  # Guards against an answer from a copy of what is lost, and against a caller that learns from a
  # refusal whether another one's request exists.
  Scenario Outline: a record that nobody has, or that is another caller's
    Given three nodes, and two decode endpoints of each of two software versions
    When a caller resumes a stream after <event>
    Then it is refused as not run because of "stream-origin-unknown", and no endpoint gets it

    Examples:
      | event                             |
      | all nodes have lost its record    |
      | another caller began it           |
      | its record has expired            |

  # Guards against a stream that continues at another service than the one that began it.
  Scenario: the operator moves the route to another service
    Given three nodes, and two decode endpoints of each of two software versions
    When the route of a stream moves to another service before the stream is resumed
    Then it is refused as not run because of "stream-service-removed", and no endpoint gets it

  # Guards against callers that are refused though a single version has served all the time.
  Scenario: a caller names no request, and a single version serves
    Given three nodes, and decode endpoints of a single software version
    When a caller resumes a stream of unknown origin
    Then it continues

  # Guards against a node that takes the versions that it knows for all there are, though it is cut
  # off from the store and from the nodes that hold the record.
  Scenario: a node that is cut off resumes a stream of unknown origin
    Given three nodes, and decode endpoints of a single software version
    When a node without updates, and without other nodes, gets a stream of unknown origin
    Then it is refused as not run because of "stream-origin-unknown", and no endpoint gets it

  # Guards against a node that takes updates of the last seconds for the present: endpoints of
  # another version may have joined since, and begun the stream.
  Scenario Outline: a node that is out of step for a moment resumes a stream of unknown origin
    Given three nodes, and decode endpoints of a single software version
    When another version joins while a node <trouble>, and a caller resumes a stream there
    Then it is refused as not run because of "stream-origin-unknown", and no endpoint gets it

    Examples:
      | trouble                                          |
      | has late updates                                 |
      | is cut off from the store                        |
      | has late updates and is cut off from other nodes |
      | is cut off from the store and other nodes        |

  # Guards against callers that are refused though other nodes reach the store.
  Scenario: a node that is cut off from the store while a single version serves
    Given three nodes, and decode endpoints of a single software version
    When a caller resumes a stream of unknown origin at a node without the store
    Then it continues

  # Guards against the same where signals and network faults strike processes.
  Scenario Outline: a node process that <trouble> takes up a stream of another version
    Given three node processes, and decode endpoints of a single software version
    When a version joins while a process <trouble>, and callers resume its streams there
    Then no stream has events of two versions

    Examples:
      | trouble                           |
      | is suspended for 1 s              |
      | is suspended for 4 s              |
      | is cut off from the store for 2 s |
      | is cut off from the store for 4 s |

  # Guards against reads of the store that began before a caller asked, and against one for each.
  Scenario: callers that ask for the latest changes at the same time
    Then each gets the result of a read that began after it had asked, and few reads are made

  # Guards against changes that a read of the latest ones passes over, and against an old state that
  # it takes for the present one.
  Scenario: a read of the latest changes beside a watch that waits
    Then it applies what the store has changed since the last update
    And it fails if the store is silent, has lost its history or was restored meanwhile

  # Guards against a history that lacks what one update adds and removes.
  Scenario: endpoints of a version that join and leave within one update
    Then the history has their version

  # Guards against a history that lacks what has happened since its node's last update.
  Scenario: a node that has started asks another one for its history
    Then a node that can't read the latest updates gives no other node its history for complete
    And a node that has started lately reads nothing for another one's history

  # Guards against an endpoint that restarts under its name with another version before the store
  # shows it: its later start accepts what is meant for the earlier one.
  Scenario: an endpoint restarts under its name with other software
    Given three nodes, and endpoints that keep their name when they restart
    When the endpoint of a stream restarts with another version, which the store does not show
    Then its later start gets nothing of the stream
    And a stream that begins there can't be resumed yet

  # Guards against streams that can never be resumed because they began right after a node had lost
  # its connections.
  Scenario: a node loses its connections to all endpoints for a moment
    Given three nodes, and endpoints that keep their name when they restart
    When a stream begins at a node that has just lost its connections
    Then it is refused at first, and resumed once the store shows that its endpoint is the same

  # Guards against a stream whose first events came from the later start, listed only afterwards.
  Scenario: the store shows a restart with other software after a stream has begun
    Given three nodes, and endpoints that keep their name when they restart
    When an entry shows a later start of the stream's endpoint, with another version
    Then the stream does not continue, and can't be resumed

  # Guards against a restart that is listed while the first event waits for its record: the record
  # of the earlier version would stay.
  Scenario: the store shows a restart with other software before a record has arrived
    When an entry shows a later start of an endpoint while the record of its stream is on its way
    Then the record is withdrawn

  Scenario: the version of an endpoint that keeps its name
    Then it is uncertain after a broken connection, until the store has shown its entry again
    And a connection that was open while it was certain proves it
    And a connection that is older than fresh entries proves it, however old these are
    And streams that began shortly before a later start was listed are doubtful
    And it is uncertain after a restore of the store, and while updates are missing
    And the version of an endpoint whose name is new after each start is certain

  Scenario: what may have begun a stream without a record
    Then a version that left counts for as long as its streams can be resumed
    And a node that has just started knows only what other nodes can confirm
    And a node that has started learns from another one what served before
    And a stream continues without a record only if a single origin is possible
    And a node that had to forget versions does not claim to know them all

  Scenario: records are bounded
    Then a full table drops its oldest records, and no record outlives its time
    And an uncertain origin may become certain, unless it was withdrawn
    And one id for two streams with different origins makes the record ambiguous
    And a request of another caller, or with another id, has another key

  # Guards against requests that fit few endpoints and keep all others waiting behind them.
  Scenario: many streams wait for the full endpoints of their version
    Given a plan whose endpoint of one version is full
    When more streams of that version wait than the planner examines, and a new request arrives
    Then the new request gets memory at the other version at once
    And the first of them gets memory when a run of their version ends

  # Guards against a stream that waits for the end of an ejection that no other endpoint can bridge.
  Scenario: the only endpoint of a version is ejected
    Given a plan whose endpoint of one version is ejected
    Then a stream of that version gets memory there, and a new request elsewhere

  # Guards against role changes that take the last decode endpoint of a version.
  Scenario: an endpoint changes its role while several versions serve
    Then a version with several decode endpoints gives one up first
    And a version without decode endpoints gets one first
