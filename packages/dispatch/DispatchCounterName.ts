import type { LossCounterName } from './stops/LossCounterName';

/**
 * Name of a counter that the dispatcher keeps for the metrics.
 * - `lifeEnds`: incarnations of endpoints that ended.
 * - `runsLost`: runs that ended with the incarnation of their endpoint.
 * - `runsLapsed`: runs whose lease expired on an endpoint that was unreachable or not yet synced.
 * - `crashesCharged`: crash records; one crash may be recorded for several tasks.
 * - `tasksGivenUp`: tasks that exceeded the crash limit, whose job fails.
 * - `questionsFirst`, `questionsMore`, `questionsAgain`, `questionsEarly`: advice requests by `AdviceRequestReason`.
 * - `turnsUsed`, `turnsWasted`, `turnsUnanswered`: advice requests whose response a start used, whose response no start used in
 *   time, and that failed.
 * - `turnUsedMs`, `turnWastedMs`, `turnUnansweredMs`: total response times of these requests, in milliseconds.
 * - `LossCounterName`: runs that lost work, and the core-milliseconds lost, by cause.
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
