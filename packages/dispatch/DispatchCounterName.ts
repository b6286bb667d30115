import type { LossCounterName } from './stops/LossCounterName';

/**
 * Name of a counter that the dispatcher keeps for the metrics.
 * - `lifeEnds`: incarnations of endpoints that ended.
 * - `runsLost`: runs that ended with the incarnation of their endpoint.
 * - `runsLapsed`: runs whose lease expired on an unreachable endpoint.
 * - `crashesCharged`: crash records; one crash may be put down to several tasks.
 * - `tasksGivenUp`: tasks over the crash limit, which are not started again.
 * - `questionsFirst`, `questionsMore`, `questionsAgain`, `questionsEarly`: advice requests by `AdviceRequestReason`.
 * - `turnsUsed`, `turnsWasted`, `turnsUnanswered`: advice requests whose response a start used, whose tickets expired unused, and
 *   that had no response; `turnUsedMs` and the like: their durations.
 * - the rest: runs that lost work, and the core-milliseconds lost, by cause.
 */
export type DispatchCounterName =
  | 'lifeEnds'
  | 'runsLost'
  | 'runsLapsed'
  | 'crashesCharged'
  | 'tasksGivenUp'
  | 'questionsFirst'
  | 'questionsMore'
  | 'questionsAgain'
  | 'questionsEarly'
  | 'turnsUsed'
  | 'turnsWasted'
  | 'turnsUnanswered'
  | 'turnUsedMs'
  | 'turnWastedMs'
  | 'turnUnansweredMs'
  | LossCounterName;
