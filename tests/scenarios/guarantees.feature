Feature: Guarantees that hold under faults
  Each scenario checks a guarantee to callers or operators while a fault occurs.
  A booking job alternates bookings, which must not start twice, and quotes.

  Scenario: No booking is started twice when a link breaks
    Given 2 entries and 3 agents
    When a caller submits a booking job of 6 tasks to entry-0
    And the link between entry-0 and agent-0 is cut after 50 ms for 300 ms
    Then the job ends in state complete
    And no booking was started twice

  Scenario: No booking is started twice when answers of the log are lost
    Given 2 entries and 3 agents
    And the log's answers to the next 3 appends are lost
    When a caller submits a booking job of 6 tasks to entry-0
    Then the job ends in state complete
    And no booking was started twice

  Scenario: Another entry completes the job of a killed entry
    Given 2 entries and 3 agents
    When a caller submits a booking job of 9 tasks to entry-0
    And entry-0 is killed after 60 ms
    And the caller resubmits the job to entry-1
    Then the job ends in state complete
    And no booking was started twice

  Scenario: Every task has an outcome when an agent is killed
    Given 2 entries and 3 agents
    When a caller submits a booking job of 9 tasks to entry-0
    And agent-0 is killed after 60 ms
    Then the job ends in state failed
    And every task has an outcome
    And no booking was started twice

  Scenario: Each caller receives its own answer when messages are delayed
    Given 2 entries and 3 agents
    When 20 callers submit jobs of 3 tasks concurrently
    And messages between entry-0 and agent-0 are held up after 20 ms for 500 ms
    Then every caller receives the complete answer to its own job

  Scenario: No task of a job answered not_run is started
    Given 2 entries and 3 agents
    And the log is down
    When a caller submits a booking job of 4 tasks to entry-0
    Then the job ends in state not_run
    And no task was started

  Scenario: A resubmitted job that may have run is never answered not_run
    Given 2 entries and 3 agents
    When a caller submits a booking job of 6 tasks to entry-0
    And entry-0 is killed after 60 ms
    And the log goes down
    And the caller resubmits the job to entry-1
    Then the job ends in state unknown
    And no booking was started twice

  Scenario: Quotes are served while the log is down
    Given 2 entries and 3 agents
    And the log is down
    When a caller submits a quote job of 6 tasks to entry-0
    Then the job ends in state complete

  Scenario: A draining agent starts no new tasks and completes its running ones
    Given 2 entries and 3 agents
    When 20 callers submit jobs of 3 tasks concurrently
    And agent-0 is drained after 30 ms
    Then every caller receives the complete answer to its own job
    And agent-0 started no task after it was drained

  Scenario: A draining entry completes its jobs
    Given 2 entries and 3 agents
    When a caller submits a booking job of 9 tasks to entry-0
    And entry-0 is drained after 60 ms
    Then the job ends in state complete

  Scenario: One of two concurrent preset changes is accepted and kept
    Given 2 entries and 3 agents
    When operators set the preset to peak at entry-0 and to maintenance at entry-1
    Then one preset change was accepted and the other was answered conflict
    And the accepted preset is in force at all entries and agents within 2000 ms
    And no entry or agent ever returned to an earlier preset

  Scenario: The preset is kept although the log drops old records
    Given 2 entries and 3 agents
    When an operator sets the preset to peak at entry-0
    And the log retains only its last record for 300000 ms
    And entry-1 is restarted
    Then the accepted preset is in force at all entries and agents within 2000 ms

  Scenario: A paused agent starts no task after its lease has expired
    Given 2 entries and 3 agents
    And agent-0 is paused
    When a caller submits a booking job of 6 tasks to entry-0
    And agent-0 resumes after 9000 ms
    Then the job ends in state failed
    And agent-0 started no task after it resumed

  Scenario: Every caller receives an answer when all jobs are cancelled
    Given 2 entries and 3 agents
    When 20 callers submit jobs of 9 tasks concurrently
    And every job is cancelled after 40 ms
    Then every caller receives an answer
    And no booking was started twice

  Scenario: A job that can never run is refused at once
    Given 2 entries and 3 agents
    When a caller submits a job that needs an accelerator to entry-0
    Then the job ends in state not_run
    And the job was answered within 5 ms

  Scenario: A slow target delays no quote beyond its deadline
    Given 2 entries and 3 agents
    And every task at agent-0 takes 9000 ms longer
    When a caller submits a quote job of 9 tasks to entry-0
    And 6000 ms pass with the ordinary preset and a budget for hedged starts
    Then the job ends in state complete

  Scenario: Quotes succeed when all tasks fail at one target
    Given 2 entries and 3 agents
    And every task at agent-0 fails
    When a caller submits a quote job of 9 tasks to entry-0
    Then the job ends in state complete

  Scenario: No booking is started twice when the log is slow
    Given 2 entries and 3 agents
    And every call to the log takes 400 ms longer
    When a caller submits a booking job of 6 tasks to entry-0
    Then the job ends in state complete
    And no booking was started twice

  Scenario: Every caller receives an answer when jobs exceed the capacity
    Given 2 entries and 3 agents
    When 60 callers submit jobs of 30 tasks concurrently
    Then every caller receives an answer
    And no booking was started twice

  Scenario: A job completes when tasks take much longer than declared
    Given 2 entries and 3 agents
    And tasks take 20 times as long as declared
    When a caller submits a booking job of 4 tasks to entry-0
    Then the job ends in state complete
