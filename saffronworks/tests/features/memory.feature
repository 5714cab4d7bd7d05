Feature: planned decode memory

  Scenario: the forecast peak is the highest memory use of the runs at any time
    Then for any runs the forecast peak is that of a token-by-token simulation

  Scenario: grants leave a margin on every endpoint for longer answers
    Then for any requests, releases and ticks, forecast peaks leave the margin free
    And the margin holds the same number of answers for a small memory as for a large one
    And an endpoint without a free slot gets no grant, however much memory is free

  Scenario: in-time requests come first, and only requests forecast too late are rejected
    Given a plan whose only endpoint is full
    Then a late request is not granted before an in-time one
    And a retry is ordered among first attempts by its deadline
    And requests forecast too late are rejected, with ever longer retry delays
    And a late retry is not rejected

  Scenario: no place is granted whose prompt would wait long for its reading
    Given a plan with free memory and a single prefiller
    Then memory is granted at the rate of prefill, the earliest deadline first
    And a request that fits is not rejected while its prefill is forecast in time
    And a request is rejected if only endpoints short of memory could prefill it in time
    And an endpoint that failed a request gets no grant for a while

  Scenario: a failure that one node reports ejects the endpoint for all nodes
    Given a plan with a node's report that an endpoint failed its request
    Then requests of other nodes avoid the endpoint for a while, unless there is no other
    And when it fails again right after that, it is ejected for twice as long
    And the state of removed endpoints is dropped

  Scenario: the lengths of answers are learnt
    Then an answer that has reached its hint is expected to grow by about another half
    And after many answers of the hinted length, an answer is expected to end at its hint
    And the expected length never exceeds the maximum of the answer
    And the expected length is the mean of the longer answers

  Scenario: reports update the progress of runs
    Given a plan with a run that exceeds its expected length
    Then its endpoint has less room than one with a short run
    And an endpoint with a stalled run gets no grant for a while

  Scenario: a grant that found no room
    Given a plan with a grant on an endpoint that had no room
    Then the endpoint gets no grant until one of its runs ends
    And the prompt does not count in the prefill backlog

  Scenario: prompts are spread over the prefillers
    Given a plan with two prefillers in different zones
    Then prompts go to the prefiller in the same zone first, then to the one that is free first
    And a slow prefiller gets fewer prompts
    And prompts without tokens do not change the estimated pace
    And without prefillers each decode endpoint prefills one prompt at a time
    And local prefill is used while prefillers are busy, on endpoints with much free memory only

  Scenario: the cost of a step is bounded in a burst
    Given a plan with many full endpoints and many waiters
    Then a tick computes a few peaks for each endpoint at most, and a report none

  Scenario: a new or resumed planner does not plan before it has all reports
    Given a planner that receives its first request
    Then until the warm-up is over it lets requests go on without it
    And it plans as soon as each node has reported, with or without runs
    And requests that wait for the report of a lost node go on without the planner after a moment
    And after a suspension it warms up again

  Scenario: a standby planner learns of the end of runs from reports
    Given a standby planner with the reports of many short runs
    Then it counts the runs of the latest report only
    And a grant that is newer than a report still counts

  Scenario: runs of a lost node expire
    Given a plan with runs of two nodes, of which one no longer reports
    Then only the runs of the other node remain

  # Guards against a second grant to a request whose node went on without a silent planner.
  Scenario: a request that runs does not wait
    Given a full plan, and a request that waits for it
    Then it stops waiting when its node reports its run, which stays where it is

  # Guards against memory that is granted to requests of a node that is gone, one after the other.
  Scenario: requests of a lost node stop waiting
    Given a full plan, and requests of two nodes, of which one no longer asks for its own
    Then memory that becomes free goes to the request of the other node at once

  Scenario: all nodes choose the same planner, a strong one
    Given a census of strong and weak nodes
    Then every node chooses the same strong node, and two nodes receive the reports
    And if the chosen node does not answer, the other receiver is chosen, and both get reports
    And a node that does not answer is asked less and less often, until it answers
    And a weak node is chosen when no strong one is left

  Scenario: a planner that does not answer delays no request
    When a node sends a request to a planner that is gone
    Then it goes on without it within a tenth of a second, and avoids that planner

  # Guards against a caller that repeats its id: one of its requests failed as an internal error.
  Scenario: two requests of one node have the same id
    When a node sends two requests with one id to a planner that is gone
    Then it goes on without it for both of them

  Scenario: nodes that start together plan without a warm-up
    When the first request reaches a planner that has just started with the other nodes
    Then it grants at once, as each node has reported no runs
    And a node that has just started avoids a silent planner for a moment only

  Scenario: one node plans for another
    Given two nodes, one of which is the planner
    When the other node requests more memory than fits
    Then it is granted what fits, and the rest after a release

  Scenario: a grant counts until it is given up
    When the planner grants memory, the prompt is prefilled, and the decode endpoint is unreachable
    Then the prefill is reported to the planner, and the end only when the memory is released
    And after a rejected hold the planner is asked again without reporting an end

  Scenario: a restarted node takes part in planning at once
    When a node enters itself in a store where others have entered before
    Then it knows all of them at once, not only at the second count
