Feature: an endpoint that closes its connection in the middle of an answer's head

  # Guards against an empty or short answer that is framed as whole: a close ends an answer without a
  # length, so a head that breaks off must never count as one.
  Scenario Outline: the head of <answer> breaks off after any number of bytes
    When <answer> breaks off within its head, at one node and over a relay
    Then no caller gets a success that is not whole
    And answers that don't break off are whole

    Examples:
      | answer                                     |
      | a page                                     |
      | a page without a length                    |
      | a page after an interim head               |
      | a stream                                   |
      | a stream without chunks                    |
      | a stream after an interim head             |
      | a resumable stream                         |
      | the prefill of a stream                    |
      | the reservation of memory for a stream     |

  # Guards against a page that fails although another endpoint would have answered it in time.
  Scenario: a repeatable page whose first endpoint closes in its head
    When repeatable pages meet an endpoint that closes in its head, beside a sound one
    Then each of them is answered whole

  Scenario: a plain service of the own deployment closes in its head
    When it closes after any number of bytes of heads of every framing, also after an interim head
    Then the caller gets one whole refusal, and the outcome is unknown
