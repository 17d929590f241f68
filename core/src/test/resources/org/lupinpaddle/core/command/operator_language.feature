Feature: The operators' command language
  Valid input is parsed into a typed command; invalid input is rejected with a one-line message.

  Scenario Outline: Valid commands are parsed
    When an operator enters "<words>"
    Then it is the command <command>

    Examples:
      | words                                                                                                  | command        |
      | status                                                                                                 | Status         |
      | service create clips --budget 5 --reserve rack                                                         | ServiceCreate  |
      | service change clips --budget 4                                                                        | ServiceChange  |
      | pool create spare --site b                                                                             | PoolCreate     |
      | instance add w1 --pool p --hall north --rack r1 --address 10.0.0.1:80 --slots 8 --memory 32768         | InstanceAdd    |
      | wave plan w --hall north                                                                               | WavePlan       |
      | wave start w --pool clips --to spare-a --spares spare-b --order one-at-a-time                          | WaveStart      |
      | wave pause w                                                                                           | WaveSteer      |
      | instance explain w1                                                                                    | InstanceExplain |

  Scenario Outline: Invalid commands are rejected
    When an operator enters "<words>"
    Then it is refused with "<reason>"

    Examples:
      | words                                              | reason              |
      | dance                                              | dance               |
      | service create clips --reserve none                | --budget            |
      | service create clips --budget -1 --reserve none    | negative            |
      | service create clips --budget x --reserve none     | BUDGET: can not convert |
      | service create clips --budget 1 --reserve most     | reserve             |
      | service create Clips! --budget 1 --reserve none    | is no name          |
      | service change clips                               | nothing to change   |
      | wave start w                                       | needs --pool        |
      | wave start w --pool p --spares q                   | --spares needs      |
      | instance add w1 --pool p --hall h --rack r --address host:80 --slots 8 --memory 1 | is no IP:PORT |

  Scenario: Quotes preserve spaces within a word
    When an operator enters "trace 'one request'"
    Then it is the command Trace
