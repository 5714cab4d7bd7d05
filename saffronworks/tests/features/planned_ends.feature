Feature: planned ends of nodes and of endpoints

  # Guards against requests cut by the planned end of their node without a word to caller or log.
  Scenario: a planned end of a node answers or cuts each open request, and logs it
    When a node is stopped while requests take longer than its grace
    Then one that a server may have run gets 504 with its id, and one that waits a true refusal
    And a begun stream is cut, and the log gives the reason for each of the three

  # Guards against lines on cut requests that are dropped, as the lines on refused ones fill the queue.
  Scenario: a stopping node logs what may have run apart from what it refuses
    Then the bound on lines applies to its true refusals, and not to requests that may have run
    And the same holds for requests that it relays

  # Guards against streams that a draining node begins and cuts at its end.
  Scenario: work that can't be finished before the end of a node is not begun there
    When a node that other nodes can replace is stopped, and requests arrive meanwhile
    Then a generation that fits is served whole, and a plain request too
    And one that is too long is refused at once, without a run, and its connection closed
    And it is served by a node without others

  # Guards against streams that a node which started lately begins at its stop, and cuts: it divided
  # the nodes that it knew by a number assumed for the retry budget, so that the others looked gone.
  Scenario: a node that started lately counts only listed nodes among those that may serve
    When a node that started lately is stopped beside a serving one, and a long generation comes
    Then it is refused without a run
    And the share that serves is that of the latest lists, at 3 nodes as at 1600

  # Guards against refused connections while the platform has no better node to send callers to.
  Scenario: callers still come to a draining node after its notice
    When a node is stopped, and callers connect to it for four seconds
    Then each short request is answered, a generation that may not end in time is refused
    And the node stops soon after they stay away

  # Guards against an estimate that counts as a guarantee: after the notice only a deadline does.
  Scenario: whether a draining node begins a request
    Then the surer it ends in time and the fewer other nodes serve, the rather it is begun
    And after the notice it is begun only if its own deadline lies before the end
    And its chance grows with the time that is left, and relies on no pace that was not measured

  # Guards against streams that a draining node begins as likely to end in time, and then cuts.
  Scenario Outline: the estimated chance that a stream ends in time holds for <kind> endpoints
    When streams of <kind> endpoints are measured, and others are begun by their chance
    Then at least nine tenths of those that are begun end in time, with few samples and with many
    And with many samples their chance is the share that ends in time, and nowhere far above it

    Examples:
      | kind   |
      | fast   |
      | slow   |
      | mixed  |
      | paused |

  # Guards against requests that a node which was suspended at its stop begins as before the notice.
  Scenario: the notice counts from the signal, not from when it was handled
    When a node handles its signal to stop 2.5 s late, and requests come
    Then one without a near deadline is refused, and one with a near deadline is served

  # Guards against streams that wait at the notice, begin after it, and are cut at the node's end.
  Scenario: a stream whose prompt is read beyond the notice is not begun
    When a node is stopped, and the notice passes while the prompt of a stream is read
    Then the stream is refused without a run

  # Guards against another run for a request whose run broke, which its node cuts at its end.
  Scenario: a request whose run breaks after the notice is answered at once
    When a node is stopped, and runs of a page and a stream without an answer yet break later
    Then each gets 502 without another run

  # Guards against sends that a stopping node denies and counts as retries all the same: the streams
  # that it still may continue elsewhere would be cut for want of a retry.
  Scenario: a request that a stopping node sends no more
    Then a page and a generation that may not be sent again use up no retry

  # Guards against a node that outlives its grace, and is killed with its open requests.
  Scenario: the grace counts from the signal, not from when it was handled
    When a node with a stream under way handles its signal to stop 1.5 s late
    Then the stream is cut within the rest of its grace, and the log says how late it was

  # Guards against requests that are cut earlier than needed, as their node may have been late.
  Scenario Outline: a late signal uses up the margin before the end of a node's requests first
    When a node with 3.5 s of grace handles its signal to stop <late_ms> ms late
    Then its open requests are ended <before_ms> ms before SIGKILL

    Examples:
      | late_ms | before_ms |
      | 0       | 800       |
      | 250     | 550       |
      | 1500    | 500       |

  # Guards against answers without a length or chunks that the planned end of their endpoint cuts off
  # and that look complete. Its crash is noticed by a probe, which leaving endpoints did not get.
  Scenario Outline: the planned end of an endpoint cuts off answers that end with their connection
    When endpoints that are <listed> end in the middle of such answers, and others go on
    Then the stream has no proper end, and the page is no success
    And those that go on give whole answers, and no content is suspected

    Examples:
      | listed      |
      | as draining |
      | no more     |

  # Guards against requests that are lost in one of their phases at the planned end of a node, beside
  # a second signal, a reload or a new table, and of those that it relays or that are relayed for it.
  Scenario Outline: a planned end beside other signals loses no request in any of its phases
    When by seed <seed> a node is stopped while it and others serve and relay requests
    Then each request gets a whole answer, or a true refusal

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # Guards against relayed requests that the planned end of the relaying node cuts unlogged, and with
  # a refusal that says they were not run.
  Scenario: a planned end of a node ends the requests that it relays for others
    When a node is stopped that relays a stream and a page which take longer than its grace
    Then the stream is cut, the page fails with its id, and the log has both
