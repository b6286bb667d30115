import type { LossCounterName } from './stops/LossCounterName';

/**
 * What the dispatcher counts for the metrics.
 * - `lifeEnds`: lives of endpoints that ended.
 * - `runsLost`: runs that ended with the life of their endpoint.
 * - `runsLapsed`: runs whose lease ran out on an endpoint that was silent.
 * - `crashesCharged`: charges of tasks with the end of an endpoint; one end may be charged to several.
 * - `tasksGivenUp`: tasks that are not started any more, since endpoints ended under them.
 * - `questionsFirst`, `questionsMore`, `questionsAgain`, `questionsEarly`: questions for advice by their cause (`QuestionCause`).
 * - `turnsUsed`, `turnsWasted`, `turnsUnanswered`: of these, those whose answer a start used, those whose tickets ran out before, and
 *   those without an answer; `turnUsedMs` and the like: their time.
 * - the rest: runs that lost work, and core-milliseconds that they lost, by cause.
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
