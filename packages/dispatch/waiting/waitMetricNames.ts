import type { WaitCause } from './WaitCause';

/** Names of the measured times by what a task waited for. */
export const waitMetricNames = {
  round: 'waitRoundMs',
  turn: 'waitTurnMs',
  answer: 'waitAnswerMs',
  room: 'waitRoomMs',
  limit: 'waitLimitMs',
  pause: 'waitPauseMs',
} as const satisfies Readonly<Record<WaitCause, string>>;
