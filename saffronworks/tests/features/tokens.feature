Feature: an answer is made of the tokens of its runs, spliced without a seam

  # Every order of every input, of the present attempt and of an older one, of any length: the states
  # of the core are walked until no new one is found.

  Scenario: no order of input repeats, leaves out or mixes tokens
    When a request meets every order of tokens, ends, breaks and new attempts
    Then each token reaches the caller once, in order, and none of an older run follows a newer one's

  Scenario: an answer is completed only at the length that its last run tells
    When a request meets every order of tokens, ends, breaks and new attempts
    Then it is completed only when an end tells as many tokens as the caller has

  Scenario: an answer that has begun is never told not run
    When a request meets every order of tokens, ends, breaks and new attempts
    Then no request is told not run after its first token

  Scenario: an engine that ends without a length ends no answer
    When an engine sends its tokens and an end that tells no length
    Then the answer goes on at the next engine
    When an engine sends no token and an end that tells no length
    Then the answer goes on at the next engine

  Scenario: the deadline is for the first token
    Given a request that streams from an engine
    When the engine dies after 3 tokens, past the deadline
    Then a new attempt asks for a grant
    And the next decode starts at offset 3

  Scenario: a stream that finds no further engine waits as long as a newcomer
    Given a request that streams from an engine
    When the engine dies after 3 tokens, past the deadline
    Then without an answer of an owner it is told unknown after as long as a newcomer waits

  Scenario: a new attempt is given the tokens that the caller has
    When a first engine dies after 2 tokens and a second one goes on
    Then the second prefill is given these tokens after the prompt
