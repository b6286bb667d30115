import { isCutShort } from './isCutShort';
import { isWorthStopping } from './isWorthStopping';
import { measureStopCost } from './measureStopCost';
import { readStraggling } from '../runs/readStraggling';
import type { StopChoice } from './StopChoice';
import type { StopRules } from './StopRules';

const WHOLE = 100;
/** A leaving endpoint is left so long before its time is over, in milliseconds. */
const LEAVE_MARGIN_MS = 700;
/** A stop may take 900 ms by the platform's bounds, and one that is lost is repeated after 200 ms. */
const SAFE_LEAVE_MARGIN_MS = 1300;
/** A stop takes up to 900 ms by the platform's bounds; then come the look that shows its end, and a round. */
const LONGEST_STOP_MS = 1200;
/** Tickets must hold for so long that a usual stop, a look and a round pass; a gang seldom has so many that hold for the longest stop. */
const TICKET_MS = 600;
/** Beyond the time for which room is kept. */
const RETRY_MS = 3000;
/** Where more than this share of all runs seems slow, the whole fleet is, and moves gain nothing. */
const MOVING_SHARE = 0.05;
/** Less than this done since a stop, and the next one would undo what the restart cost. */
const MIN_WORK_MS = 1000;

/** The ways of choosing what is stopped. */
export const stopChoices: Readonly<Record<StopChoice, StopRules>> = {
  ranked: {
    isCutShort: (input) => isCutShort(input, LEAVE_MARGIN_MS),
    readMoveReason: (input) => readStraggling(input),
    room: {
      measureCost: () => 1,
      isWorthStopping: () => true,
      isTrimming: false,
      minWorkMs: 0,
      keepMs: 1200,
      ticketMs: TICKET_MS,
      retryMs: 0,
    },
    isMovingGangs: false,
    isUsingRunTimes: false,
    movingShare: 1,
    isClosing: false,
  },
  priced: {
    isCutShort: (input) => isCutShort(input, SAFE_LEAVE_MARGIN_MS),
    readMoveReason: (input) =>
      readStraggling({ ...input, freshPercent: input.isSaving ? WHOLE - input.percent : WHOLE }),
    room: {
      measureCost: measureStopCost,
      isWorthStopping,
      isTrimming: true,
      minWorkMs: MIN_WORK_MS,
      keepMs: 2 * LONGEST_STOP_MS,
      ticketMs: TICKET_MS,
      retryMs: RETRY_MS,
    },
    isMovingGangs: true,
    isUsingRunTimes: true,
    movingShare: MOVING_SHARE,
    isClosing: true,
  },
};
