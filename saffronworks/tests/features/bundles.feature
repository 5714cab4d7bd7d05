Feature: bundles and settings are checked whole

  Scenario: the sample bundle has no findings
    Given the sample bundle
    When it is checked
    Then there are 0 findings

  Scenario: five mistakes give five findings, each with its line
    Given the bundle text
      """
      name: letters
      models:
        - name: opening-line
          pool: nowhere
          ttft_ms: soon
          colour: blue
      pools:
        - name: suggestions
          endpoints:
            - {name: a, address: "localhost:1", zone: z, role: prefill}
            - {name: b, address: "127.0.0.1:2", zone: z, role: decode, slots: 0}
      """
    When it is checked
    Then the findings are
      | line | field                         |
      | 4    | models[0].pool                |
      | 5    | models[0].ttft_ms             |
      | 6    | models[0].colour              |
      | 10   | pools[0].endpoints[0].address |
      | 11   | pools[0].endpoints[1].slots   |

  Scenario: settings with two wrong times and an unknown field
    Given the settings text
      """
      name: n
      zone: z
      region: r
      heartbeat_ms: 500
      suspect_after_ms: 400
      dead_after_ms: 300
      speed: 3
      """
    When they are checked
    Then the findings are
      | line | field            |
      | 5    | suspect_after_ms |
      | 6    | dead_after_ms    |
      | 7    | speed            |
