import type { WaitCause } from './WaitCause';

/** Names of the metrics of wait times, by cause. */
export const waitMetricNames = {
  round: 'waitRoundMs',
  turn: 'waitTurnMs',
  answer: 'waitAnswerMs',
  room: 'waitRoomMs',
  limit: 'waitLimitMs',
  pause: 'waitPauseMs',
} as const satisfies Readonly<Record<WaitCause, string>>;
