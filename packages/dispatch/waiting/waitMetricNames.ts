import type { WaitCause } from './WaitCause';

/** Name of the metric that records the wait time of each cause. */
export const waitMetricNames = {
  round: 'waitRoundMs',
  turn: 'waitTurnMs',
  answer: 'waitAnswerMs',
  room: 'waitRoomMs',
  limit: 'waitLimitMs',
  bound: 'waitBoundMs',
  pause: 'waitPauseMs',
} as const satisfies Readonly<Record<WaitCause, string>>;
