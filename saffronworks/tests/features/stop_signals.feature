Feature: the signal to stop a process, and the bound on its end

  # Guards against a grace that counts from when a suspended process handled its signal: it was
  # killed in the middle of its end.
  Scenario Outline: a process that is suspended at its stop knows when the signal can have been sent
    When a process gets SIGTERM <lead_s> s after it was suspended, and runs on after <rest_s> s
    Then the signal counts as sent no later than it was, and no earlier than it was ready

    Examples:
      | lead_s | rest_s |
      | 0.3    | 0.5    |
      | 0.0    | 0.6    |

  # Guards against a busy node that dates its signal to the begin of its turn, and cuts streams early.
  Scenario: a process in a long turn of its event loop does not date its signal back
    When a process gets SIGTERM 0.9 s after the begin of a turn of 3 s
    Then the signal counts as sent then, but for the time in which the process did not run

  # Guards against a signal that is dated back by time in which the loop's thread ran or slept idly,
  # and against a late one of a suspended or starved process that counts as handled in time.
  Scenario Outline: a signal is pending only while the thread of the event loop does not run
    When an event loop handles a signal <after_ms> ms after it <ran>, <cpu_ms> ms of them run
    Then the signal may have been pending for <held_up_ms> ms

    Examples:
      | after_ms | ran          | cpu_ms | held_up_ms |
      | 900      | began a turn | 900    | 0          |
      | 900      | began a turn | 910    | 0          |
      | 900      | began a turn | 300    | 600        |
      | 95       | began a wait | 1      | 0          |
      | 500      | began a wait | 1      | 499        |

  # Guards against a signal that another thread takes after a suspension: the loop's thread is in its
  # next turn as it handles it, which counted as handled in time, and the node was killed in its end.
  Scenario Outline: a signal that is handled soon after a suspension may be as old as that
    When an event loop is suspended for 900 ms in <what>, and handles a signal <after_ms> ms later
    Then the signal may have been pending for <held_up_ms> ms

    Examples:
      | what   | after_ms | held_up_ms |
      | a turn | 10       | 910        |
      | a turn | 100      | 1000       |
      | a turn | 101      | 0          |
      | a wait | 10       | 910        |

  Scenario: a busy process with several threads that is suspended at its stop
    When a busy process of four threads gets SIGTERM in each of 20 suspensions
    Then each signal counts as sent no later than it was

  # Guards against a process that is killed as an exit handler or a callback does not end.
  Scenario Outline: a process exits in time though <what> does not end
    When a process is made to exit within 0.5 s while <what> does not end
    Then it exits with status 0 within a second, and its last line is written

    Examples:
      | what            |
      | an exit handler |
      | a callback      |

  # Guards against a bound on the end that only the event loop sets: a loop that hangs at the signal
  # never gets to it, and SIGKILL loses the last log lines.
  Scenario Outline: a process exits in time though its event loop hangs when the signal comes
    When a process gets SIGTERM while its event loop hangs as it <hangs>, and is to exit in 0.5 s
    Then it exits with status 0 within a second, and its last line is written

    Examples:
      | hangs  |
      | sleeps |
      | runs   |

  # Guards against a node that has ended its requests and is killed during its interpreter's end.
  Scenario: a process that has ended its work does not wait for exit handlers
    When a process exits at the end of its work while an exit handler does not end
    Then it exits with status 0 at once, and its last line is written
