Feature: What must always hold
  Each scenario is one line of the promises, under a fault.

  Scenario: No task of a submission is started twice when answers are lost
    Given 2 entries and 3 agents
    When a caller submits a booking job of 6 tasks to entry-0
    And the link between entry-0 and agent-0 is cut after 50 ms for 300 ms
    Then the job ends complete
    And no booking was started twice

  Scenario: No task is started twice when the log loses its answers
    Given 2 entries and 3 agents
    And the log loses the answers to its next 3 appends
    When a caller submits a booking job of 6 tasks to entry-0
    Then the job ends complete
    And no booking was started twice

  Scenario: A job whose entry dies is completed by another entry
    Given 2 entries and 3 agents
    When a caller submits a booking job of 9 tasks to entry-0
    And entry-0 is killed after 60 ms
    And the caller resubmits the job to entry-1
    Then the job ends complete
    And no booking was started twice

  Scenario: A job is never half-answered when an agent dies
    Given 2 entries and 3 agents
    When a caller submits a booking job of 9 tasks to entry-0
    And agent-0 is killed after 60 ms
    Then the job ends failed
    And every task has an outcome
    And no booking was started twice

  Scenario: Each caller receives its own answer when answers cross
    Given 2 entries and 3 agents
    When 20 callers submit jobs of 3 tasks at once
    And the link between entry-0 and agent-0 is delayed after 20 ms for 500 ms
    Then every caller has its own whole answer

  Scenario: Refused as not run means not run, while the log is down
    Given 2 entries and 3 agents
    And the log is down
    When a caller submits a booking job of 4 tasks to entry-0
    Then the job ends not_run
    And nothing of the job was started

  Scenario: A resubmission is not told "not run" while the log is down
    Given 2 entries and 3 agents
    When a caller submits a booking job of 6 tasks to entry-0
    And entry-0 is killed after 60 ms
    And the log goes down
    And the caller resubmits the job to entry-1
    Then the job ends unknown
    And no booking was started twice

  Scenario: Quotes are served while the log is down
    Given 2 entries and 3 agents
    And the log is down
    When a caller submits a quote job of 6 tasks to entry-0
    Then the job ends complete

  Scenario: A target that leaves receives nothing new and finishes its work
    Given 2 entries and 3 agents
    When 20 callers submit jobs of 3 tasks at once
    And agent-0 is drained after 30 ms
    Then every caller has its own whole answer
    And agent-0 started nothing after it was drained

  Scenario: A planned stop of an entry cuts off nothing
    Given 2 entries and 3 agents
    When a caller submits a booking job of 9 tasks to entry-0
    And entry-0 is drained after 60 ms
    Then the job ends complete

  Scenario: Racing operators get one preset, and it stays
    Given 2 entries and 3 agents
    When operators set peak at entry-0 and maintenance at entry-1 at once
    Then one change was accepted and one was a conflict
    And the accepted preset is in force everywhere within 2000 ms
    And no node's preset ever reverted

  Scenario: A preset outlives the retention of the log
    Given 2 entries and 3 agents
    When operators set peak at entry-0
    And the log keeps only its last record for 300000 ms
    And entry-1 is restarted
    Then the accepted preset is in force everywhere within 2000 ms

  Scenario: A paused agent starts nothing after its lease lapsed
    Given 2 entries and 3 agents
    And agent-0 is paused
    When a caller submits a booking job of 6 tasks to entry-0
    And agent-0 goes on after 9000 ms
    Then the job ends failed
    And agent-0 started nothing after it went on

  Scenario: A wave of cancellations ends every job with an outcome
    Given 2 entries and 3 agents
    When 20 callers submit jobs of 9 tasks at once
    And every job is cancelled after 40 ms
    Then every caller has an answer
    And no booking was started twice

  Scenario: A job that can never run is refused at once
    Given 2 entries and 3 agents
    When a caller submits a job that needs an accelerator
    Then the job ends not_run
    And it was answered within 5 ms

  Scenario: A straggler delays no quote beyond its deadline
    Given 2 entries and 3 agents
    And agent-0 stalls every task for 9000 ms
    When a caller submits a quote job of 9 tasks to entry-0
    And 6000 ms pass with the ordinary preset and a budget for hedges
    Then the job ends complete

  Scenario: A target that fails everything does not fail the quotes
    Given 2 entries and 3 agents
    And agent-0 fails everything
    When a caller submits a quote job of 9 tasks to entry-0
    Then the job ends complete

  Scenario: A slow log delays bookings and starts none twice
    Given 2 entries and 3 agents
    And the log is slow by 400 ms
    When a caller submits a booking job of 6 tasks to entry-0
    Then the job ends complete
    And no booking was started twice

  Scenario: A burst beyond the capacity is answered, if not all is run
    Given 2 entries and 3 agents
    When 60 callers submit jobs of 30 tasks at once
    Then every caller has an answer
    And no booking was started twice

  Scenario: Declared run times that are far off do not stop a job
    Given 2 entries and 3 agents
    And tasks take 20 times as long as declared
    When a caller submits a booking job of 4 tasks to entry-0
    Then the job ends complete
