Feature: the framing of an answer tells whether it is whole

  # A caller that only counts on HTTP must see from the end of the body that an answer is short: a good
  # end is for whole answers, and for refusals in place of one. All cases are played.

  Scenario: a stream of tokens has a good end only when it is whole
    When streams of tokens end in every way
    Then those that are whole end with their last event and a good end
    And those that had begun and are not whole tell the outcome and are cut
    And those that had not begun are refused in one whole answer

  Scenario: a plain answer has a good end only when its service gave it one
    When plain services break off answers of every framing
    Then what came whole is passed on whole, and the rest is cut
    And each of these calls has an outcome to be counted
    And the log names the calls that were cut

  # Guards against truncated answers that look complete: the end of a service closes its connections
  # as it closes one after a whole answer. Only an event stream has an end mark of its own.
  Scenario Outline: a plain answer without length and chunks of <answer> to <method>
    When a plain service answers <method> with <answer> and closes its connection
    Then the caller gets <proper> end of it

    Examples:
      | method | answer                             | proper    |
      | GET    | half a text                        | no proper |
      | GET    | no body                            | no proper |
      | GET    | an event                           | no proper |
      | GET    | an event and half an end mark      | no proper |
      | GET    | an event that quotes the end mark  | no proper |
      | GET    | a text that ends with the end mark | no proper |
      | GET    | an event and the end mark          | a proper  |
      | GET    | a status without a body            | a proper  |
      | HEAD   | no body                            | a proper  |

  # Guards against a connection that is closed without an answer.
  Scenario: a plain answer with a status that HTTP doesn't have
    When a plain service answers with status 699
    Then the caller gets one whole refusal that tells the outcome

  Scenario: a plain answer that has begun is not begun again
    When a plain service breaks off an answer and another one could be asked
    Then the caller has nothing of a second answer
